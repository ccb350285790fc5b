/**
 * Batch tasks beside requests on the workers of one data centre, in steps of simulated time.
 *
 * @packageDocumentation
 */

import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import type { InterferenceModel } from 'samphirenotch/decisions/interferenceModel.js';
import type {
  PlacementCandidate,
  PlacementPolicy,
  QueuedTask,
  QueueOrder,
} from 'samphirenotch/decisions/placementPolicy.js';
import type { SizeEstimator } from 'samphirenotch/decisions/sizeEstimator.js';
import type { Size } from 'samphirenotch/infrastructure/worker.js';

import { BatchWorker, type RunningTask } from './batchWorker.js';
import { type BatchLoad, type Firm, rackOf, workersPerDataCentre } from './firms.js';
import { quantile } from './statistics.js';

/** The policies of one run. */
export interface BatchPolicies {
  readonly placement: PlacementPolicy;
  readonly order: QueueOrder;
  readonly sizes: SizeEstimator;
  readonly interference?: InterferenceModel;
}

/** One run. */
export interface BatchRun {
  readonly firm: Firm;
  readonly seed: number;
  /** Demand by real sizes relative to what tasks may use. */
  readonly load: number;
  readonly makePolicies: (nowMs: () => number) => BatchPolicies;
}

const RUN_MS = 1_800_000;
const STEP_MS = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;
const REPORT_LAG_MS = 5_000;
const SHIFT_MS = 600_000;
const HOT_SLOTS = 6;
const COOL_SLOTS = 2;
const REQUEST_SHARE = 0.25;
const MILLISECONDS_PER_HOUR = 3_600_000;

/** Classes with their part of the demand; the last one tells less than it uses. */
const mixOf = (firm: Firm): readonly (readonly [BatchLoad, number])[] => [
  [firm.urgent, 0.2],
  [firm.heavy, 0.6],
  [
    {
      taskClass: 'background',
      priority: 1,
      declared: { milliCores: 1_000, memoryMb: 2_048, accelerators: 0 },
      usedShare: 1.4,
      durationMs: 120_000,
    },
    0.2,
  ],
];

const TENANTS: readonly (readonly [string, number])[] = [
  ['flooding', 0.7],
  ['modest', 0.2],
  ['small', 0.1],
];

interface WaitingTask extends QueuedTask {
  readonly load: BatchLoad;
  readonly used: Size;
}

const scaled = (size: Size, cores: number, memory: number): Size => ({
  milliCores: size.milliCores * cores,
  memoryMb: size.memoryMb * memory,
  accelerators: size.accelerators,
});

/** A run of batch tasks. */
class BatchFake {
  private readonly random: SeededRandom;

  private readonly policies: BatchPolicies;

  private readonly workers: BatchWorker[];

  private readonly reports: { readonly atMs: number; readonly run: () => void }[] = [];

  private readonly slowdowns: number[] = [];

  private readonly waits = new Map<string, number>();

  private readonly done = new Map<string, number>();

  private readonly doneByTenant = new Map<string, number>();

  private queue: WaitingTask[] = [];

  private nowMs = 0;

  private sequence = 0;

  private evictions = 0;

  constructor(private readonly run: BatchRun) {
    const { firm } = run;
    this.random = new SeededRandom(run.seed);
    this.policies = run.makePolicies(() => this.nowMs);
    this.workers = Array.from(
      { length: workersPerDataCentre(firm) },
      (_, index) =>
        new BatchWorker(`worker-${index}`, rackOf(firm, index), firm.capacity, REQUEST_SHARE),
    );
  }

  measure(): Record<string, number> {
    for (; this.nowMs < RUN_MS; this.nowMs += STEP_MS) this.step();
    const { urgent, heavy } = this.run.firm;
    for (const task of this.queue) this.noteWait(task);
    return {
      'urgent done': this.done.get(urgent.taskClass) ?? 0,
      'heavy done': this.done.get(heavy.taskClass) ?? 0,
      'longest urgent wait': (this.waits.get(urgent.taskClass) ?? 0) / MILLISECONDS_PER_SECOND,
      'longest heavy wait': (this.waits.get(heavy.taskClass) ?? 0) / MILLISECONDS_PER_SECOND,
      'longest background wait': (this.waits.get('background') ?? 0) / MILLISECONDS_PER_SECOND,
      'request slowdown p99': quantile(this.slowdowns, 0.99),
      'request slowdown p50': quantile(this.slowdowns, 0.5),
      'work done': this.totalWork(),
      evictions: this.evictions,
    };
  }

  private totalWork(): number {
    const coreMs = [...this.doneByTenant.values()].reduce((sum, each) => sum + each, 0);
    return coreMs / MILLISECONDS_PER_HOUR / 1_000;
  }

  private step(): void {
    this.arrive();
    this.place();
    for (const worker of this.workers) this.advance(worker);
    this.deliverReports();
  }

  private arrive(): void {
    const { firm } = this.run;
    const usableCores =
      this.workers.length * firm.capacity.milliCores * (1 - REQUEST_SHARE) * this.run.load;
    for (const [load, share] of mixOf(firm)) {
      const taskCores = load.declared.milliCores * load.usedShare;
      const perStep = ((usableCores * share) / taskCores) * (STEP_MS / load.durationMs);
      if (this.random.fraction() < perStep % 1) this.enqueue(load);
      for (let count = 0; count < Math.floor(perStep); count += 1) this.enqueue(load);
    }
  }

