/**
 * The service that alone knows which workers may run a step.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

/** What the policy service decided about some workers. */
export interface PolicyDecision {
  /** Tickets by the ids of workers that may run the step; the others asked about may not, ever. */
  readonly tickets: ReadonlyMap<string, string>;
  /** How long the tickets are good for, in milliseconds. */
  readonly validMs: number;
}

/** Asks for decisions. The service takes one call of a VM at a time. */
export interface PolicyService {
  /**
   * @param stepId - the step
   * @param workerIds - the workers asked about, at most a hundred
   * @param call - deadline and cancellation
   * @returns the decision, or why there is none
   */
  decide(
    stepId: string,
    workerIds: readonly string[],
    call: Call,
  ): Promise<Result<PolicyDecision, Failure>>;
}
