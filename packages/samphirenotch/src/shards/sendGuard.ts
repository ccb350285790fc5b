/**
 * Checks, right before sending, whether a start or a request may be sent to a worker.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import { isOut } from '../config/objects.js';
import type { OwnedWorker } from './ownedWorker.js';
import { MAXIMUM_START_CONFIGURATION_AGE_MS } from './taskLease.js';

/** Reason why nothing may be sent to a worker. */
export type SendRefusal = 'not-owner' | 'worker-closed' | 'configuration-stale' | 'data-centre-out';

/** Checks sends against the state of the worker and the configuration at this moment. */
export class SendGuard {
  /**
   * @param configuration - the configuration in force
   */
  constructor(private readonly configuration: ConfigurationView) {}

  /**
   * Checks the start of an attempt.
   *
   * @param worker - worker at which the attempt is to start
   * @returns the reason why it may not be sent, `undefined` if it may
   */
  refuseStart(worker: OwnedWorker): SendRefusal | undefined {
    if (!worker.mayCommand()) return 'not-owner';
    if (!worker.acceptsNewWork()) return 'worker-closed';
    return this.refuseDataCentre(worker.listed.dataCentre);
  }

  /**
   * Checks starts in a data centre, by the configuration alone.
   *
   * @param dataCentre - name of the data centre
   * @returns the reason why none may be sent, `undefined` if they may
   */
  refuseDataCentre(dataCentre: string): SendRefusal | undefined {
    const set = this.configuration.current();
    if (!set) return 'configuration-stale';
    if (isOut(set, dataCentre)) return 'data-centre-out';
    if (this.configuration.confirmedAgeMs() > MAXIMUM_START_CONFIGURATION_AGE_MS)
      return 'configuration-stale';
    return undefined;
  }

  /**
   * Checks a request. Unlike a start, it does not need a recently confirmed configuration.
   *
   * @param worker - worker that is to serve the request
   * @returns the reason why it may not be sent, `undefined` if it may
   */
  refuseRequest(worker: OwnedWorker): SendRefusal | undefined {
    if (!worker.mayCommand()) return 'not-owner';
    if (!worker.acceptsNewWork()) return 'worker-closed';
    const set = this.configuration.current();
    if (set && isOut(set, worker.listed.dataCentre)) return 'data-centre-out';
    return undefined;
  }
}
