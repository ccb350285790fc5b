/**
 * Queries of callers: the state of a job, and the number of waiting jobs of a queue.
 */
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin, remainingMs, type Call } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import type { JobState } from '../model/jobSpec.js';
import { ACCEPTED_PREFIX, ENDED_PREFIX } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { StoreFollower } from '../store/storeFollower.js';

/** Timeout for reading a state from the store, in milliseconds. */
const READ_TIMEOUT_MS = 800;

/** Retry delay given to callers if the store does not answer, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Age of the replica up to which counts are given, in milliseconds; callers accept 2 s. */
const MAX_COUNT_AGE_MS = 2_000;

/** Result of a query for the state of a job. */
export type StateOutcome =
  | { readonly kind: 'known'; readonly state: JobState }
  | { readonly kind: 'not-found' }
  | { readonly kind: 'unavailable'; readonly retryAfterMs: number };

/** Dependencies of the queries. */
export interface JobQueriesOptions {
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  /** Keeps the replica up to date; knows its age. */
  readonly follower: StoreFollower;
  readonly clock: Clock;
}

/** Answers the queries of callers. */
export class JobQueries {
  private readonly log = partLog('queries');

  /**
   * @param options - store and replica
   */
  constructor(private readonly options: JobQueriesOptions) {}

  /**
   * Looks up the state of a job, first in the replica, then in the store.
   *
   * @param jobId - the job
   * @param call - deadline of the caller
   * @returns its state; `not-found` only if the store has no such job
   */
  async state(jobId: string, call: Call): Promise<StateOutcome> {
    const { replica, store, clock, follower } = this.options;
    // The state of an ended or cancelled job is final; for others the replica is updated first.
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
      this.log.warn('Cannot read the state of a job', {
        jobId,
        revision: replica.revision(),
        reason: accepted.err ? accepted.val.message : 'no final state read',
      });
      return { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
    }
    if (!accepted.val) return { kind: 'not-found' };
    const endState = ended.val?.value;
    const openState = replica.isCancelled(jobId) ? 'cancelled' : 'queued';
    return {
      kind: 'known',
      state: endState === 'completed' || endState === 'failed' ? endState : openState,
    };
  }

  /**
   * Counts the jobs of a queue of which no task has started.
   *
   * @param queue - name of the queue
   * @returns number of jobs; undefined before the replica is loaded or if it is too old
   */
  countWaiting(queue: string): number | undefined {
    if (this.options.follower.viewAgeMs() > MAX_COUNT_AGE_MS) return undefined;
    return this.options.replica.countWaiting(queue);
  }
}
