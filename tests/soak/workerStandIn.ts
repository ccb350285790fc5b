/**
 * A worker of the platform: runs what it is told under leases on its own clock, which may be slow.
 */
import type { Server } from 'node:http';

import { startServer, type StandInAnswer, type StandInRequest } from './httpServer.js';
import type { EndKind, PromiseChecker, SoakRun } from './promiseChecker.js';
import { readSteps, readTask } from './soakJob.js';
import { waitForWake } from './wakeUps.js';

/** How a worker misbehaves. */
export type WorkerFault =
  | 'none'
  /** Answers nothing and runs on. */
  | 'silent'
  /** Leaves starts unanswered and carries them out late. */
  | 'late';

/** Longest lease, in milliseconds of the worker's clock. */
const LONGEST_LEASE_MS = 6_000;

const STOP_MS = 150;
const TICK_MS = 20;
const LATE_MS = 2_500;
const HUNDRED = 100;

/** What a worker is made of. */
export interface WorkerOptions {
  readonly id: string;
  readonly dataCentre: string;
  readonly cpu: number;
  readonly memMb: number;
  /** Its clock runs at this share of real time. */
  readonly clockRate: number;
  readonly checker: PromiseChecker;
  /** Brings all workers up to date, since a busy process runs timers late. */
  readonly settleAll: () => void;
}

interface Running extends SoakRun {
  /** Work done when it was started, in milliseconds. */
  readonly savedMs: number;
  pace: number;
  workedMs: number;
  stopAtMs: number | undefined;
  readonly fails: boolean;
}

interface Ended {
  readonly sequence: number;
  readonly run: SoakRun;
  readonly kind: EndKind;
  readonly saved: string;
}

/** The worker. */
export class WorkerStandIn {
  fault: WorkerFault = 'none';

  port = 0;

  drainingSinceMs: number | undefined;

  /** Partitions: each tells whether the owner with a fencing token is cut off. */
  readonly cuts = new Set<(token: number) => boolean>();

  bornMs = Date.now();

  private startedAt = performance.now();

  private token = 0;

  private leaseUntilMs = 0;

  private running = new Map<string, Running>();

  private ends: Ended[] = [];

  private acknowledged = 0;

  private sequence = 0;

  startCount = 0;

  private readonly highest = new Map<string, number>();

  private waiting = new Set<() => void>();

  private server: Server | undefined;

  private ticker: NodeJS.Timeout | undefined;

  private tickedAt = performance.now();

  /**
   * @param options - its id, size and clock
   */
  constructor(readonly options: WorkerOptions) {}

  /** Starts serving. */
  async start(): Promise<void> {
    const { server, port } = await startServer((request) => this.handle(request));
    this.server = server;
    this.port = port;
    this.ticker = setInterval(() => this.tick(), TICK_MS);
  }

  /** Ends serving; nothing runs any more. */
  close(): void {
    clearInterval(this.ticker);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** @returns the highest fencing token that it has seen in this life */
  get highestToken(): number {
    return this.token;
  }

  /** @returns true while nothing runs */
  get isIdle(): boolean {
    return this.running.size === 0;
  }

  /** Crashes and starts again under its id. */
  crash(): void {
    const { checker } = this.options;
    this.running.forEach((run) => checker.ended(run, 'lost'));
    this.forgetEnds();
    this.running = new Map();
    this.ends = [];
    this.acknowledged = 0;
    this.sequence = 0;
    this.token = 0;
    this.leaseUntilMs = 0;
    this.highest.clear();
    this.bornMs = Math.max(Date.now(), this.bornMs + 1);
    this.startedAt = performance.now();
    this.server?.closeAllConnections();
  }

  /** What was not acknowledged may be repeated from now on. */
  private forgetEnds(): void {
    this.ends
      .filter(({ sequence, kind }) => kind === 'done' && sequence > this.acknowledged)
      .forEach(({ run }) => this.options.checker.endForgotten(run));
  }

  private isUnreachableFor(body: StandInRequest['body']): boolean {
    const token = Number(body['FenceToken'] ?? 0);
    return this.fault === 'silent' || [...this.cuts].some((isCut) => isCut(token));
  }

  private clockMs(): number {
    return Math.round((performance.now() - this.startedAt) * this.options.clockRate);
  }

  private async handle({ path, headers, body }: StandInRequest): Promise<StandInAnswer> {
    if (this.isUnreachableFor(body)) return undefined;
    const life = headers['samphirenotch-expected-instance'];
    if (life !== undefined && life !== this.options.id) return { status: 421 };
    const orderedMs = this.options.checker.nowMs();
    if (path === '/v1/run-start' && this.fault === 'late') {
      const { bornMs } = this;
      setTimeout(() => {
        if (this.bornMs === bornMs) this.startRun(body, orderedMs);
      }, LATE_MS);
      return undefined;
    }
    if (path === '/v1/run-start') return this.startRun(body, orderedMs);
    if (path === '/v1/run-stop') return this.stopRun(body);
    if (path === '/v1/pace') return this.paceRun(body);
    if (path === '/v1/hold') return this.hold(body);
    return { status: 404 };
  }

  private answer(status: number, fields: Readonly<Record<string, unknown>> = {}): StandInAnswer {
    return { status, body: { ClockMs: this.clockMs(), born: this.bornMs, ...fields } };
  }

  /** Returns false for an order of a former owner. */
  private takesToken(body: StandInRequest['body']): boolean {
    const token = Number(body['FenceToken'] ?? 0);
    if (token < this.token) return false;
    this.token = token;
    return true;
  }

  private extendLease(body: StandInRequest['body']): void {
    const until = Number(body['DeadlineMs'] ?? 0);
    const longest = this.clockMs() + LONGEST_LEASE_MS;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(until, longest));
  }

