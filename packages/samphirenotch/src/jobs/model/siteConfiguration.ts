/**
 * What operators configure for jobs.
 */

/** How long the policy service takes for one call. */
export interface PolicyLatency {
  /** For the call itself, in milliseconds. */
  readonly decisionMs: number;
  /** For each worker asked about, in milliseconds. */
  readonly perWorkerMs: number;
}

/** A queue that callers hand jobs to. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  /** Start of the paths that belong to the queue. */
  readonly prefix: string;
  readonly service: string;
  /** 0 comes first. */
  readonly priority: number;
  /** Failed runs of a task after which the job has failed. */
  readonly maximumAttempts: number;
  /** Allowed time as a multiple of the job's longest chain of work. */
  readonly stretch: number;
  /** Allowed time on top of that, in milliseconds. */
  readonly targetLatencyMs: number;
  /** How long the policy service takes that decides on workers; undefined if none decides. */
  readonly policy?: PolicyLatency | undefined;
}

/** A configuration in force. */
export interface SiteConfiguration {
  readonly version: number;
  readonly queues: readonly Queue[];
  /** Services by name whose workers are off and not paid for. */
  readonly standbyServices: ReadonlySet<string>;
  readonly maximumBodyBytes: number;
}

/** Configuration and what else operators asked for. */
export interface OperatorView {
  readonly configuration: SiteConfiguration | undefined;
  /** Data centres that get no new task. */
  readonly evacuated: ReadonlySet<string>;
}

/**
 * Finds the queue of a request: the longest prefix among those of its host.
 *
 * @param configuration - the configuration in force
 * @param host - host that the request names
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
