/**
 * The external service that decides which workers may run a step.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

/** The policy service's decision about a set of workers. */
export interface PolicyDecision {
  /** Tickets by worker id. Requested workers without a ticket may never run the step. */
  readonly tickets: ReadonlyMap<string, string>;
  /** How long the tickets are valid, in milliseconds. */
  readonly validMs: number;
}

/** Requests decisions. The service accepts only one call at a time from each VM. */
export interface PolicyService {
  /**
   * Requests the decision about some workers for a step.
   *
   * @param stepId - the step
   * @param workerIds - the workers to decide about, at most a hundred
   * @param call - deadline and cancellation
   * @returns the decision, or the failure of the call
   */
  decide(
    stepId: string,
    workerIds: readonly string[],
    call: Call,
  ): Promise<Result<PolicyDecision, Failure>>;
}
