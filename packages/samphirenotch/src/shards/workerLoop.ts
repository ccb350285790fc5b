/**
 * Heartbeat loop of one worker: claims the worker, renews the leases of its attempts, and applies
 * its inventory.
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
import type { StopCommands } from './stopCommands.js';
import type { OwnedWorker } from './ownedWorker.js';
import { isSameSize, largerOf } from '../infrastructure/sizes.js';
import {
  FOREIGN_RENEWAL_EXPIRY_MS,
  OWN_RENEWAL_EXPIRY_MS,
  TASK_LEASE_MS,
  WORKER_HEARTBEAT_INTERVAL_MS,
  WORKER_HEARTBEAT_TIMEOUT_MS,
} from './taskLease.js';
import { endedReport, type TrackedAttempt } from './trackedAttempt.js';

const log = partLog('workers');

/** Dependencies of the loop. */
export interface WorkerLoopParts {
  readonly owned: OwnedWorker;
  readonly stopCommands: StopCommands;
  readonly reporter: AttemptReporter;
  readonly configuration: ConfigurationView;
  readonly sizes: SizeEstimator;
  readonly clock: Clock;
  /** Called when request slots or room may have become free. */
  readonly onRoomFreed: () => void;
}

/** Sends claims and heartbeats to one worker. */
export class WorkerLoop {
  /**
   * @param parts - dependencies of the loop
   */
  constructor(private readonly parts: WorkerLoopParts) {}

  /**
   * Sends claims and heartbeats until the signal aborts.
   *
   * @param signal - ends the loop
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.parts.owned.mayCommand()) await this.claimOrHeartbeat(signal);
      if (signal.aborted) return;
      this.endLapsedAttempts();
      await this.parts.clock.sleep(WORKER_HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  private claimOrHeartbeat(signal: AbortSignal): Promise<void> {
    return this.parts.owned.isClaimed() ? this.heartbeat(signal) : this.claim(signal);
  }

  private async claim(signal: AbortSignal): Promise<void> {
    const { owned, clock } = this.parts;
    const sentAtMs = clock.monotonicMs();
    const call = callWithin(clock, WORKER_HEARTBEAT_TIMEOUT_MS, signal);
    const claimed = await owned.worker.claim(owned.grant.epoch, call);
    if (signal.aborted) return;
    if (!claimed.ok) {
      this.recordFailure(claimed.val);
      return;
    }
    if (!this.hasOwnEpoch(claimed.val)) return;
    owned.markClaimed();
    owned.ledger.setEarlierOwnerSlots(claimed.val.busySlots);
    this.applyInventory(claimed.val, sentAtMs);
  }

  private async heartbeat(signal: AbortSignal): Promise<void> {
    const { owned, reporter, clock } = this.parts;
    await this.resolveUncertainStarts(signal);
    if (signal.aborted || !owned.mayCommand()) return;
    const sentAtMs = clock.monotonicMs();
    const heldBefore = owned.ledger.heldSlots();
    const call = callWithin(clock, WORKER_HEARTBEAT_TIMEOUT_MS, signal);
    const renewals = this.renewals();
    const { epoch } = owned.grant;
    const answer = await owned.worker.heartbeat(epoch, renewals, reporter.acknowledged(), call);
    this.extendLeases(renewals);
    if (signal.aborted) return;
    this.handleHeartbeatAnswer(answer, sentAtMs, heldBefore);
  }

  private handleHeartbeatAnswer(
    answer: Result<Inventory, Failure>,
    sentAtMs: number,
    heldBefore: number,
  ): void {
    const { owned } = this.parts;
    if (!answer.ok) {
      this.recordFailure(answer.val);
      return;
    }
    if (!this.hasOwnEpoch(answer.val)) return;
    const heldThroughout = Math.min(heldBefore, owned.ledger.heldSlots());
    owned.ledger.lowerEarlierOwnerSlots(answer.val.busySlots, heldThroughout);
    this.applyInventory(answer.val, sentAtMs);
  }

  /**
   * Checks the epoch of an answer. A higher epoch belongs to a newer owner; a lower one means that
   * the worker restarted and lost its state, so it must be claimed again.
   */
  private hasOwnEpoch({ epoch }: Inventory): boolean {
    const { owned } = this.parts;
    if (epoch === owned.grant.epoch) return true;
    log.warn('A worker has another epoch.', { worker: owned.id, epoch });
    if (epoch > owned.grant.epoch) owned.fence();
    else owned.markUnclaimed();
    return false;
  }

  private applyInventory(inventory: Inventory, sentAtMs: number): void {
    const { owned, reporter, onRoomFreed } = this.parts;
    inventory.attempts.forEach((report) => this.applyReport(report));
    this.endAbsentAttempts(inventory, sentAtMs);
    owned.recordInventory(sentAtMs, inventory.leaving);
    reporter.sendReports(inventory.attempts);
    onRoomFreed();
  }

