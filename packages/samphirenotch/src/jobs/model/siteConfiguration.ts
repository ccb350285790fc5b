/**
 * Configuration of job queues by operators.
 */

/** Expected latency of a call to the policy service. */
export interface PolicyLatency {
  /** Fixed part per call, in milliseconds. */
  readonly decisionMs: number;
  /** Additional time per worker in the call, in milliseconds. */
  readonly perWorkerMs: number;
}

/** A queue to which callers submit jobs. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  /** Path prefix of the requests that belong to the queue. */
  readonly prefix: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of a task after which the job fails. */
  readonly maximumAttempts: number;
  /** Allowed time for a job, as a multiple of the duration of its critical path. */
  readonly stretch: number;
  /** Allowed time in addition to that, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Latency of the policy service that decides which workers may be used; undefined for none. */
  readonly policy?: PolicyLatency | undefined;
}

/** The configuration of a site. */
export interface SiteConfiguration {
  readonly version: number;
  readonly queues: readonly Queue[];
  /** Names of the services whose workers are switched off and not paid for. */
  readonly standbyServices: ReadonlySet<string>;
  readonly maximumBodyBytes: number;
}

/** Configuration and evacuations, as last set by operators. */
export interface OperatorView {
  readonly configuration: SiteConfiguration | undefined;
  /** Data centres in which no new task is started. */
  readonly evacuated: ReadonlySet<string>;
}

/**
 * Finds the queue of a request: the one with the longest matching path prefix on its host.
 *
 * @param configuration - the configuration in force
 * @param host - host of the request
 * @param path - path of the request
 * @returns the queue, or undefined if there is none
 */
export const findQueue = (
  configuration: SiteConfiguration,
  host: string,
  path: string,
): Queue | undefined =>
  configuration.queues
    .filter((queue) => queue.host === host && path.startsWith(queue.prefix))
    .reduce<Queue | undefined>(
      (best, queue) => (best && best.prefix.length >= queue.prefix.length ? best : queue),
      undefined,
    );
