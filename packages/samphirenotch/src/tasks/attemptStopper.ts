/**
 * Stops attempts that are evicted or cancelled, and retries until their end is confirmed.
 */
import pLimit from 'p-limit';
import { partLog } from '../observability/log.js';
import { callWithin } from '../time/call.js';
import type { Failure } from '../failure.js';
import type { AttemptReport } from '../infrastructure/worker.js';
import type { Result } from '../results.js';
import { detach } from './detach.js';
import { outcomeOfStop, type AttemptOutcome } from './attemptOutcome.js';
import { RESOLVE_BACKOFF_MS, MAXIMUM_CONCURRENT_STOPS, STOP_TIMEOUT_MS } from './taskSettings.js';
import type { Attempt, Job } from './job.js';
import type { PartitionContext } from './taskContext.js';

const log = partLog('task-stops');

/** An attempt and the worker that it was sent to: the parts that are needed to stop it. */
export type AttemptLocation = Pick<Attempt, 'id' | 'shard' | 'workerId'>;

/** Stops attempts of one partition. */
export class AttemptStopper {
  private readonly limit = pLimit(MAXIMUM_CONCURRENT_STOPS);

  private readonly stopping = new Set<string>();

  /**
   * @param context - the partition
   * @param onEnded - called once it is confirmed that the attempt no longer runs
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly onEnded: (attempt: AttemptLocation, outcome: AttemptOutcome) => Promise<void>,
  ) {}

  /**
   * Stops the attempt of a job in the background, unless a stop is already in progress. A
   * checkpoint is taken first unless the job was cancelled.
   *
   * @param job - a job with an attempt
   */
  stopJob(job: Job): void {
    if (job.attempt) this.stop(job.attempt, !job.cancelRequested);
  }

  /**
   * Stops an attempt in the background, unless a stop is already in progress.
   *
   * @param attempt - the attempt
   * @param withCheckpoint - whether to take a checkpoint first
   */
  stop(attempt: AttemptLocation, withCheckpoint: boolean): void {
    if (this.stopping.has(attempt.id)) return;
    this.stopping.add(attempt.id);
    detach(
      this.stopUntilConfirmed(attempt, withCheckpoint).finally(() =>
        this.stopping.delete(attempt.id),
      ),
    );
  }

  private async stopUntilConfirmed(
    attempt: AttemptLocation,
    withCheckpoint: boolean,
  ): Promise<void> {
    const { clock, signal } = this.context;
    while (!signal.aborted) {
      const stopped = await this.limit(() => this.tryStop(attempt, withCheckpoint));
      const outcome = outcomeOfStop(stopped);
      if (outcome) {
        await this.onEnded(attempt, outcome);
        return;
      }
      if (stopped.err) {
        log.warn('Attempt has not stopped yet.', {
          attempt: attempt.id,
          failure: stopped.val.message,
        });
      }
      await clock.sleep(RESOLVE_BACKOFF_MS, signal);
    }
  }

  private tryStop(
    attempt: AttemptLocation,
    withCheckpoint: boolean,
  ): Promise<Result<AttemptReport, Failure>> {
    const { shards, clock, signal } = this.context;
    const call = callWithin(clock, STOP_TIMEOUT_MS, signal);
    return shards.stop(attempt.shard, attempt.workerId, attempt.id, withCheckpoint, call);
  }
}
