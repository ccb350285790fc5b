/**
 * Relief of workers on which latency-critical requests are slowed or memory runs short.
 */

/** A batch attempt that runs on a worker. */
export interface PressureAttempt {
  readonly attemptId: string;
  readonly taskClass: string;
  readonly priority: number;
  readonly startedAtMs: number;
  /** Time of its last checkpoint, in milliseconds; its start if there was none. */
  readonly checkpointedAtMs: number;
  readonly milliCores: number;
  readonly memoryMb: number;
  /** Share of its requested processors that it is limited to; 1 is no throttling. */
  readonly throttledTo: number;
  /** Slowdown that it is predicted to cause to requests on the same worker; 1 is none. */
  readonly predictedSlowdown: number;
}

/** State of one worker at one time. */
export interface PressureReading {
  readonly workerId: string;
  readonly nowMs: number;
  /** Latency of the requests on the worker divided by their target; above 1 is too slow. */
  readonly latencyRatio: number;
  /** Used memory divided by capacity. */
  readonly memoryRatio: number;
  readonly attempts: readonly PressureAttempt[];
}

/** Action on one attempt: limit its processors to a share, or evict it. */
export type PressureAction =
  | { readonly kind: 'throttle'; readonly attemptId: string; readonly share: number }
  | { readonly kind: 'evict'; readonly attemptId: string };

/** A policy that relieves pressure on workers. */
export interface PressurePolicy {
  /** Returns the actions to take on one worker. */
  decide(reading: PressureReading): readonly PressureAction[];
}
