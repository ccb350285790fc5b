/**
 * Stops attempts that are evicted or cancelled, and keeps at it until their end is proved.
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

/** What has to be known of an attempt to stop it. */
export type AttemptLocation = Pick<Attempt, 'id' | 'shard' | 'workerId'>;

/** Stops attempts of one partition. */
export class AttemptStopper {
  private readonly limit = pLimit(MAXIMUM_CONCURRENT_STOPS);

  private readonly stopping = new Set<string>();

  /**
   * @param context - the partition
   * @param onEnded - told with proof that the attempt runs no more
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly onEnded: (target: AttemptLocation, outcome: AttemptOutcome) => Promise<void>,
  ) {}

  /**
   * Stops the attempt of a job, unless that is under way already.
   *
   * @param job - a job with an attempt
   */
  stopJob(job: Job): void {
    if (job.attempt) this.stop(job.attempt, !job.cancelRequested);
  }

  /**
   * Stops an attempt, unless that is under way already.
   *
   * @param target - the attempt
   * @param withCheckpoint - whether to take a checkpoint first
   */
  stop(target: AttemptLocation, withCheckpoint: boolean): void {
    if (this.stopping.has(target.id)) return;
    this.stopping.add(target.id);
    detach(
      this.stopUntilConfirmed(target, withCheckpoint).finally(() =>
        this.stopping.delete(target.id),
      ),
    );
  }

  private async stopUntilConfirmed(
    target: AttemptLocation,
    withCheckpoint: boolean,
  ): Promise<void> {
    const { clock, signal } = this.context;
    while (!signal.aborted) {
      const stopped = await this.limit(() => this.tryStop(target, withCheckpoint));
      const outcome = outcomeOfStop(stopped);
      if (outcome) {
        await this.onEnded(target, outcome);
        return;
      }
      if (stopped.err) {
        log.warn('Attempt did not stop yet.', { attempt: target.id, failure: stopped.val.message });
      }
      await clock.sleep(RESOLVE_BACKOFF_MS, signal);
    }
  }

  private tryStop(
    target: AttemptLocation,
    withCheckpoint: boolean,
  ): Promise<Result<AttemptReport, Failure>> {
    const { shards, clock, signal } = this.context;
    const call = callWithin(clock, STOP_TIMEOUT_MS, signal);
    return shards.stop(target.shard, target.workerId, target.id, withCheckpoint, call);
  }
}
