/**
 * Says at the moment of sending whether a start or a request may go to a worker.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import { isOut } from '../config/objects.js';
import type { OwnedWorker } from './ownedWorker.js';
import { MAXIMUM_START_CONFIGURATION_AGE_MS } from './taskLease.js';

/** Why nothing may be sent to a worker. */
export type SendRefusal = 'not-owner' | 'worker-closed' | 'configuration-stale' | 'data-centre-out';

/** Judges sends by the clock and the configuration of this moment. */
export class SendGuard {
  /**
   * @param configuration - the configuration in force
   */
  constructor(private readonly configuration: ConfigurationView) {}

  /**
   * Judges the start of an attempt.
   *
   * @param worker - where it is to start
   * @returns why it may not be sent, nothing if it may
   */
  refuseStart(worker: OwnedWorker): SendRefusal | undefined {
    if (!worker.mayCommand()) return 'not-owner';
    if (!worker.acceptsNewWork()) return 'worker-closed';
    return this.refuseDataCentre(worker.listed.dataCentre);
  }

  /**
   * Judges starts in a data centre by the configuration alone.
   *
   * @param dataCentre - name of the data centre
   * @returns why none may be sent, nothing if they may
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
   * Judges a request. Unlike a start it needs no fresh confirmation of the configuration.
   *
   * @param worker - where it is to run
   * @returns why it may not be sent, nothing if it may
   */
  refuseRequest(worker: OwnedWorker): SendRefusal | undefined {
    if (!worker.mayCommand()) return 'not-owner';
    if (!worker.acceptsNewWork()) return 'worker-closed';
    const set = this.configuration.current();
    if (set && isOut(set, worker.listed.dataCentre)) return 'data-centre-out';
    return undefined;
  }
}
