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
import { fateOfStop, type AttemptFate } from './attemptFate.js';
import { RESOLVE_BACKOFF_MS, CONCURRENT_STOPS, STOP_TIMEOUT_MS } from './taskSettings.js';
import type { Attempt, Job } from './job.js';
import type { PartitionContext } from './taskContext.js';

const log = partLog('task-stops');

/** What has to be known of an attempt to stop it. */
export type StopTarget = Pick<Attempt, 'id' | 'shard' | 'workerId'>;

/** Stops attempts of one partition. */
export class AttemptStopper {
  private readonly limit = pLimit(CONCURRENT_STOPS);

  private readonly stopping = new Set<string>();

  /**
   * @param context - the partition
   * @param onEnd - told with proof that the attempt runs no more
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly onEnd: (target: StopTarget, fate: AttemptFate) => Promise<void>,
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
  stop(target: StopTarget, withCheckpoint: boolean): void {
    if (this.stopping.has(target.id)) return;
    this.stopping.add(target.id);
    detach(
      this.stopUntilProved(target, withCheckpoint).finally(() => this.stopping.delete(target.id)),
    );
  }

  private async stopUntilProved(target: StopTarget, withCheckpoint: boolean): Promise<void> {
    const { clock, signal } = this.context;
    while (!signal.aborted) {
      const stopped = await this.limit(() => this.tryStop(target, withCheckpoint));
      const fate = fateOfStop(stopped);
      if (fate) {
        await this.onEnd(target, fate);
        return;
      }
      if (stopped.err) {
        log.warn('Attempt did not stop yet.', { attempt: target.id, failure: stopped.val.message });
      }
      await clock.sleep(RESOLVE_BACKOFF_MS, signal);
    }
  }

  private tryStop(
    target: StopTarget,
    withCheckpoint: boolean,
  ): Promise<Result<AttemptReport, Failure>> {
    const { shards, clock, signal } = this.context;
    const call = callWithin(clock, STOP_TIMEOUT_MS, signal);
    return shards.stop(target.shard, target.workerId, target.id, withCheckpoint, call);
  }
}
