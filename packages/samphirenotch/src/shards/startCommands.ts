/**
 * Starts attempts at one worker, and keeps the worker's capacity ledger correct even if calls fail
 * or are not answered.
 */
import type { Failure } from '../failure.js';
import { partLog } from '../observability/log.js';
import type { AttemptOrder, AttemptReport } from '../infrastructure/worker.js';
import { Err, Ok, type Result } from '../results.js';
import { callWithin, remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { StopCommands } from './stopCommands.js';
import type { OwnedWorker } from './ownedWorker.js';
import { notRun } from './shardFailure.js';
import type { Reservation } from './shardService.js';
import type { SendGuard } from './sendGuard.js';
import {
  OWN_RENEWAL_EXPIRY_MS,
  START_TIMEOUT_MS,
  TASK_LEASE_MARGIN_MS,
  TASK_LEASE_MS,
} from './taskLease.js';
import type { TrackedAttempt } from './trackedAttempt.js';

const log = partLog('shards');

const START_STEP = 'shard.start';

/** Sends start commands to one worker. */
export class StartCommands {
  /**
   * @param owned - the worker
   * @param stopCommands - stops attempts whose start was not answered
   * @param guard - checks, right before sending, whether a start is allowed
   * @param clock - for deadlines and leases
   */
  constructor(
    private readonly owned: OwnedWorker,
    private readonly stopCommands: StopCommands,
    private readonly guard: SendGuard,
    private readonly clock: Clock,
  ) {}

  /**
   * Releases a reservation whose attempt was not started.
   *
   * @param reservation - the reservation
   */
  cancel(reservation: Reservation): void {
    const attempt = this.findReserved(reservation);
    if (attempt?.state === 'reserved') this.owned.forget(attempt.attemptId);
  }

  /**
   * Starts the attempt of a reservation. A repeated call sends no second start; it returns the
   * outcome of the first one.
   *
   * @param reservation - the reserved room
   * @param order - the attempt to start
   * @param call - deadline and cancellation
   * @returns the worker's report, or a failure; the effect `not-run` proves that the attempt was
   * not started and never will be
   */
  start(
    reservation: Reservation,
    order: AttemptOrder,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    const attempt = this.findReserved(reservation);
    if (!attempt || attempt.attemptId !== order.attemptId) {
      return this.refuse('the reservation is not live');
    }
    if (attempt.startOutcome) return attempt.startOutcome;
    if (this.stopCommands.isBlocked(attempt.attemptId))
      return this.refuse('the attempt was given up');
    const outcome = this.send(attempt, order, call);
    const current = this.owned.attempts.get(attempt.attemptId);
    if (current) this.owned.attempts.set(attempt.attemptId, { ...current, startOutcome: outcome });
    return outcome;
  }

  /** Waits until no start is in progress. */
  async waitForStarts(): Promise<void> {
    await Promise.all([...this.owned.attempts.values()].map(({ startOutcome }) => startOutcome));
  }

  private async send(
    attempt: TrackedAttempt,
    order: AttemptOrder,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    const refusal = this.guard.refuseStart(this.owned);
    const timeoutMs = Math.min(remainingMs(this.clock, call), START_TIMEOUT_MS);
    if (refusal || timeoutMs === 0) {
      this.owned.forget(attempt.attemptId);
      const code = refusal ? 'unavailable' : 'deadline';
      return Err(notRun(START_STEP, this.owned.id, code, refusal ?? 'the deadline has passed'));
    }
    const { worker, grant } = this.owned;
    const leaseMs = Math.min(order.leaseMs, TASK_LEASE_MS);
    this.owned.attempts.set(attempt.attemptId, { ...attempt, state: 'starting' });
    const sentOrder = { ...order, size: attempt.size, leaseMs };
    const started = await worker.start(grant.epoch, sentOrder, callWithin(this.clock, timeoutMs));
    return this.handleAnswer(attempt, started);
  }

  private async handleAnswer(
    attempt: TrackedAttempt,
    started: Result<AttemptReport, Failure>,
  ): Promise<Result<AttemptReport, Failure>> {
    const nowMs = this.clock.monotonicMs();
    const leaseTimes = {
      answeredAtMs: nowMs,
      leaseExpiresAtMs: nowMs + OWN_RENEWAL_EXPIRY_MS,
      lastStartArrivalAtMs: nowMs + TASK_LEASE_MARGIN_MS,
    };
    if (started.ok) {
      this.updateAttempt({ ...attempt, ...leaseTimes, state: 'running', report: started.val });
      return started;
    }
    this.owned.recordFailure(started.val);
    if (started.val.effect === 'not-run') {
      this.owned.forget(attempt.attemptId);
      return started;
    }
    return this.abandon({ ...attempt, ...leaseTimes, state: 'uncertain' }, started.val);
  }

  private async abandon(
    attempt: TrackedAttempt,
    failure: Failure,
  ): Promise<Result<AttemptReport, Failure>> {
    log.warn('A start was not answered.', { attempt: attempt.attemptId, worker: this.owned.id });
    this.updateAttempt(attempt);
    const resolved = await this.stopCommands.resolveUncertain(attempt);
    if (!resolved.ok) return Err(failure);
    if (resolved.val) return Ok(resolved.val);
    return Err(notRun(START_STEP, this.owned.id, 'unavailable', 'the start did not arrive'));
  }

  private findReserved(reservation: Reservation): TrackedAttempt | undefined {
    return [...this.owned.attempts.values()].find(
      ({ reservationId }) => reservationId === reservation.reservationId,
    );
  }

  private updateAttempt(attempt: TrackedAttempt): void {
    const current = this.owned.attempts.get(attempt.attemptId);
    if (!current) return;
    const settled = current.startOutcome
      ? { ...attempt, startOutcome: current.startOutcome }
      : attempt;
    this.owned.attempts.set(attempt.attemptId, settled);
  }

  private refuse(message: string): Promise<Result<never, Failure>> {
    return Promise.resolve(Err(notRun(START_STEP, this.owned.id, 'conflict', message)));
  }
}