  private applyReport(report: AttemptReport): void {
    const { owned, sizes } = this.parts;
    const known = owned.attempts.get(report.attemptId);
    if (report.phase !== 'running') {
      if (known?.state === 'running') owned.forget(report.attemptId);
      return;
    }
    const attempt = known ?? this.adopt(report);
    if (report.used && !isSameSize(report.used, attempt.report?.used)) {
      sizes.observe(report.taskClass, attempt.declaredSize, report.used);
    }
    const used = report.used ?? attempt.report?.used ?? attempt.size;
    owned.ledger.set(report.attemptId, largerOf(attempt.size, used));
    const isNewCheckpoint = report.checkpoint !== attempt.report?.checkpoint;
    const checkpointedAtMs = isNewCheckpoint
      ? this.parts.clock.monotonicMs()
      : attempt.checkpointedAtMs;
    owned.attempts.set(report.attemptId, { ...attempt, report, checkpointedAtMs });
  }

  /** Tracks a running attempt that this owner did not know, e.g. one of an earlier owner. */
  private adopt(report: AttemptReport): TrackedAttempt {
    const { owned, clock, configuration } = this.parts;
    const nowMs = clock.monotonicMs();
    owned.ledger.set(report.attemptId, report.size);
    const taskClass = configuration.current()?.taskClasses.get(report.taskClass);
    return {
      ...report,
      declaredSize: taskClass?.size ?? report.size,
      priority: taskClass?.priority ?? 0,
      state: 'running',
      firstSeenAtMs: nowMs,
      leaseExpiresAtMs: nowMs + FOREIGN_RENEWAL_EXPIRY_MS,
      lastStartArrivalAtMs: nowMs,
      answeredAtMs: nowMs,
      checkpointedAtMs: nowMs,
      throttledTo: 1,
    };
  }

  /** Ends attempts that were running before the heartbeat was sent and are not in the inventory. */
  private endAbsentAttempts(inventory: Inventory, sentAtMs: number): void {
    const { owned, reporter } = this.parts;
    const present = new Set(inventory.attempts.map(({ attemptId }) => attemptId));
    [...owned.attempts.values()].forEach((attempt) => {
      const isGone = attempt.state === 'running' && attempt.answeredAtMs < sentAtMs;
      if (!isGone || present.has(attempt.attemptId)) return;
      owned.forget(attempt.attemptId);
      reporter.addEnded(endedReport(attempt, 'lapsed', 'the worker no longer holds it'));
    });
  }

  private async resolveUncertainStarts(signal: AbortSignal): Promise<void> {
    const { owned, stopCommands, reporter } = this.parts;
    const uncertain = [...owned.attempts.values()].filter(({ state }) => state === 'uncertain');
    for (const attempt of uncertain) {
      if (signal.aborted) return;
      const resolved = await stopCommands.resolveUncertain(attempt);
      if (!resolved.ok) continue;
      reporter.addEnded(resolved.val ?? endedReport(attempt, 'stopped', NEVER_STARTED));
    }
  }

  private endLapsedAttempts(): void {
    const { owned, stopCommands, reporter } = this.parts;
    const lapsed = [...owned.attempts.keys()]
      .map((attemptId) => stopCommands.endIfLapsed(attemptId))
      .filter((report) => report !== undefined);
    lapsed.forEach((report) => reporter.addEnded(report));
    if (owned.isSilent()) reporter.sendReports([]);
  }

  /**
   * Lists the leases to renew. A silent worker gets no renewals: they might arrive although it does
   * not answer, and the leases of its attempts would never expire.
   */
  private renewals(): readonly Renewal[] {
    if (this.parts.owned.isSilent()) return [];
    return [...this.parts.owned.attempts.values()]
      .filter((attempt) => attempt.state === 'running' && this.mayRenew(attempt))
      .map(({ attemptId }) => ({ attemptId, leaseMs: TASK_LEASE_MS }));
  }

  /**
   * Tells whether the lease of an attempt may be renewed. If its class is not known, the safer
   * policy applies: the lease is not renewed while the job's owner cannot be reached.
   */
  private mayRenew({ taskClass, partition }: TrackedAttempt): boolean {
    const { configuration, reporter } = this.parts;
    const policy = configuration.current()?.taskClasses.get(taskClass)?.onPartition;
    return policy === 'keep' || reporter.wasAcceptedRecently(partition);
  }

  private extendLeases(renewals: readonly Renewal[]): void {
    const { owned, clock } = this.parts;
    const leaseExpiresAtMs = clock.monotonicMs() + OWN_RENEWAL_EXPIRY_MS;
    renewals.forEach(({ attemptId }) => {
      const attempt = owned.attempts.get(attemptId);
      if (attempt) owned.attempts.set(attemptId, { ...attempt, leaseExpiresAtMs });
    });
  }

  private recordFailure(failure: Failure): void {
    const { owned } = this.parts;
    owned.recordFailure(failure);
    log.debug('A worker did not answer.', { worker: owned.id, reason: failure.message });
  }
}
