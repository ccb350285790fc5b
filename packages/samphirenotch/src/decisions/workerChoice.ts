/**
 * Choice of the worker that a request is sent to.
 */

/** A worker with a free slot. */
export interface WorkerCandidate {
  readonly workerId: string;
  /** Number of requests in progress on the worker. */
  readonly busySlots: number;
  /** Number of requests that the worker serves concurrently. */
  readonly slots: number;
  /** Classes of the tasks that run on the worker. */
  readonly neighbours: readonly string[];
}

/** Outcome of a request that was sent to a worker. */
export interface WorkerObservation {
  readonly workerId: string;
  readonly taskClass: string;
  /** Whether the worker answered, failed the request, or did not answer at all. */
  readonly kind: 'answered' | 'failed' | 'silent';
  readonly latencyMs: number;
  readonly nowMs: number;
}

/** A policy that chooses the worker for a request. */
export interface WorkerChoice {
  /** Chooses among candidates; `undefined` only if none of them may be used. */
  choose(
    taskClass: string,
    candidates: readonly WorkerCandidate[],
    nowMs: number,
  ): WorkerCandidate | undefined;
  /** Records the outcome of a request. */
  observe(observation: WorkerObservation): void;
  /** Removes the state of a worker that has left. */
  forget(workerId: string): void;
}
