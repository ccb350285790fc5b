/**
 * What callers ask: the state of a job, and how many jobs of a queue wait.
 */
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin, remainingMs, type Call } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import type { JobState } from '../model/jobSpec.js';
import { ACCEPTED_PREFIX, ENDED_PREFIX } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { StoreFollower } from '../store/storeFollower.js';

/** Time for a read of the store, in milliseconds. */
const READ_TIMEOUT_MS = 800;

/** When callers may come back if the store does not answer, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Age up to which a count of waiting jobs is told, in milliseconds; callers accept 2 s. */
const MAX_COUNT_AGE_MS = 2_000;

/** What is known of a job's state. */
export type StateOutcome =
  | { readonly kind: 'known'; readonly state: JobState }
  | { readonly kind: 'not-found' }
  | { readonly kind: 'unavailable'; readonly retryAfterMs: number };

/** What queries work with. */
export interface JobQueriesOptions {
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  /** Tells how old the replica is. */
  readonly follower: StoreFollower;
  readonly clock: Clock;
}

/** Serves queries of callers. */
export class JobQueries {
  private readonly log = partLog('queries');

  /**
   * @param options - store and replica
   */
  constructor(private readonly options: JobQueriesOptions) {}

  /**
   * Tells the state of a job.
   *
   * @param jobId - the job
   * @param call - deadline of the caller
   * @returns its state; `not-found` only if the store says so
   */
  async state(jobId: string, call: Call): Promise<StateOutcome> {
    const { replica, store, clock, follower } = this.options;
    // A job that has ended stays so; of others the newest state is asked for.
    if (!replica.isTerminal(jobId)) await follower.refresh();
    const state = replica.stateOf(jobId);
    if (state) return { kind: 'known', state };
    const readCall = callWithin(
      clock,
      Math.min(READ_TIMEOUT_MS, remainingMs(clock, call)),
      call.signal,
    );
    const accepted = await store.get(ACCEPTED_PREFIX + jobId, readCall);
    const ended =
      accepted.ok && accepted.val ? await store.get(ENDED_PREFIX + jobId, readCall) : accepted;
    if (accepted.err || ended.err) {
      this.log.warn('The state of a job is not known here', {
        jobId,
        revision: replica.revision(),
        reason: accepted.err ? accepted.val.message : 'no final state read',
      });
      return { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
    }
    if (!accepted.val) return { kind: 'not-found' };
    const endState = ended.val?.value;
    return {
      kind: 'known',
      state: endState === 'completed' || endState === 'failed' ? endState : 'queued',
    };
  }

  /**
   * Counts the jobs of a queue that no task was started of.
   *
   * @param queue - name of the queue
   * @returns how many; undefined if the jobs are not known here, or were read too long ago
   */
  countWaiting(queue: string): number | undefined {
    if (this.options.follower.viewAgeMs() > MAX_COUNT_AGE_MS) return undefined;
    return this.options.replica.countWaiting(queue);
  }
}
