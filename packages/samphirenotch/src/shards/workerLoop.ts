/**
 * The loop that speaks to one worker: claims it, renews leases, and takes in what it holds.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import type { SizeEstimator } from '../decisions/sizeEstimator.js';
import type { Failure } from '../failure.js';
import { partLog } from '../observability/log.js';
import {
  NEVER_STARTED,
  type AttemptReport,
  type Inventory,
  type Renewal,
} from '../infrastructure/worker.js';
import type { Result } from '../results.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { AttemptReporter } from './attemptReporter.js';
import type { AttemptStops } from './attemptStops.js';
import type { OwnedWorker } from './ownedWorker.js';
import { isSameSize, largerOf } from '../infrastructure/sizes.js';
import {
  LAPSE_MS,
  OWN_LAPSE_MS,
  TASK_LEASE_MS,
  WORKER_HEARTBEAT_INTERVAL_MS,
  WORKER_HEARTBEAT_TIMEOUT_MS,
} from './taskLease.js';
import { endedReport, type TrackedAttempt } from './trackedAttempt.js';

const log = partLog('workers');

/** What the loop of a worker works with. */
export interface WorkerLoopParts {
  readonly owned: OwnedWorker;
  readonly stops: AttemptStops;
  readonly reporter: AttemptReporter;
  readonly configuration: ConfigurationView;
  readonly sizes: SizeEstimator;
  readonly clock: Clock;
  /** Called when slots or room may have become free. */
  readonly onRoom: () => void;
}

/** Speaks to one worker. */
export class WorkerLoop {
  /**
   * @param parts - what it works with
   */
  constructor(private readonly parts: WorkerLoopParts) {}

  /**
   * Speaks to the worker until the signal aborts.
   *
   * @param signal - ends the loop
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.parts.owned.mayCommand()) await this.speak(signal);
      if (signal.aborted) return;
      this.concludeLapses();
      await this.parts.clock.sleep(WORKER_HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  private speak(signal: AbortSignal): Promise<void> {
    return this.parts.owned.isClaimed() ? this.beat(signal) : this.claim(signal);
  }

  private async claim(signal: AbortSignal): Promise<void> {
    const { owned, clock } = this.parts;
    const sentAtMs = clock.monotonicMs();
    const call = callWithin(clock, WORKER_HEARTBEAT_TIMEOUT_MS, signal);
    const claimed = await owned.worker.claim(owned.grant.epoch, call);
    if (signal.aborted) return;
    if (!claimed.ok) {
      this.learnFailure(claimed.val);
      return;
    }
    if (!this.hasOwnEpoch(claimed.val)) return;
    owned.claim();
    owned.ledger.countForeignSlots(claimed.val.busySlots);
    this.takeIn(claimed.val, sentAtMs);
  }

  private async beat(signal: AbortSignal): Promise<void> {
    const { owned, reporter, clock } = this.parts;
    await this.chaseUncertain(signal);
    if (signal.aborted || !owned.mayCommand()) return;
    const sentAtMs = clock.monotonicMs();
    const heldBefore = owned.ledger.heldSlots();
    const call = callWithin(clock, WORKER_HEARTBEAT_TIMEOUT_MS, signal);
    const renewals = this.renewals();
    const { epoch } = owned.grant;
    const answer = await owned.worker.heartbeat(epoch, renewals, reporter.acknowledged(), call);
    this.extendLeases(renewals);
    if (signal.aborted) return;
    this.takeAnswer(answer, sentAtMs, heldBefore);
  }

  private takeAnswer(
    answer: Result<Inventory, Failure>,
    sentAtMs: number,
    heldBefore: number,
  ): void {
    const { owned } = this.parts;
    if (!answer.ok) {
      this.learnFailure(answer.val);
      return;
    }
    if (!this.hasOwnEpoch(answer.val)) return;
    const heldThroughout = Math.min(heldBefore, owned.ledger.heldSlots());
    owned.ledger.settleForeignSlots(answer.val.busySlots, heldThroughout);
    this.takeIn(answer.val, sentAtMs);
  }

  /** A higher epoch is that of a newer owner; a lower one that of a worker which lost its memory. */
  private hasOwnEpoch({ epoch }: Inventory): boolean {
    const { owned } = this.parts;
    if (epoch === owned.grant.epoch) return true;
    log.warn('A worker has another epoch.', { worker: owned.id, epoch });
    if (epoch > owned.grant.epoch) owned.fence();
    else owned.unclaim();
    return false;
  }

  private takeIn(inventory: Inventory, sentAtMs: number): void {
    const { owned, reporter, onRoom } = this.parts;
    inventory.attempts.forEach((report) => this.takeReport(report));
    this.dropAbsent(inventory, sentAtMs);
    owned.answered(sentAtMs, inventory.leaving);
    reporter.offer(inventory.attempts);
    onRoom();
  }

