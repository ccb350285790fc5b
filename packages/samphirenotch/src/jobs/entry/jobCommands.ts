/**
 * Commands of callers: submitting and cancelling jobs. Every entry accepts commands for every job.
 */
import type { Failure } from '../../failure.js';
import type {
  Transaction,
  TransactionOutcome,
  TransactionStore,
} from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin, remainingMs, type Call } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import type { AdmissionRule, Refusal, SubmittedJob } from '../admission/admissionRule.js';
import { encodeAccepted } from '../model/acceptedJob.js';
import type { JobSpec } from '../model/jobSpec.js';
import type { Queue } from '../model/siteConfiguration.js';
import { ACCEPTED_PREFIX, CANCELLED_PREFIX, SERIAL_KEY } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { StoreFollower } from '../store/storeFollower.js';

/** Timeout of one store call, in milliseconds; a healthy store answers within a few. */
const STORE_CALL_TIMEOUT_MS = 500;

/** Timeout of a command with its retries, in milliseconds; callers then retry at another entry. */
const COMMAND_TIMEOUT_MS = 1_400;

/** Time without an answer of the store from which commands are refused at once, in ms. */
const MAX_STORE_SILENCE_MS = 2_000;

/** Retry delay given to callers while the store is unavailable, in milliseconds. */
const STORE_RETRY_AFTER_MS = 1_000;

/** Retry delay given to callers after the store has rejected a command, in milliseconds. */
const BUSY_RETRY_AFTER_MS = 500;

/** Wait before a job is submitted again because another one was accepted first, in milliseconds. */
const OVERTAKEN_RETRY_MS = 20;

/** Result of a command. */
export type CommandOutcome =
  | { readonly kind: 'done' }
  /** No such job is stored. If it is stored later after all, it counts as cancelled. */
  | { readonly kind: 'not-found' }
  /** The command had no effect and will not have one later. */
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly reason: string }
  /** The command may have taken effect; retrying with the same id is safe. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Result of a transaction: that of its command, or what it conflicts with. */
type CommitOutcome = CommandOutcome | Extract<TransactionOutcome, { readonly kind: 'conflict' }>;

/** Dependencies of the commands. */
export interface JobCommandsOptions {
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  /** Keeps the replica up to date; knows how long the store has not answered. */
  readonly follower: StoreFollower;
  readonly clock: Clock;
  /** Rules that can refuse a job; the first refusal counts. */
  readonly rules: readonly AdmissionRule[];
  /** Selects the home share of a job. */
  readonly chooseHome: (job: JobSpec) => Promise<string>;
}

/** Executes the commands of callers. */
export class JobCommands {
  private readonly log = partLog('commands');

  /**
   * @param options - store, replica and rules
   */
  constructor(private readonly options: JobCommandsOptions) {}

  /**
   * Accepts a job by storing it durably. Retries with the same id accept it once.
   *
   * @param jobId - id chosen by the caller
   * @param queue - queue of the job
   * @param job - the job
   * @param call - deadline of the caller
   * @returns result of the command
   */
  async submit(jobId: string, queue: Queue, job: JobSpec, call: Call): Promise<CommandOutcome> {
    const { replica, clock, chooseHome } = this.options;
    if (replica.find(jobId)) return { kind: 'done' };
    const home = await chooseHome(job);
    const accepted = { id: jobId, home, queue, acceptedAtMs: clock.wallMs(), job };
    const outcome = await this.accept({ jobId, queue, home, job }, encodeAccepted(accepted), call);
    this.logOutcome('submit', jobId, queue.name, outcome, home);
    return outcome;
  }

  /** Stores a job unless a rule refuses it. */
  private async accept(
    submitted: SubmittedJob,
    value: string,
    call: Call,
  ): Promise<CommandOutcome> {
    const { rules, replica, follower, clock } = this.options;
    const key = ACCEPTED_PREFIX + submitted.jobId;
    const isSerial = rules.some((rule) => rule.isSerial(submitted.job));
    for (;;) {
      const refusal = this.refusalOf(submitted);
      if (refusal) return { kind: 'refused', ...refusal };
      const serial = { key: SERIAL_KEY, revision: replica.serialRevision };
      const outcome = await this.commit(
        {
          expectations: [{ key, revision: 0 }, ...(isSerial ? [serial] : [])],
          writes: [
            { key, value },
            ...(isSerial ? [{ key: SERIAL_KEY, value: submitted.jobId }] : []),
          ],
          removals: [],
        },
        call,
      );
      // A conflict with the job counts as done: an earlier attempt or another call has already stored it.
      if (outcome.kind !== 'conflict') return outcome;
      if (outcome.current.some((item) => item.key === key)) return { kind: 'done' };
      // Another entry has accepted a job that this one does not know; no attempt takes effect any more.
      await Promise.all([follower.refresh(), clock.sleep(OVERTAKEN_RETRY_MS, call.signal)]);
      if (remainingMs(clock, call) <= 0 || call.signal.aborted)
        return { kind: 'refused', retryAfterMs: BUSY_RETRY_AFTER_MS, reason: 'others came first' };
    }
  }

