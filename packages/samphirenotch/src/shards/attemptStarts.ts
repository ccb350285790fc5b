/**
 * Starts attempts at one worker, and keeps its ledger right whatever becomes of the calls.
 */
import type { Failure } from '../failure.js';
import { partLog } from '../observability/log.js';
import type { AttemptOrder, AttemptReport } from '../infrastructure/worker.js';
import { Err, Ok, type Result } from '../results.js';
import { callWithin, remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { AttemptStops } from './attemptStops.js';
import type { OwnedWorker } from './ownedWorker.js';
import { notRun } from './shardFailure.js';
import type { Reservation } from './shardService.js';
import type { StartGuard } from './startGuard.js';
import { OWN_LAPSE_MS, START_TIMEOUT_MS, TASK_LEASE_DRIFT_MS, TASK_LEASE_MS } from './taskLease.js';
import type { TrackedAttempt } from './trackedAttempt.js';

const log = partLog('shards');

const START_STEP = 'shard.start';

/** Starts at one worker. */
export class AttemptStarts {
  /**
   * @param owned - the worker
   * @param stops - stops what was given up
   * @param guard - judges starts at the moment of sending
   * @param clock - for deadlines and leases
   */
  constructor(
    private readonly owned: OwnedWorker,
    private readonly stops: AttemptStops,
    private readonly guard: StartGuard,
    private readonly clock: Clock,
  ) {}

  /**
   * Frees a reservation that was not started.
   *
   * @param reservation - the reservation
   */
  cancel(reservation: Reservation): void {
    const attempt = this.findReserved(reservation);
    if (attempt?.state === 'reserved') this.owned.forget(attempt.attemptId);
  }

  /**
   * Starts an attempt in reserved room. A start that was asked for already is not sent again.
   *
   * @param reservation - the room
   * @param order - what to start
   * @param call - until when the start is of use
   * @returns the report; `not-run` proves that it was not and never will be started
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
    if (attempt.outcome) return attempt.outcome;
    if (this.stops.isVoided(attempt.attemptId)) return this.refuse('the attempt was given up');
    const outcome = this.send(attempt, order, call);
    const now = this.owned.attempts.get(attempt.attemptId);
    if (now) this.owned.attempts.set(attempt.attemptId, { ...now, outcome });
    return outcome;
  }

  /** Waits until no start is under way. */
  async settle(): Promise<void> {
    await Promise.all([...this.owned.attempts.values()].map(({ outcome }) => outcome));
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
    const sent = { ...order, size: attempt.size, leaseMs };
    const started = await worker.start(grant.epoch, sent, callWithin(this.clock, timeoutMs));
    return this.takeAnswer(attempt, started);
  }

  private async takeAnswer(
    attempt: TrackedAttempt,
    started: Result<AttemptReport, Failure>,
  ): Promise<Result<AttemptReport, Failure>> {
    const nowMs = this.clock.monotonicMs();
    const times = {
      answeredAtMs: nowMs,
      lapsesAtMs: nowMs + OWN_LAPSE_MS,
      settlesAtMs: nowMs + TASK_LEASE_DRIFT_MS,
    };
    if (started.ok) {
      this.settleAs({ ...attempt, ...times, state: 'running', report: started.val });
      return started;
    }
    this.owned.learnFailure(started.val);
    if (started.val.effect === 'not-run') {
      this.owned.forget(attempt.attemptId);
      return started;
    }
    return this.giveUp({ ...attempt, ...times, state: 'uncertain' }, started.val);
  }

  private async giveUp(
    attempt: TrackedAttempt,
    failure: Failure,
  ): Promise<Result<AttemptReport, Failure>> {
    log.warn('A start was not answered.', { attempt: attempt.attemptId, worker: this.owned.id });
    this.settleAs(attempt);
    const chased = await this.stops.chase(attempt);
    if (!chased.ok) return Err(failure);
    if (chased.val) return Ok(chased.val);
    return Err(notRun(START_STEP, this.owned.id, 'unavailable', 'the start did not arrive'));
  }

  private findReserved(reservation: Reservation): TrackedAttempt | undefined {
    return [...this.owned.attempts.values()].find(
      ({ reservationId }) => reservationId === reservation.reservationId,
    );
  }

  private settleAs(attempt: TrackedAttempt): void {
    const now = this.owned.attempts.get(attempt.attemptId);
    if (!now) return;
    const settled = now.outcome ? { ...attempt, outcome: now.outcome } : attempt;
    this.owned.attempts.set(attempt.attemptId, settled);
  }

  private refuse(message: string): Promise<Result<never, Failure>> {
    return Promise.resolve(Err(notRun(START_STEP, this.owned.id, 'conflict', message)));
  }
}
