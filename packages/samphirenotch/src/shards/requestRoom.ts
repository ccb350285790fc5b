/**
 * Room that is set aside for requests on each worker of a data centre.
 */
import type { ConfigurationSet } from '../config/objects.js';
import type { Size } from '../infrastructure/worker.js';
import { NO_SIZE, sumSizes } from '../infrastructure/sizes.js';

/**
 * Adds up what the services of a data centre set aside.
 *
 * @param set - the configuration, nothing if none is known
 * @param dataCentre - the data centre
 * @returns room that attempts may not use
 */
export const requestRoom = (set: ConfigurationSet | undefined, dataCentre: string): Size => {
  if (!set) return NO_SIZE;
  const services = [...set.services.values()];
  const here = services.filter(({ dataCentres }) => dataCentres.includes(dataCentre));
  return sumSizes(here.map(({ reservedSize }) => reservedSize));
};
