/**
 * A worker in memory: capacity kept and checked, attempts under leases, request slots, faults.
 */
import { buffer } from 'node:stream/consumers';

import { Failure, type FailureCode } from 'samphirenotch/failure.js';
import type { WorkerListing } from 'samphirenotch/infrastructure/vmList.js';
import type {
  AttemptOrder,
  AttemptReport,
  Inventory,
  Renewal,
  RequestStatus,
  Size,
  Worker,
  WorkerAnswer,
  WorkerGuarantees,
  WorkerRequest,
} from 'samphirenotch/infrastructure/worker.js';
import { Err, Ok, type Result } from 'samphirenotch/results.js';
import { remainingMs, type Call } from 'samphirenotch/time/call.js';
import type { Clock } from 'samphirenotch/time/clock.js';

import { AttemptRun } from './attemptRun.js';
import type { History, HistoryEvent, HistoryKind } from './history.js';
import { describeRequest, echoBody, serviceMsOf } from './requestEcho.js';
import { noWorkerFaults, type WorkerFaults } from './workerFaults.js';

const USAGE_LAG_MS = 2000;
const REMEMBERED_REQUESTS = 10_000;

/** The full offer; faults and tests may take parts of it away. */
export const FULL_OFFER: WorkerGuarantees = {
  refusesOlderEpochs: true,
  idempotentStarts: true,
  keepsEndedAttempts: true,
  supportsRecall: true,
};

/** A worker in the memory of one process. */
export class MemoryWorker implements Worker {
  readonly id: string;

  readonly faults: WorkerFaults = noWorkerFaults();

  private readonly runs = new Map<string, AttemptRun>();

  private readonly refusedAttempts = new Set<string>();

  private readonly requests = new Map<string, RequestStatus>();

  private readonly usageSeen = new Map<string, { readonly atMs: number; readonly used: Size }>();

  private highestEpoch = 0;

  private busySlots = 0;

  /**
   * @param listing - identity and capacity
   * @param clock - time for leases and service
   * @param history - where events go
   * @param guarantees - what it guarantees
   */
  constructor(
    readonly listing: WorkerListing,
    private readonly clock: Clock,
    private readonly history: History,
    readonly guarantees: WorkerGuarantees = FULL_OFFER,
  ) {
    this.id = listing.id;
  }

  /** Brings attempts up to now; call it now and then so that history is written in time. */
  advance(): void {
    this.runs.forEach((run) => {
      if (run.phase !== 'running') return;
      run.advance(this.clock.monotonicMs());
      if (run.phase !== 'running') this.logEnd(run);
    });
  }

  async claim(epoch: number, call: Call): Promise<Result<Inventory, Failure>> {
    return this.command('worker.claim', epoch, call, () => {
      this.log('claimed', {});
      return Ok(this.inventory());
    });
  }

  async heartbeat(
    epoch: number,
    renewals: readonly Renewal[],
    acknowledged: readonly string[],
    call: Call,
  ): Promise<Result<Inventory, Failure>> {
    return this.command('worker.heartbeat', epoch, call, () => {
      const nowMs = this.clock.monotonicMs();
      renewals.forEach(({ attemptId, leaseMs }) => this.runs.get(attemptId)?.renew(leaseMs, nowMs));
      acknowledged.forEach((attemptId) => this.forget(attemptId));
      return Ok(this.inventory());
    });
  }

  async start(
    epoch: number,
    order: AttemptOrder,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    return this.command('worker.start', epoch, call, () => {
      const known = this.runs.get(order.attemptId);
      if (known) return Ok(known.report());
      if (this.refusedAttempts.has(order.attemptId)) {
        return Err(this.failure('conflict', 'worker.start', 'the attempt was stopped before'));
      }
      if (this.faults.leaving) {
        return Err(this.failure('unavailable', 'worker.start', 'the worker is leaving'));
      }
      if (this.faults.failEverything) {
        return Err(this.failure('internal', 'worker.start', 'the worker fails'));
      }
      return Ok(this.run(order));
    });
  }

  async checkpoint(epoch: number, attemptId: string, call: Call): Promise<Result<string, Failure>> {
    return this.command('worker.checkpoint', epoch, call, () => {
      const run = this.runs.get(attemptId);
      if (run?.phase !== 'running') return Err(this.unknownAttempt('worker.checkpoint'));
      return Ok(run.checkpoint(this.clock.monotonicMs()));
    });
  }

