/**
 * Workers that answer requests in simulated time, behind one chooser and a plain queue.
 *
 * @packageDocumentation
 */

import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import type { WorkerCandidate, WorkerChoice } from 'samphirenotch/decisions/workerChoice.js';

import { EventLoop } from './eventLoop.js';
import { type Firm, workersPerDataCentre } from './firms.js';
import { quantile } from './statistics.js';

/** What happens during a run. */
export interface ChoiceScenario {
  readonly name: string;
  /** Offered load relative to the slots of all workers. */
  readonly load: (nowMs: number) => number;
  readonly slowness?: (worker: number, nowMs: number) => number;
  readonly fails?: (worker: number, nowMs: number) => boolean;
  readonly isSilent?: (worker: number, nowMs: number) => boolean;
  readonly neighbours?: (worker: number, nowMs: number) => readonly string[];
  /** Slowdown that a neighbour causes. */
  readonly disturbance?: (neighbour: string) => number;
}

/** One run. */
export interface RequestRun {
  readonly firm: Firm;
  readonly scenario: ChoiceScenario;
  readonly seed: number;
  readonly choice: WorkerChoice;
}

/** A worker with its slots. */
class FakeWorker {
  readonly index: number;

  readonly workerId: string;

  private busy = 0;

  constructor(index: number) {
    this.index = index;
    this.workerId = `worker-${index}`;
  }

  busySlots(): number {
    return this.busy;
  }

  take(): void {
    this.busy += 1;
  }

  release(): void {
    this.busy -= 1;
  }
}

const RUN_MS = 20_000;
const WARM_UP_MS = 3_000;
const SILENCE_TIMEOUT_MS = 1_000;
const FAILURE_MS = 1;
/** Slowdown of a request beside a full set of others, less 1. */
const CONTENTION = 0.5;

/** A run of requests against fake workers. */
class RequestFake {
  private readonly loop = new EventLoop();

  private readonly random: SeededRandom;

  private readonly workers: FakeWorker[];

  /** Arrival times of requests that no worker was free for. */
  private readonly waiting: number[] = [];

  private readonly latenciesMs: number[] = [];

  private lost = 0;

  private total = 0;

  constructor(private readonly run: RequestRun) {
    this.random = new SeededRandom(run.seed);
    this.workers = Array.from(
      { length: workersPerDataCentre(run.firm) },
      (_, index) => new FakeWorker(index),
    );
  }

  measure(): Record<string, number> {
    this.planArrival();
    this.loop.runUntil(RUN_MS);
    return {
      p50: quantile(this.latenciesMs, 0.5),
      p99: quantile(this.latenciesMs, 0.99),
      'p99.9': quantile(this.latenciesMs, 0.999),
      lost: this.lost / Math.max(1, this.total),
    };
  }

  private planArrival(): void {
    const { firm, scenario } = this.run;
    const slots = this.workers.length * firm.slots;
    const rate = (scenario.load(this.loop.nowMs()) * slots) / firm.quick.serviceMs;
    this.loop.after(this.random.exponential(1 / rate), () => {
      this.waiting.push(this.loop.nowMs());
      this.dispatch();
      this.planArrival();
    });
  }

  private dispatch(): void {
    for (;;) {
      const arrivedAtMs = this.waiting[0];
      if (arrivedAtMs === undefined) return;
      const worker = this.choose();
      if (!worker) return;
      this.waiting.shift();
      this.serve(worker, arrivedAtMs);
    }
  }

  private choose(): FakeWorker | undefined {
    const { choice, firm } = this.run;
    const nowMs = this.loop.nowMs();
    const free = this.workers.filter((worker) => worker.busySlots() < firm.slots);
    const candidates = free.map((worker) => this.describe(worker));
    const chosen = choice.choose(firm.quick.taskClass, candidates, nowMs);
    return free.find((worker) => worker.workerId === chosen?.workerId);
  }

  private describe(worker: FakeWorker): WorkerCandidate {
    return {
      workerId: worker.workerId,
      busySlots: worker.busySlots(),
      slots: this.run.firm.slots,
      neighbours: this.neighboursOf(worker),
    };
  }

  private serve(worker: FakeWorker, arrivedAtMs: number): void {
    const { scenario } = this.run;
    const nowMs = this.loop.nowMs();
    worker.take();
    if (scenario.isSilent?.(worker.index, nowMs)) {
      this.loop.after(SILENCE_TIMEOUT_MS, () => this.finish(worker, arrivedAtMs, nowMs, 'silent'));
      return;
    }
    if (scenario.fails?.(worker.index, nowMs)) {
      this.loop.after(FAILURE_MS, () => this.finish(worker, arrivedAtMs, nowMs, 'failed'));
      return;
    }
    const serviceMs = this.serviceMs(worker);
    this.loop.after(serviceMs, () => this.finish(worker, arrivedAtMs, nowMs, 'answered'));
  }

  private serviceMs(worker: FakeWorker): number {
    const { firm, scenario } = this.run;
    const slowness = scenario.slowness?.(worker.index, this.loop.nowMs()) ?? 1;
    const contention = 1 + CONTENTION * ((worker.busySlots() - 1) / firm.slots);
    const usualMs = firm.quick.serviceMs / (1 + CONTENTION / 2);
    const drawnMs = usualMs / 2 + this.random.exponential(usualMs / 2);
    return drawnMs * slowness * contention * this.disturbanceAt(worker);
  }

  private disturbanceAt(worker: FakeWorker): number {
    const { disturbance } = this.run.scenario;
    if (!disturbance) return 1;
    return this.neighboursOf(worker).reduce((product, each) => product * disturbance(each), 1);
  }

  private neighboursOf(worker: FakeWorker): readonly string[] {
    return this.run.scenario.neighbours?.(worker.index, this.loop.nowMs()) ?? [];
  }

  private finish(
    worker: FakeWorker,
    arrivedAtMs: number,
    sentAtMs: number,
    kind: 'answered' | 'failed' | 'silent',
  ): void {
    const { choice, firm } = this.run;
    const nowMs = this.loop.nowMs();
    worker.release();
    const { workerId } = worker;
    const { taskClass } = firm.quick;
    choice.observe({ workerId, taskClass, kind, latencyMs: nowMs - sentAtMs, nowMs });
    if (arrivedAtMs > WARM_UP_MS) this.count(kind === 'answered', nowMs - arrivedAtMs);
    this.dispatch();
  }

  /** A lost request counts as one that its caller waited for in vain. */
  private count(wasAnswered: boolean, latencyMs: number): void {
    this.total += 1;
    this.latenciesMs.push(wasAnswered ? latencyMs : Math.max(latencyMs, SILENCE_TIMEOUT_MS));
    if (!wasAnswered) this.lost += 1;
  }
}

/**
 * Runs requests against fake workers.
 *
 * @param run - firm, scenario, seed and policy
 * @returns latency quantiles in milliseconds and the share that was lost
 */
export const runRequests = (run: RequestRun): Record<string, number> =>
  new RequestFake(run).measure();
