/**
 * Relieves workers on which latency-critical work suffers.
 */

/** A batch attempt at a worker under pressure. */
export interface PressureAttempt {
  readonly attemptId: string;
  readonly taskClass: string;
  readonly priority: number;
  readonly startedAtMs: number;
  /** When its last checkpoint was taken; its start if there was none. */
  readonly checkpointedAtMs: number;
  readonly milliCores: number;
  readonly memoryMb: number;
  /** Share of processors that it is limited to; 1 is all it asked for. */
  readonly throttledTo: number;
  /** Slowdown that it is thought to cause to the requests beside it; 1 is none. */
  readonly predictedSlowdown: number;
}

/** State of one worker. */
export interface PressureReading {
  readonly workerId: string;
  readonly nowMs: number;
  /** Latency of requests there relative to their target; above 1 is too slow. */
  readonly latencyRatio: number;
  /** Memory used relative to capacity. */
  readonly memoryRatio: number;
  readonly attempts: readonly PressureAttempt[];
}

/** What to do to one attempt. */
export type PressureAction =
  | { readonly kind: 'throttle'; readonly attemptId: string; readonly share: number }
  | { readonly kind: 'evict'; readonly attemptId: string };

/** A policy for relieving pressure. */
export interface PressurePolicy {
  decide(reading: PressureReading): readonly PressureAction[];
}