  /**
   * Cancels a job by storing the cancellation durably. A job that is not stored may still be: its
   * submission may have got no answer. So its cancellation is stored as well, and the job does not
   * run if it is stored later.
   *
   * @param jobId - the job
   * @param queue - queue through which the caller cancels it
   * @param call - deadline of the caller
   * @returns result of the command
   */
  async cancel(jobId: string, queue: Queue, call: Call): Promise<CommandOutcome> {
    const outcome = await this.storeCancellation(jobId, call);
    this.logOutcome('cancel', jobId, queue.name, outcome);
    return outcome;
  }

  private refusalOf(submitted: SubmittedJob): Refusal | undefined {
    for (const rule of this.options.rules) {
      const refusal = rule.check(submitted);
      if (refusal) return refusal;
    }
    return undefined;
  }

  private async storeCancellation(jobId: string, call: Call): Promise<CommandOutcome> {
    const { replica, store, clock } = this.options;
    let isStored = replica.find(jobId) !== undefined;
    if (replica.isCancelled(jobId)) return { kind: isStored ? 'done' : 'not-found' };
    if (!isStored) {
      const stored = await store.get(ACCEPTED_PREFIX + jobId, this.storeCall(call));
      if (stored.err)
        return { kind: 'refused', retryAfterMs: STORE_RETRY_AFTER_MS, reason: 'no store' };
      isStored = stored.val !== undefined;
    }
    const outcome = await this.commit(
      {
        expectations: [],
        writes: [{ key: CANCELLED_PREFIX + jobId, value: String(Math.round(clock.wallMs())) }],
        removals: [],
      },
      call,
    );
    if (outcome.kind === 'done' || outcome.kind === 'conflict')
      return { kind: isStored ? 'done' : 'not-found' };
    return outcome;
  }

  private storeCall(call: Call): Call {
    const { clock } = this.options;
    return callWithin(
      clock,
      Math.min(STORE_CALL_TIMEOUT_MS, remainingMs(clock, call)),
      call.signal,
    );
  }

  private async commit(transaction: Transaction, call: Call): Promise<CommitOutcome> {
    const { store, clock, follower } = this.options;
    if (follower.silenceMs() > MAX_STORE_SILENCE_MS) {
      return { kind: 'refused', retryAfterMs: STORE_RETRY_AFTER_MS, reason: 'the store is away' };
    }
    const commandCall = callWithin(
      clock,
      Math.min(COMMAND_TIMEOUT_MS, remainingMs(clock, call)),
      call.signal,
    );
    let isInDoubt = false;
    let lastFailure: Failure | undefined;
    while (remainingMs(clock, commandCall) > 0 && !call.signal.aborted) {
      const outcome = await store.commit(transaction, this.storeCall(commandCall));
      // No write of a command has a lease.
      if (outcome.ok) return outcome.val.kind === 'conflict' ? outcome.val : { kind: 'done' };
      lastFailure = outcome.val;
      if (lastFailure.effect === 'unknown') isInDoubt = true;
      // The failed call had no effect, so the caller can be refused without further attempts.
      if (!isInDoubt) {
        return { kind: 'refused', retryAfterMs: BUSY_RETRY_AFTER_MS, reason: lastFailure.message };
      }
    }
    return { kind: 'unknown', reason: lastFailure?.message ?? 'the caller left no time' };
  }

  private logOutcome(
    command: string,
    jobId: string,
    queue: string,
    outcome: CommandOutcome,
    home?: string,
  ): void {
    const { follower, replica } = this.options;
    this.log.info('A command was answered', {
      command,
      jobId,
      queue,
      home,
      outcome: outcome.kind,
      reason: 'reason' in outcome ? outcome.reason : undefined,
      revision: replica.revision(),
      storeAgeMs: Math.round(follower.viewAgeMs()),
      storeSilentMs: Math.round(follower.silenceMs()),
    });
  }
}
