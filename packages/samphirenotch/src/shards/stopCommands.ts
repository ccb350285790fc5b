/**
 * Stops attempts at one worker, and determines when it is proven that they no longer run.
 */
import type { Failure } from '../failure.js';
import { NEVER_STARTED, type AttemptReport } from '../infrastructure/worker.js';
import { Err, Ok, type Result } from '../results.js';
import { callWithin, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { OwnedWorker } from './ownedWorker.js';
import { notRun, unknownEffect } from './shardFailure.js';
import { endedReport, type TrackedAttempt } from './trackedAttempt.js';

const STOP_TIMEOUT_MS = 1000;
const STOP_STEP = 'shard.stop';
const FIND_STEP = 'shard.find';
const NOT_HELD = 'the worker does not hold it';

/** Maximum number of blocked attempts that are remembered; the oldest are dropped first. */
const MAXIMUM_BLOCKED_ATTEMPTS = 10_000;

/** Sends stop commands and queries about attempts to one worker. */
export class StopCommands {
  /** Ids of attempts that must not be started at this worker any more. */
  private readonly blocked = new Set<string>();

  /** Blocked attempts that were reserved, but never sent to the worker. */
  private readonly neverSent = new Map<string, TrackedAttempt>();

  /**
   * @param owned - the worker
   * @param clock - for deadlines and lease expiry
   */
  constructor(
    private readonly owned: OwnedWorker,
    private readonly clock: Clock,
  ) {}

  /**
   * Tells whether an attempt is blocked at this worker.
   *
   * @param attemptId - the attempt
   * @returns true if it must not be reserved or started any more
   */
  isBlocked(attemptId: string): boolean {
    return this.blocked.has(attemptId);
  }

  /**
   * Prevents an attempt from being reserved or started at this worker from now on, and releases a
   * reservation that was not yet started.
   *
   * @param attemptId - the attempt
   */
  blockAttempt(attemptId: string): void {
    this.blocked.add(attemptId);
    const attempt = this.owned.attempts.get(attemptId);
    if (attempt?.state === 'reserved') {
      this.neverSent.set(attemptId, attempt);
      this.forget(attemptId);
    }
    this.dropOldestBlocked();
  }

  /**
   * Stops an attempt, and blocks it.
   *
   * @param attemptId - the attempt
   * @param withCheckpoint - whether to take a checkpoint first
   * @param call - deadline and cancellation
   * @returns the last report, which proves that the attempt does not run and never will, or a
   * failure
   */
  async stop(
    attemptId: string,
    withCheckpoint: boolean,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    this.blockAttempt(attemptId);
    await this.owned.attempts.get(attemptId)?.startOutcome;
    const checkpoint = withCheckpoint ? await this.checkpoint(attemptId, call) : undefined;
    const stopped = await this.stopNow(attemptId, call);
    if (!stopped.ok || checkpoint === undefined) return stopped;
    return Ok({ ...stopped.val, checkpoint });
  }

  /**
   * Asks the worker whether it holds an attempt. An attempt that the worker does not hold is
   * blocked, even if room is reserved for it.
   *
   * @param attemptId - the attempt
   * @param call - deadline and cancellation
   * @returns the report, or `undefined` as proof that the attempt does not run here and never will
   */
  async find(attemptId: string, call: Call): Promise<Result<AttemptReport | undefined, Failure>> {
    await this.owned.attempts.get(attemptId)?.startOutcome;
    const attempt = this.owned.attempts.get(attemptId);
    if (attempt?.state === 'uncertain') return this.stopNow(attemptId, call);
    const lapsed = this.endIfLapsed(attemptId);
    if (lapsed) return Ok(lapsed);
    if (!this.owned.isInventoryComplete() || !this.owned.mayCommand()) {
      return this.unknown(FIND_STEP, 'no inventory of the worker is known');
    }
    const { worker, grant } = this.owned;
    const found = await worker.heartbeat(grant.epoch, [], [], call);
    if (!found.ok) {
      this.owned.recordFailure(found.val);
      return Err(found.val);
    }
    const report = found.val.attempts.find((each) => each.attemptId === attemptId);
    if (!report) this.blockAttempt(attemptId);
    return Ok(report);
  }

  /**
   * Stops an attempt whose start was not answered and may still arrive. Frees its room once it is
   * proven that the attempt does not run and cannot start any more.
   *
   * @param attempt - an attempt in state `uncertain`
   * @returns how the attempt ended, `undefined` as proof that it never ran, or a failure if neither
   * is known yet
   */
  async resolveUncertain(
    attempt: TrackedAttempt,
  ): Promise<Result<AttemptReport | undefined, Failure>> {
    const { guarantees } = this.owned.worker;
    const isFinal =
      guarantees.idempotentStarts || this.clock.monotonicMs() >= attempt.lastStartArrivalAtMs;
    const call = callWithin(this.clock, STOP_TIMEOUT_MS);
    const stopped = await this.stopAtWorker(attempt.attemptId, call);
    if (!stopped.ok) return stopped;
    if (!isFinal) return this.unknown(STOP_STEP, 'the start may yet arrive');
    this.forget(attempt.attemptId);
    if (stopped.val) return stopped;
    // After this time a worker without the attempt may have run it, restarted, and lost its state.
    const isRecent = this.clock.monotonicMs() - attempt.answeredAtMs <= STOP_TIMEOUT_MS;
    if (isRecent && guarantees.keepsEndedAttempts) return Ok(undefined);
    return Ok(endedReport(attempt, 'lapsed', NOT_HELD));
  }

  /**
   * Ends an attempt whose lease has expired. Needs no answer of the worker, because an attempt does
   * not run on without a renewal. Applies only if no other owner can have renewed the lease.
   *
   * @param attemptId - the attempt
   * @returns the last report, or `undefined` if the attempt may still run
   */
  endIfLapsed(attemptId: string): AttemptReport | undefined {
    const attempt = this.owned.attempts.get(attemptId);
    if (!attempt || attempt.state === 'reserved' || attempt.state === 'starting') return undefined;
    if (!this.owned.isSoleRenewer()) return undefined;
    if (this.clock.monotonicMs() <= attempt.leaseExpiresAtMs) return undefined;
    this.blockAttempt(attemptId);
    this.forget(attemptId);
    return endedReport(attempt, 'lapsed', 'the lease lapsed');
  }

  private async stopNow(attemptId: string, call: Call): Promise<Result<AttemptReport, Failure>> {
    if (!this.owned.isClaimed() || !this.owned.mayCommand()) {
      const lapsed = this.endIfLapsed(attemptId);
      return lapsed ? Ok(lapsed) : this.unknown(STOP_STEP, 'the worker is not claimed');
    }
    const attempt = this.owned.attempts.get(attemptId);
    const stopped =
      attempt?.state === 'uncertain'
        ? await this.resolveUncertain(attempt)
        : await this.stopAtWorker(attemptId, call);
    if (!stopped.ok) {
      const lapsed = this.endIfLapsed(attemptId);
      return lapsed ? Ok(lapsed) : stopped;
    }
    if (!stopped.val && !this.owned.isInventoryComplete()) {
      return this.unknown(STOP_STEP, 'a start of an earlier owner may yet arrive');
    }
    this.forget(attemptId);
    return stopped.val ? Ok(stopped.val) : this.describeAbsent(attemptId, attempt);
  }

  private describeAbsent(
    attemptId: string,
    attempt: TrackedAttempt | undefined,
  ): Result<AttemptReport, Failure> {
    const neverSent = this.neverSent.get(attemptId);
    if (neverSent) return Ok(endedReport(neverSent, 'stopped', NEVER_STARTED));
    if (attempt?.state === 'uncertain') return Ok(endedReport(attempt, 'stopped', NEVER_STARTED));
    if (attempt) return Ok(endedReport(attempt, 'lapsed', NOT_HELD));
    return Err(notRun('worker.stop', this.owned.id, 'not-found', NOT_HELD));
  }

  /**
   * Resolves to `undefined` if the worker answers that it does not hold the attempt and never will.
   */
  private async stopAtWorker(
    attemptId: string,
    call: Call,
  ): Promise<Result<AttemptReport | undefined, Failure>> {
    const { worker, grant } = this.owned;
    const stopped = await worker.stop(grant.epoch, attemptId, call);
    if (stopped.ok) return stopped;
    const { code, effect } = stopped.val;
    if (code === 'not-found' && effect === 'not-run') return Ok(undefined);
    this.owned.recordFailure(stopped.val);
    return Err(stopped.val);
  }

  private async checkpoint(attemptId: string, call: Call): Promise<string | undefined> {
    if (!this.owned.isClaimed() || !this.owned.mayCommand()) return undefined;
    const { worker, grant } = this.owned;
    const taken = await worker.checkpoint(grant.epoch, attemptId, call);
    return taken.ok ? taken.val : undefined;
  }

  private dropOldestBlocked(): void {
    const [oldest] = this.blocked;
    if (this.blocked.size <= MAXIMUM_BLOCKED_ATTEMPTS || oldest === undefined) return;
    this.blocked.delete(oldest);
    this.neverSent.delete(oldest);
  }

  private forget(attemptId: string): void {
    this.owned.forget(attemptId);
  }

  private unknown(step: string, message: string): Result<never, Failure> {
    return Err(unknownEffect(step, this.owned.id, 'unavailable', message));
  }
}
