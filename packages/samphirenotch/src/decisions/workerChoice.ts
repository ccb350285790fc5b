/**
 * Chooses the worker that a request is sent to.
 */

/** A worker with a free slot, as the chooser sees it. */
export interface WorkerCandidate {
  readonly workerId: string;
  /** Requests in progress there. */
  readonly busySlots: number;
  readonly slots: number;
  /** Classes of the tasks that run beside the request. */
  readonly neighbours: readonly string[];
}

/** How a request went at a worker. */
export interface WorkerObservation {
  readonly workerId: string;
  readonly taskClass: string;
  readonly kind: 'answered' | 'failed' | 'silent';
  readonly latencyMs: number;
  readonly nowMs: number;
}

/** A policy for choosing a worker. */
export interface WorkerChoice {
  /** Chooses among candidates; `undefined` only if there is none that may be used. */
  choose(
    taskClass: string,
    candidates: readonly WorkerCandidate[],
    nowMs: number,
  ): WorkerCandidate | undefined;
  observe(observation: WorkerObservation): void;
  /** Forgets a worker that left. */
  forget(workerId: string): void;
}
