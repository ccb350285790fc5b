/**
 * Finds out the outcome of an attempt whose start was not answered, or that sends no reports.
 */
import { callWithin } from '../time/call.js';
import { Err, Ok, type Result } from '../results.js';
import { Failure } from '../failure.js';
import { outcomeOfStop, type AttemptOutcome } from './attemptOutcome.js';
import { RESOLVE_BACKOFF_MS, SHARD_TIMEOUT_MS } from './taskSettings.js';
import type { Attempt } from './job.js';
import type { PartitionContext } from './taskContext.js';

/** Asks the owners of shards for the outcome of attempts. */
export class AttemptResolver {
  /**
   * @param context - the partition
   */
  constructor(private readonly context: PartitionContext) {}

  /**
   * Asks repeatedly until the outcome is confirmed.
   *
   * @param attempt - the attempt
   * @returns its outcome, or nothing if the partition was given up first
   */
  async resolve(attempt: Attempt): Promise<AttemptOutcome | undefined> {
    const { clock, signal } = this.context;
    while (!signal.aborted) {
      const outcome = await this.resolveOnce(attempt);
      if (outcome.ok) return outcome.val;
      await clock.sleep(RESOLVE_BACKOFF_MS, signal);
    }
    return undefined;
  }

  /**
   * Asks once. An attempt that is not found is also stopped, so that a start that is still in
   * flight can no longer take effect.
   *
   * @param attempt - the attempt
   * @returns its outcome, or why it is not known
   */
  async resolveOnce(attempt: Attempt): Promise<Result<AttemptOutcome, Failure>> {
    const { shards, clock, signal } = this.context;
    const { shard, workerId, id } = attempt;
    const call = callWithin(clock, SHARD_TIMEOUT_MS, signal);
    const found = await shards.find(shard, workerId, id, call);
    if (found.err) return found;
    if (found.val) return Ok({ kind: 'reported', report: found.val });
    const stopped = await shards.stop(shard, workerId, id, false, call);
    const outcome = outcomeOfStop(stopped);
    if (outcome) return Ok(outcome);
    return stopped.err ? stopped : Err(this.unresolved(attempt));
  }

  private unresolved(attempt: Attempt): Failure {
    return new Failure({
      code: 'unavailable',
      step: 'tasks.resolve',
      peer: attempt.workerId,
      effect: 'unknown',
      message: `the outcome of attempt ${attempt.id} is unknown`,
    });
  }
}