  private takeReport(report: AttemptReport): void {
    const { owned, sizes } = this.parts;
    const known = owned.attempts.get(report.attemptId);
    if (report.phase !== 'running') {
      if (known?.state === 'running') owned.forget(report.attemptId);
      return;
    }
    const attempt = known ?? this.adopt(report);
    if (report.used && !isSameSize(report.used, attempt.report?.used)) {
      sizes.observe(report.taskClass, attempt.declared, report.used);
    }
    const used = report.used ?? attempt.report?.used ?? attempt.size;
    owned.ledger.count(report.attemptId, largerOf(attempt.size, used));
    const isNewCheckpoint = report.checkpoint !== attempt.report?.checkpoint;
    const checkpointedAtMs = isNewCheckpoint
      ? this.parts.clock.monotonicMs()
      : attempt.checkpointedAtMs;
    owned.attempts.set(report.attemptId, { ...attempt, report, checkpointedAtMs });
  }

  private adopt(report: AttemptReport): TrackedAttempt {
    const { owned, clock, configuration } = this.parts;
    const nowMs = clock.monotonicMs();
    owned.ledger.count(report.attemptId, report.size);
    const taskClass = configuration.current()?.taskClasses.get(report.taskClass);
    return {
      ...report,
      declared: taskClass?.size ?? report.size,
      priority: taskClass?.priority ?? 0,
      state: 'running',
      sinceMs: nowMs,
      lapsesAtMs: nowMs + LAPSE_MS,
      settlesAtMs: nowMs,
      answeredAtMs: nowMs,
      checkpointedAtMs: nowMs,
      throttledTo: 1,
    };
  }

  /** An attempt that was running before the inquiry and is not in the inventory runs no more. */
  private dropAbsent(inventory: Inventory, sentAtMs: number): void {
    const { owned, reporter } = this.parts;
    const present = new Set(inventory.attempts.map(({ attemptId }) => attemptId));
    [...owned.attempts.values()].forEach((attempt) => {
      const isGone = attempt.state === 'running' && attempt.answeredAtMs < sentAtMs;
      if (!isGone || present.has(attempt.attemptId)) return;
      owned.forget(attempt.attemptId);
      reporter.conclude(endedReport(attempt, 'lapsed', 'the worker no longer holds it'));
    });
  }

  private async chaseUncertain(signal: AbortSignal): Promise<void> {
    const { owned, stops, reporter } = this.parts;
    const uncertain = [...owned.attempts.values()].filter(({ state }) => state === 'uncertain');
    for (const attempt of uncertain) {
      if (signal.aborted) return;
      const chased = await stops.chase(attempt);
      if (!chased.ok) continue;
      reporter.conclude(chased.val ?? endedReport(attempt, 'stopped', NEVER_STARTED));
    }
  }

  private concludeLapses(): void {
    const { owned, stops, reporter } = this.parts;
    const lapsed = [...owned.attempts.keys()]
      .map((attemptId) => stops.concludeLapse(attemptId))
      .filter((report) => report !== undefined);
    lapsed.forEach((report) => reporter.conclude(report));
    if (owned.isSilent()) reporter.offer([]);
  }

  /** A silent worker gets no renewals: they may arrive, and its attempts would never lapse. */
  private renewals(): readonly Renewal[] {
    if (this.parts.owned.isSilent()) return [];
    return [...this.parts.owned.attempts.values()]
      .filter((attempt) => attempt.state === 'running' && this.mayRenew(attempt))
      .map(({ attemptId }) => ({ attemptId, leaseMs: TASK_LEASE_MS }));
  }

  /** Without its class the safer policy counts: leases lapse when the job's owner is out of reach. */
  private mayRenew({ taskClass, partition }: TrackedAttempt): boolean {
    const { configuration, reporter } = this.parts;
    const policy = configuration.current()?.taskClasses.get(taskClass)?.onPartition;
    return policy === 'keep' || reporter.wasTakenLately(partition);
  }

  private extendLeases(renewals: readonly Renewal[]): void {
    const { owned, clock } = this.parts;
    const lapsesAtMs = clock.monotonicMs() + OWN_LAPSE_MS;
    renewals.forEach(({ attemptId }) => {
      const attempt = owned.attempts.get(attemptId);
      if (attempt) owned.attempts.set(attemptId, { ...attempt, lapsesAtMs });
    });
  }

  private learnFailure(failure: Failure): void {
    const { owned } = this.parts;
    owned.learnFailure(failure);
    log.debug('A worker did not answer.', { worker: owned.id, reason: failure.message });
  }
}