  async throttle(
    epoch: number,
    attemptId: string,
    share: number,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    return this.command('worker.throttle', epoch, call, () => {
      const run = this.runs.get(attemptId);
      if (!run) return Err(this.unknownAttempt('worker.throttle'));
      run.throttle(share, this.clock.monotonicMs());
      return Ok(run.report());
    });
  }

  async stop(
    epoch: number,
    attemptId: string,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    return this.command('worker.stop', epoch, call, () => {
      const run = this.runs.get(attemptId);
      if (!run) {
        this.refusedAttempts.add(attemptId);
        return Err(this.unknownAttempt('worker.stop'));
      }
      if (run.phase === 'running') {
        run.stop(this.clock.monotonicMs());
        this.logEnd(run);
      }
      return Ok(run.report());
    });
  }

  async execute(
    epoch: number,
    request: WorkerRequest,
    call: Call,
  ): Promise<Result<WorkerAnswer, Failure>> {
    if (this.faults.silent) return this.staySilent('worker.execute', call);
    const refusal = this.refuseRequest(epoch);
    if (refusal) {
      this.log('refused', { requestId: request.requestId, detail: refusal.message });
      return Err(refusal);
    }
    this.beginRequest(epoch, request);
    try {
      const body = await buffer(request.body);
      await this.clock.sleep(serviceMsOf(request, this.running().length), call.signal);
      return await this.answerRequest(request, body, call);
    } catch (error) {
      return Err(this.failure('unavailable', 'worker.execute', String(error), 'unknown'));
    } finally {
      this.endRequest(request);
    }
  }

  async recall(requestId: string, call: Call): Promise<Result<RequestStatus, Failure>> {
    if (this.faults.silent) return this.staySilent('worker.recall', call);
    return Ok(this.requests.get(requestId) ?? 'never-seen');
  }

  async close(): Promise<void> {
    this.runs.clear();
  }

  private async command<T>(
    step: string,
    epoch: number,
    call: Call,
    act: () => Result<T, Failure>,
  ): Promise<Result<T, Failure>> {
    if (this.faults.silent) return this.staySilent(step, call);
    this.advance();
    const stale = this.checkEpoch(step, epoch);
    if (stale) {
      this.log('refused', { epoch, detail: step });
      return Err(stale);
    }
    const result = act();
    if (this.faults.answerDelayMs > 0) await this.clock.sleep(this.faults.answerDelayMs);
    return this.loseAnswer(step) ?? result;
  }

  private loseAnswer(step: string): Result<never, Failure> | undefined {
    if (this.faults.loseAnswers <= 0) return undefined;
    this.faults.loseAnswers -= 1;
    return Err(this.failure('unavailable', step, 'the answer was lost', 'unknown'));
  }

  private checkEpoch(step: string, epoch: number): Failure | undefined {
    const enforced = this.guarantees.refusesOlderEpochs && !this.faults.acceptOlderEpochs;
    if (enforced && epoch < this.highestEpoch) {
      return this.failure('stale-epoch', step, `epoch ${epoch} is older than ${this.highestEpoch}`);
    }
    this.highestEpoch = Math.max(this.highestEpoch, epoch);
    return undefined;
  }

  private run(order: AttemptOrder): AttemptReport {
    const run = new AttemptRun(order, this.clock.monotonicMs());
    this.runs.set(order.attemptId, run);
    this.log('attempt-started', {
      attemptId: order.attemptId,
      jobId: order.jobId,
      taskClass: order.taskClass,
      size: order.size,
      ...(order.checkpoint === undefined ? {} : { checkpoint: order.checkpoint }),
      overCapacity: this.isOverCapacity(),
    });
    return run.report();
  }

  private running(): readonly AttemptRun[] {
    return [...this.runs.values()].filter((run) => run.phase === 'running');
  }

  private isOverCapacity(): boolean {
    const { capacity } = this.listing;
    const running = this.running();
    const sum = (part: (size: Size) => number): number =>
      running.reduce((total, run) => total + part(run.order.size), 0);
    return (
      sum((size) => size.milliCores) > capacity.milliCores ||
      sum((size) => size.memoryMb) > capacity.memoryMb ||
      sum((size) => size.accelerators) > capacity.accelerators
    );
  }

