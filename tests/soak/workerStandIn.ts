/**
 * A worker of the platform: runs what it is told under leases on its own clock, which may be slow.
 */
import type { Server } from 'node:http';

import type { GangMember, Gangs } from './gangs.js';
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

/** Longest wait of a member of a gang for the others, in milliseconds. */
const GANG_TIMEOUT_MS = 3_000;

/** Tail of a serving task that nothing disturbs, in milliseconds. */
const CALM_TAIL_MS = 10;

/** Longer work away from the data, and of slow starts, as a share of the usual. */
const REMOTE_FACTOR = 1.5;
const SLOW_FACTOR = 6;

/** Work of a deadly task before its worker crashes, in milliseconds. */
const DEADLY_MS = 150;

/** What a worker is made of. */
export interface WorkerOptions {
  readonly id: string;
  /** Picks its data centre, service and rack. */
  readonly index: number;
  readonly dataCentre: string;
  readonly service: string;
  readonly rack: string;
  readonly cpu: number;
  readonly memMb: number;
  /** Its clock runs at this share of real time. */
  readonly clockRate: number;
  readonly checker: PromiseChecker;
  readonly gangs: Gangs;
  /** Brings all workers up to date, since a busy process runs timers late. */
  readonly settleAll: () => void;
}

interface Running extends SoakRun, GangMember {
  /** Work done when it was started, in milliseconds. */
  readonly savedMs: number;
  pace: number;
  workedMs: number;
  stopAtMs: number | undefined;
  readonly fails: boolean;
  /** Work takes so many times as long, apart from the gang. */
  readonly slowness: number;
}

interface Ended {
  readonly sequence: number;
  readonly run: SoakRun;
  readonly kind: EndKind;
  readonly saved: string;
}

/**
 * Returns a worker's labels.
 *
 * @param options - the worker
 * @returns its kind and its rack
 */
export const labelsOf = ({ rack }: WorkerOptions): readonly string[] => ['a', rack];

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

  /** By task and number. */
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
  constructor(public options: WorkerOptions) {}

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

  /**
   * Crashes, and another worker starts at its address.
   *
   * @param id - the other worker's id
   */
  replace(id: string): void {
    this.crash();
    this.options = { ...this.options, id };
    this.drainingSinceMs = undefined;
  }

  /** Crashes and starts again under its id. */
  crash(): void {
    const { checker, gangs } = this.options;
    const lost = [...this.running.values()];
    lost.forEach((run) => checker.ended(run, 'lost'));
    checker.disturbed();
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
    lost.forEach((run) => gangs.leave(run, 'broken'));
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
    if (this.running.has(`${task} ${run}`)) return this.answer(200);
    if (run <= (this.highest.get(task) ?? 0)) return this.answer(409, { Reason: 'old' });
    const step = readSteps(String(body['Spec']))[readTask(task).step];
    if (!step) return this.answer(400);
    const { checker, id, dataCentre, rack } = this.options;
    this.startCount += 1;
    const isSlow = step.slowEvery > 0 && this.startCount % step.slowEvery === 0;
    const isRemote = step.dataRack !== '' && step.dataRack !== rack;
    const savedMs = Number(String(body['Checkpoint'] ?? '0'));
    const started: Running = {
      task,
      run,
      workerId: id,
      dataCentre,
      rack,
      token: this.token,
      step,
      orderedMs,
      startedMs: checker.nowMs(),
      savedMs,
      workedMs: savedMs,
      pace: HUNDRED,
      stopAtMs: undefined,
      fails: step.failEvery > 0 && this.startCount % step.failEvery === 0,
      slowness: (isSlow ? SLOW_FACTOR : 1) * (isRemote ? REMOTE_FACTOR : 1),
      end: (kind) => this.endWithGang(started, kind),
    };
    this.options.settleAll();
    checker.started(started, {
      id,
      cpu: this.options.cpu,
      memMb: this.options.memMb,
      drainingSinceMs: this.drainingSinceMs,
      labels: labelsOf(this.options),
    });
    this.running.set(`${task} ${run}`, started);
    this.highest.set(task, run);
    if (step.gang) this.options.gangs.join(started);
    return this.answer(200);
  }

  private stopRun(body: StandInRequest['body']): StandInAnswer {
    const task = String(body['Task']);
    const run = Number(body['RunId']);
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    [...this.running.values()]
      .filter((each) => each.task === task && each.run <= run)
      .forEach((each) => {
        const stopped = each;
        stopped.stopAtMs ??= performance.now() + STOP_MS;
      });
    return this.answer(200);
  }

  private paceRun(body: StandInRequest['body']): StandInAnswer {
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    const known = this.running.get(`${String(body['Task'])} ${Number(body['RunId'])}`);
    if (!known) return this.answer(409, { Reason: 'old' });
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
        run.step.longRunning ? Math.round(this.tailMs()) : run.step.cpu,
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
    // An end may break other runs here, or crash the worker.
    [...this.running.values()].forEach((run) => {
      if (this.isHere(run)) this.advance(run, now, hasLapsed ? undefined : elapsed);
    });
  }

  /** Tail of serving tasks beside the fillers that work here, in milliseconds. */
  private tailMs(): number {
    return [...this.running.values()].reduce(
      (sum, { step, pace }) => sum + (step.disturbance * pace) / HUNDRED,
      CALM_TAIL_MS,
    );
  }

  private isHere(run: Running): boolean {
    return this.running.get(`${run.task} ${run.run}`) === run;
  }

  /** Lets a run work for a time; undefined if the lease has lapsed. */
  private advance(run: Running, now: number, elapsed: number | undefined): void {
    const { checker, gangs } = this.options;
    const { step, slowness } = run;
    const isAtWork = !step.gang || gangs.isAtWork(run);
    const gangSlowness = step.gang ? gangs.slownessOf(run) : 1;
    const worked = run;
    if (isAtWork) {
      worked.workedMs += ((elapsed ?? 0) * run.pace) / HUNDRED / slowness / gangSlowness;
    }
    // A worker that answers nothing cannot be paced.
    if (step.longRunning) checker.tailSeen(run, this.fault === 'none' ? this.tailMs() : 0);
    if (elapsed === undefined) this.end(run, 'lapsed');
    else if (run.stopAtMs !== undefined && now >= run.stopAtMs) this.end(run, 'stopped');
    else if (!isAtWork && checker.nowMs() - run.startedMs >= GANG_TIMEOUT_MS) {
      this.end(run, 'alone');
    } else if (step.deadly && run.workedMs >= DEADLY_MS) {
      checker.crashedUnder(run);
      this.crash();
    } else if (isAtWork && !step.longRunning && run.workedMs >= step.durationMs) {
      this.end(run, run.fails ? 'failed' : 'done');
    }
  }

  private endWithGang(run: Running, kind: 'done' | 'broken'): void {
    if (!this.isHere(run)) return;
    this.end(run, this.clockMs() >= this.leaseUntilMs ? 'lapsed' : kind);
  }

  private end(run: Running, kind: EndKind): void {
    this.running.delete(`${run.task} ${run.run}`);
    this.sequence += 1;
    const saved = run.step.checkpointing ? String(Math.round(run.workedMs)) : '';
    this.ends.push({ sequence: this.sequence, run, kind, saved });
    this.options.checker.ended(run, kind);
    this.waiting.forEach((wake) => wake());
    if (run.step.gang) this.options.gangs.leave(run, kind === 'done' ? 'done' : 'broken');
  }

  private nextEnd(longestMs: number): Promise<void> {
    return waitForWake(this.waiting, longestMs);
  }
}
