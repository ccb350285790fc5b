/**
 * Creates clients for workers that are accessed over HTTP.
 */
import type { Clock } from '../time/clock.js';

import { HttpWorker } from './httpWorker.js';
import type { Worker, WorkerDirectory } from './worker.js';

/** Creates an HTTP client for each listed worker. */
export class HttpWorkerDirectory implements WorkerDirectory {
  /**
   * @param clock - the clock that deadlines are set on
   */
  constructor(private readonly clock: Clock) {}

  connect(workerId: string, address: string): Worker {
    return new HttpWorker(workerId, address, this.clock);
  }
}