  private forget(attemptId: string): void {
    const run = this.runs.get(attemptId);
    if (!run || run.phase === 'running') return;
    this.runs.delete(attemptId);
    this.usageSeen.delete(attemptId);
    this.refusedAttempts.add(attemptId);
  }

  private inventory(): Inventory {
    return {
      epoch: this.highestEpoch,
      attempts: [...this.runs.values()].map((run) => run.report(this.laggingUsage(run))),
      busySlots: this.busySlots,
      leaving: this.faults.leaving,
    };
  }

  private laggingUsage(run: AttemptRun): Size | undefined {
    const nowMs = this.clock.monotonicMs();
    const seen = this.usageSeen.get(run.order.attemptId);
    if (!seen) {
      this.usageSeen.set(run.order.attemptId, { atMs: nowMs, used: run.used() });
      return undefined;
    }
    return nowMs - seen.atMs >= USAGE_LAG_MS ? seen.used : undefined;
  }

  private refuseRequest(epoch: number): Failure | undefined {
    const stale = this.checkEpoch('worker.execute', epoch);
    if (stale) return stale;
    if (this.faults.leaving) {
      return this.failure('unavailable', 'worker.execute', 'the worker is leaving');
    }
    if (this.busySlots >= this.listing.slots) {
      return this.failure('overloaded', 'worker.execute', 'no slot is free');
    }
    return undefined;
  }

  private beginRequest(epoch: number, request: WorkerRequest): void {
    this.busySlots += 1;
    if (this.requests.size >= REMEMBERED_REQUESTS) this.requests.clear();
    this.requests.set(request.requestId, 'running');
    this.log('request-started', { ...describeRequest(request), epoch });
  }

  private endRequest(request: WorkerRequest): void {
    this.busySlots -= 1;
    this.requests.set(request.requestId, 'finished');
    this.log('request-ended', describeRequest(request));
  }

  private async answerRequest(
    request: WorkerRequest,
    body: Buffer,
    call: Call,
  ): Promise<Result<WorkerAnswer, Failure>> {
    if (this.faults.answerDelayMs > 0) {
      await this.clock.sleep(this.faults.answerDelayMs, call.signal);
    }
    const lost = this.loseAnswer('worker.execute');
    if (lost) return lost;
    return Ok({
      requestId: this.faults.foreignAnswers ? `${request.requestId}-other` : request.requestId,
      status: this.faults.failEverything ? 500 : 200,
      headers: { 'content-type': 'application/octet-stream', 'x-worker': this.id },
      body: echoBody(request, body, this.faults.cutAnswers),
    });
  }

  private async staySilent(step: string, call: Call): Promise<Result<never, Failure>> {
    await this.clock.sleep(remainingMs(this.clock, call), call.signal);
    return Err(this.failure('deadline', step, 'no answer in time', 'unknown'));
  }

  private unknownAttempt(step: string): Failure {
    return this.failure('not-found', step, 'the attempt does not run here');
  }

  private failure(
    code: FailureCode,
    step: string,
    message: string,
    effect: 'not-run' | 'unknown' = 'not-run',
  ): Failure {
    return new Failure({ code, step, peer: this.id, effect, message });
  }

  private logEnd(run: AttemptRun): void {
    const { attemptId, jobId, taskClass, size } = run.order;
    const { checkpoint } = run.report();
    const endedMs = this.clock.monotonicMs() - (run.endedAtMs ?? this.clock.monotonicMs());
    this.log('attempt-ended', {
      atMs: this.clock.wallMs() - endedMs,
      attemptId,
      jobId,
      taskClass,
      size,
      phase: run.phase,
      ...(checkpoint === undefined ? {} : { checkpoint }),
    });
  }

  private log(kind: HistoryKind, fields: Partial<HistoryEvent>): void {
    this.history.append({
      atMs: this.clock.wallMs(),
      workerId: this.id,
      dataCentre: this.listing.dataCentre,
      epoch: this.highestEpoch,
      ...fields,
      kind,
    });
  }
}