  private enqueue(load: BatchLoad): void {
    this.sequence += 1;
    const cores = load.usedShare * (0.7 + 0.6 * this.random.fraction());
    const memory = load.usedShare * (0.85 + 0.25 * this.random.fraction());
    this.queue.push({
      jobId: `job-${this.sequence}`,
      taskClass: load.taskClass,
      tenant: this.drawTenant(),
      tenantWeight: 1,
      priority: load.priority,
      enqueuedAtMs: this.nowMs,
      size: load.declared,
      load,
      used: scaled(load.declared, cores, memory),
    });
  }

  private drawTenant(): string {
    let left = this.random.fraction();
    const found = TENANTS.find(([, share]) => {
      left -= share;
      return left < 0;
    });
    return found?.[0] ?? 'small';
  }

  private place(): void {
    const placed = new Set<string>();
    const classesWithoutRoom = new Set<string>();
    const byId = new Map(this.queue.map((task) => [task.jobId, task]));
    for (const { jobId } of this.policies.order.order(this.queue, this.nowMs)) {
      const task = byId.get(jobId);
      if (!task || classesWithoutRoom.has(task.taskClass)) continue;
      if (this.tryPlace(task)) placed.add(jobId);
      else classesWithoutRoom.add(task.taskClass);
    }
    this.queue = this.queue.filter(({ jobId }) => !placed.has(jobId));
  }

  private tryPlace(task: WaitingTask): boolean {
    const size = this.policies.sizes.estimate(task.taskClass, task.load.declared);
    const open = this.workers.filter((worker) => worker.fits(size));
    if (open.length === 0) return false;
    const candidates = open.map((worker) => this.describe(worker));
    const classPerRack = this.countPerRack(task.taskClass);
    const chosen = this.policies.placement.choose(
      { taskClass: task.taskClass, size, classTasksPerRack: classPerRack },
      candidates,
    );
    const worker = open.find(({ workerId }) => workerId === chosen?.workerId);
    if (!worker) return false;
    this.noteWait(task);
    worker.start({ task, size, used: task.used, leftMs: task.load.durationMs });
    return true;
  }

  private noteWait(task: QueuedTask): void {
    const waitedMs = this.nowMs - task.enqueuedAtMs;
    this.waits.set(task.taskClass, Math.max(this.waits.get(task.taskClass) ?? 0, waitedMs));
  }

  private describe(worker: BatchWorker): PlacementCandidate {
    return {
      workerId: worker.workerId,
      rack: worker.rack,
      capacity: worker.capacity,
      free: worker.free(),
      neighbours: worker.classes(),
      busySlots: this.busySlots(worker),
    };
  }

  /** Half of the workers answer most requests, and the halves change places. */
  private busySlots(worker: BatchWorker): number {
    const index = this.workers.indexOf(worker);
    const phase = Math.floor(this.nowMs / SHIFT_MS);
    return (index + phase) % 2 === 0 ? HOT_SLOTS : COOL_SLOTS;
  }

  private countPerRack(taskClass: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const worker of this.workers) {
      const alike = worker.classes().filter((each) => each === taskClass).length;
      counts.set(worker.rack, (counts.get(worker.rack) ?? 0) + alike);
    }
    return counts;
  }

  private advance(worker: BatchWorker): void {
    for (const evicted of worker.evictBeyondMemory()) {
      this.evictions += 1;
      this.queue.push(evicted.task as WaitingTask);
    }
    for (const finished of worker.advance(STEP_MS)) this.finish(finished);
    this.measureRequests(worker);
    for (const { task, used } of worker.running()) {
      this.report(() => this.policies.sizes.observe(task.taskClass, task.size, used));
    }
  }

  private finish({ task, used }: RunningTask): void {
    this.done.set(task.taskClass, (this.done.get(task.taskClass) ?? 0) + 1);
    const coreMs = used.milliCores * (task as WaitingTask).load.durationMs;
    this.doneByTenant.set(task.tenant, (this.doneByTenant.get(task.tenant) ?? 0) + coreMs);
  }

  private measureRequests(worker: BatchWorker): void {
    const { firm } = this.run;
    const neighbours = worker.classes();
    const slowdown = neighbours.reduce(
      (product, each) => product * this.disturbance(each),
      worker.processorStretch(),
    );
    for (let slot = 0; slot < this.busySlots(worker); slot += 1) this.slowdowns.push(slowdown);
    const measured = slowdown * (0.8 + 0.4 * this.random.fraction());
    const victimClass = firm.quick.taskClass;
    const { interference } = this.policies;
    if (!interference) return;
    this.report(() =>
      interference.observe({ victimClass, neighbours, slowdown: measured, nowMs: this.nowMs }),
    );
  }

  private disturbance(taskClass: string): number {
    const { heavy, urgent } = this.run.firm;
    if (taskClass === heavy.taskClass) return 1.15;
    return taskClass === urgent.taskClass ? 1.03 : 1;
  }

  private report(run: () => void): void {
    this.reports.push({ atMs: this.nowMs + REPORT_LAG_MS, run });
  }

  private deliverReports(): void {
    const due = this.reports.findIndex(({ atMs }) => atMs > this.nowMs);
    const count = due < 0 ? this.reports.length : due;
    for (const { run } of this.reports.splice(0, count)) run();
  }
}

/**
 * Runs batch tasks beside requests.
 *
 * @param run - firm, seed and policies
 * @returns work done, waits in seconds, slowdown of requests, and evictions
 */
export const runBatch = (run: BatchRun): Record<string, number> => new BatchFake(run).measure();
