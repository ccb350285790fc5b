/**
 * Reduces the load of batch attempts on workers under pressure: throttles attempts, and evicts them
 * if that is not enough.
 */
import type { InterferenceModel } from '../decisions/interferenceModel.js';
import type {
  PressureAction,
  PressureAttempt,
  PressurePolicy,
  PressureReading,
} from '../decisions/pressurePolicy.js';
import { partLog } from '../observability/log.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { OwnedWorker } from './ownedWorker.js';
import type { ShardHandler } from './shardHandler.js';
import type { ShardWorker } from './shardWorker.js';
import type { TrackedAttempt } from './trackedAttempt.js';

const CHECK_INTERVAL_MS = 1000;
const THROTTLE_TIMEOUT_MS = 1000;
const EVICTION_TIMEOUT_MS = 10_000;

const log = partLog('pressure');

/**
 * Checks each worker of the owned shards periodically, and carries out the actions of the policy.
 */
export class PressureLoop {
  /** Ids of attempts whose eviction is in progress. */
  private readonly evicting = new Set<string>();

  /**
   * @param handler - the shards that this entry owns
   * @param policy - decides which attempts to throttle or evict
   * @param interference - predicts how much attempts slow requests down
   * @param clock - for pauses and deadlines
   */
  constructor(
    private readonly handler: ShardHandler,
    private readonly policy: PressurePolicy,
    private readonly interference: InterferenceModel,
    private readonly clock: Clock,
  ) {}

  /**
   * Checks the workers until the signal aborts.
   *
   * @param signal - ends the loop
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const workers = this.handler.owners().flatMap((owner) => owner.workers());
      const open = workers.filter(({ owned }) => owned.isClaimed() && owned.mayCommand());
      await Promise.all(open.map((worker) => this.relievePressure(worker)));
      await this.clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  private async relievePressure(worker: ShardWorker): Promise<void> {
    const actions = this.policy.decide(this.measure(worker.owned));
    for (const action of actions) await this.perform(worker, action);
  }

  private measure(owned: OwnedWorker): PressureReading {
    const nowMs = this.clock.monotonicMs();
    const running = [...owned.attempts.values()].filter(({ state }) => state === 'running');
    const usedMb = running
      .map(({ report, size }) => report?.used?.memoryMb ?? size.memoryMb)
      .reduce((sum, each) => sum + each, 0);
    return {
      workerId: owned.id,
      nowMs,
      latencyRatio: owned.latency.ratio(nowMs),
      memoryRatio: usedMb / Math.max(1, owned.listed.capacity.memoryMb),
      attempts: running
        .filter(({ attemptId }) => !this.evicting.has(attemptId))
        .map((attempt) => this.describe(attempt, owned)),
    };
  }

  private describe(attempt: TrackedAttempt, owned: OwnedWorker): PressureAttempt {
    const { attemptId, taskClass, priority, firstSeenAtMs, checkpointedAtMs, throttledTo } =
      attempt;
    const used = attempt.report?.used ?? attempt.size;
    const nowMs = this.clock.monotonicMs();
    const slowdowns = [...owned.requestClasses].map((requestClass) =>
      this.interference.predict(requestClass, [taskClass], nowMs),
    );
    return {
      attemptId,
      taskClass,
      priority,
      startedAtMs: firstSeenAtMs,
      checkpointedAtMs,
      milliCores: used.milliCores,
      memoryMb: used.memoryMb,
      throttledTo,
      predictedSlowdown: Math.max(1, ...slowdowns),
    };
  }

  private async perform(worker: ShardWorker, action: PressureAction): Promise<void> {
    if (action.kind === 'throttle') {
      await this.throttle(worker.owned, action.attemptId, action.share);
      return;
    }
    if (this.evicting.has(action.attemptId)) return;
    this.evicting.add(action.attemptId);
    // Not awaited: a checkpoint can take long, and the other workers must be checked meanwhile.
    this.evict(worker, action.attemptId)
      .catch((error: unknown) => log.error('An eviction failed.', { reason: String(error) }))
      .finally(() => this.evicting.delete(action.attemptId));
  }

  private async throttle(owned: OwnedWorker, attemptId: string, share: number): Promise<void> {
    const call = callWithin(this.clock, THROTTLE_TIMEOUT_MS);
    const throttled = await owned.worker.throttle(owned.grant.epoch, attemptId, share, call);
    if (!throttled.ok) {
      owned.recordFailure(throttled.val);
      return;
    }
    const attempt = owned.attempts.get(attemptId);
    if (attempt) owned.attempts.set(attemptId, { ...attempt, throttledTo: share });
    log.info('An attempt was throttled.', { attempt: attemptId, worker: owned.id, share });
  }

  private async evict(
    { owned, stopCommands, reporter }: ShardWorker,
    attemptId: string,
  ): Promise<void> {
    const call = callWithin(this.clock, EVICTION_TIMEOUT_MS);
    const stopped = await stopCommands.stop(attemptId, true, call);
    if (!stopped.ok) {
      log.warn('An attempt was not evicted.', { attempt: attemptId, worker: owned.id });
      return;
    }
    reporter.addEnded(stopped.val);
    log.info('An attempt was evicted.', { attempt: attemptId, worker: owned.id });
  }
}