  private startRun(body: StandInRequest['body'], orderedMs: number): StandInAnswer {
    const task = String(body['Task']);
    const run = Number(body['RunId']);
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    if (Number(body['DeadlineMs']) <= this.clockMs()) return this.answer(409, { Reason: 'late' });
    this.extendLease(body);
    const known = this.running.get(task);
    if (known?.run === run) return this.answer(200);
    if (run <= (this.highest.get(task) ?? 0)) return this.answer(409, { Reason: 'old' });
    const step = readSteps(String(body['Spec']))[readTask(task).step];
    if (!step) return this.answer(400);
    const { checker, id, dataCentre } = this.options;
    this.startCount += 1;
    const savedMs = Number(String(body['Checkpoint'] ?? '0'));
    const started: Running = {
      task,
      run,
      workerId: id,
      dataCentre,
      token: this.token,
      step,
      orderedMs,
      startedMs: checker.nowMs(),
      savedMs,
      workedMs: savedMs,
      pace: HUNDRED,
      stopAtMs: undefined,
      fails: step.failEvery > 0 && this.startCount % step.failEvery === 0,
    };
    this.options.settleAll();
    checker.started(started, {
      id,
      cpu: this.options.cpu,
      memMb: this.options.memMb,
      drainingSinceMs: this.drainingSinceMs,
    });
    this.running.set(task, started);
    this.highest.set(task, run);
    return this.answer(200);
  }

  private stopRun(body: StandInRequest['body']): StandInAnswer {
    const task = String(body['Task']);
    const run = Number(body['RunId']);
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    const known = this.running.get(task);
    if (known && known.run <= run) known.stopAtMs ??= performance.now() + STOP_MS;
    return this.answer(200);
  }

  private paceRun(body: StandInRequest['body']): StandInAnswer {
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    const known = this.running.get(String(body['Task']));
    if (!known || known.run !== Number(body['RunId'])) return this.answer(409, { Reason: 'old' });
    known.pace = Number(body['Percent']);
    return this.answer(200);
  }

  private async hold(body: StandInRequest['body']): Promise<StandInAnswer> {
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    this.extendLease(body);
    this.acknowledge(Number(body['LastSeen'] ?? 0));
    const waitMs = Number(body['WaitMs'] ?? 0);
    if (this.ends.length === 0 && waitMs > 0) await this.nextEnd(waitMs);
    if (this.isUnreachableFor(body)) return undefined;
    return this.answer(200, {
      Running: [...this.running.values()].map((run) => [
        run.task,
        run.run,
        run.step.checkpointing ? String(Math.floor(run.workedMs / 500) * 500) : '',
        this.percentOf(run),
        run.step.longRunning ? 10 : run.step.cpu,
      ]),
      Finished: this.ends.map(({ sequence, run, kind, saved }) => [
        sequence,
        run.task,
        run.run,
        kind,
        saved,
      ]),
    });
  }

  private percentOf({ step, workedMs, startedMs }: Running): number {
    if (step.longRunning) return this.options.checker.nowMs() - startedMs > 500 ? HUNDRED : 0;
    return Math.min(HUNDRED, Math.floor((HUNDRED * workedMs) / step.durationMs));
  }

  private acknowledge(sequence: number): void {
    // A number from before the worker's restart says nothing of ends to come.
    this.acknowledged = Math.max(this.acknowledged, Math.min(sequence, this.sequence));
    const taken = this.ends.filter((end) => end.sequence <= this.acknowledged);
    taken
      .filter(({ kind }) => kind === 'failed')
      .forEach(({ run }) => this.options.checker.failureAcknowledged(run.task));
    taken
      .filter(({ kind }) => kind === 'done')
      .forEach(({ run }) => this.options.checker.doneAcknowledged(run));
    this.ends = this.ends.filter((end) => end.sequence > this.acknowledged);
  }

  /** Ends runs whose work is done, and all of them once the lease has lapsed. */
  tick(): void {
    const now = performance.now();
    const elapsed = now - this.tickedAt;
    this.tickedAt = now;
    const hasLapsed = this.clockMs() >= this.leaseUntilMs;
    if (hasLapsed) this.forgetEnds();
    [...this.running.values()].forEach((run) => {
      const worked = run;
      worked.workedMs += (elapsed * run.pace) / HUNDRED;
      if (hasLapsed) this.end(run, 'lapsed');
      else if (run.stopAtMs !== undefined && now >= run.stopAtMs) this.end(run, 'stopped');
      else if (!run.step.longRunning && run.workedMs >= run.step.durationMs) {
        this.end(run, run.fails ? 'failed' : 'done');
      }
    });
  }

  private end(run: Running, kind: EndKind): void {
    this.running.delete(run.task);
    this.sequence += 1;
    const saved = run.step.checkpointing ? String(Math.round(run.workedMs)) : '';
    this.ends.push({ sequence: this.sequence, run, kind, saved });
    this.options.checker.ended(run, kind);
    this.waiting.forEach((wake) => wake());
  }

  private nextEnd(longestMs: number): Promise<void> {
    return waitForWake(this.waiting, longestMs);
  }
}
