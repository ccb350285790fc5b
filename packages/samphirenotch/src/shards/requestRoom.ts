/**
 * Capacity that is set aside for requests on each worker of a data centre.
 */
import type { ConfigurationSet } from '../config/objects.js';
import type { Size } from '../infrastructure/worker.js';
import { NO_SIZE, sumSizes } from '../infrastructure/sizes.js';

/**
 * Adds up the sizes that the services of a data centre reserve for requests on each worker.
 *
 * @param set - the configuration, `undefined` if none is known
 * @param dataCentre - name of the data centre
 * @returns capacity that attempts may not use
 */
export const requestRoom = (set: ConfigurationSet | undefined, dataCentre: string): Size => {
  if (!set) return NO_SIZE;
  const services = [...set.services.values()];
  const here = services.filter(({ dataCentres }) => dataCentres.includes(dataCentre));
  return sumSizes(here.map(({ reservedSize }) => reservedSize));
};
