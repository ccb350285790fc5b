/**
 * A site that loses one of its data centres for a while, in steps of simulated time.
 *
 * @packageDocumentation
 */

import type { QueuedTask, QueueOrder } from 'samphirenotch/decisions/placementPolicy.js';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import type { StartPacing } from 'samphirenotch/decisions/startPacing.js';

import { type BatchLoad, type Firm, workersPerDataCentre } from './firms.js';

/** The policies of one run. */
export interface ReturnPolicies {
  readonly order: QueueOrder;
  readonly pacing: StartPacing;
  /** Whether work is checkpointed when it is evicted. */
  readonly takesCheckpoints: boolean;
}

/** One run. */
export interface ReturnRun {
  readonly firm: Firm;
  readonly seed: number;
  readonly policies: ReturnPolicies;
}

interface SiteTask extends QueuedTask {
  readonly load: BatchLoad;
  readonly leftMs: number;
}

interface RunningTask {
  readonly task: SiteTask;
  readonly dataCentre: number;
  readonly startedAtMs: number;
  readonly leftMs: number;
}

const RUN_MS = 1_800_000;
const STEP_MS = 1_000;
const LEAVES_AT_MS = 600_000;
const RETURNS_AT_MS = 1_200_000;
const START_UP_MS = 5_000;
/** Demand relative to the capacity of all data centres. */
const LOAD = 0.85;
const TASKS_PER_WORKER = 4;
const URGENT_SHARE = 0.3;
const MILLISECONDS_PER_SECOND = 1_000;

/** A run of a site. */
class ReturnFake {
  private readonly random: SeededRandom;

  private readonly roomPerDataCentre: number;

  private queue: SiteTask[] = [];

  private running: RunningTask[] = [];

  private nowMs = 0;

  private sequence = 0;

  private doneMs = 0;

  private possibleMs = 0;

  private urgentDone = 0;

  private longestUrgentWaitMs = 0;

  private mostStarting = 0;

  private fullAgainAtMs = RUN_MS;

  constructor(private readonly run: ReturnRun) {
    this.random = new SeededRandom(run.seed);
    this.roomPerDataCentre = workersPerDataCentre(run.firm) * TASKS_PER_WORKER;
  }

  measure(): Record<string, number> {
    for (; this.nowMs < RUN_MS; this.nowMs += STEP_MS) this.step();
    return {
      'work of possible': this.doneMs / this.possibleMs,
      'urgent done': this.urgentDone,
      'longest urgent wait': this.longestUrgentWaitMs / MILLISECONDS_PER_SECOND,
      'most starting at once': this.mostStarting,
      'filled again after': (this.fullAgainAtMs - RETURNS_AT_MS) / MILLISECONDS_PER_SECOND,
    };
  }

  private isOut(dataCentre: number): boolean {
    return dataCentre === 0 && this.nowMs >= LEAVES_AT_MS && this.nowMs < RETURNS_AT_MS;
  }

  private step(): void {
    if (this.nowMs === LEAVES_AT_MS) this.evictFirst();
    if (this.nowMs === RETURNS_AT_MS) this.run.policies.pacing.capacityReturned(this.nowMs);
    this.arrive();
    this.start();
    this.advance();
    this.watchReturn();
  }

  private evictFirst(): void {
    const evicted = this.running.filter(({ dataCentre }) => dataCentre === 0);
    this.running = this.running.filter(({ dataCentre }) => dataCentre !== 0);
    for (const { task, leftMs } of evicted) {
      const kept = this.run.policies.takesCheckpoints ? leftMs : task.load.durationMs;
      this.doneMs -= kept - leftMs;
      this.queue.push({ ...task, enqueuedAtMs: this.nowMs, leftMs: kept });
    }
  }

  private arrive(): void {
    const { firm } = this.run;
    const room = this.roomPerDataCentre * firm.dataCentres.length * LOAD;
    this.enqueue(firm.urgent, (room * URGENT_SHARE) / firm.urgent.durationMs);
    this.enqueue(firm.heavy, (room * (1 - URGENT_SHARE)) / firm.heavy.durationMs);
  }

  private enqueue(load: BatchLoad, perMs: number): void {
    const expected = perMs * STEP_MS;
    const count = Math.floor(expected) + (this.random.fraction() < expected % 1 ? 1 : 0);
    for (let index = 0; index < count; index += 1) {
      this.sequence += 1;
      this.queue.push({
        jobId: `job-${this.sequence}`,
        taskClass: load.taskClass,
        tenant: `tenant-${this.random.below(3)}`,
        tenantWeight: 1,
        priority: load.priority,
        enqueuedAtMs: this.nowMs,
        size: load.declared,
        load,
        leftMs: load.durationMs,
      });
    }
  }

  private start(): void {
    const { order, pacing } = this.run.policies;
    const started = new Set<string>();
    const byId = new Map(this.queue.map((task) => [task.jobId, task]));
    for (const { jobId } of order.order(this.queue, this.nowMs)) {
      const task = byId.get(jobId);
      const dataCentre = this.withRoom();
      if (!task || dataCentre === undefined || !pacing.tryStart(this.nowMs)) break;
      started.add(jobId);
      const { leftMs } = task;
      this.running.push({ task, dataCentre, startedAtMs: this.nowMs, leftMs });
      this.noteWait(task);
    }
    this.queue = this.queue.filter(({ jobId }) => !started.has(jobId));
  }

  private noteWait(task: SiteTask): void {
    if (task.taskClass !== this.run.firm.urgent.taskClass) return;
    const waitedMs = this.nowMs - task.enqueuedAtMs;
    this.longestUrgentWaitMs = Math.max(this.longestUrgentWaitMs, waitedMs);
  }

  private withRoom(): number | undefined {
    const used = this.run.firm.dataCentres.map(
      (_, index) => this.running.filter(({ dataCentre }) => dataCentre === index).length,
    );
    const open = used.findIndex(
      (count, index) => !this.isOut(index) && count < this.roomPerDataCentre,
    );
    return open < 0 ? undefined : open;
  }

  private advance(): void {
    const advanced = this.running.map((each) => ({ ...each, leftMs: each.leftMs - STEP_MS }));
    const done = advanced.filter(({ leftMs }) => leftMs <= 0);
    this.doneMs += this.running.length * STEP_MS;
    this.possibleMs += Math.min(this.room(), this.running.length + this.queue.length) * STEP_MS;
    this.urgentDone += done.filter(
      ({ task }) => task.taskClass === this.run.firm.urgent.taskClass,
    ).length;
    this.running = advanced.filter(({ leftMs }) => leftMs > 0);
  }

  private room(): number {
    const open = this.run.firm.dataCentres.filter((_, index) => !this.isOut(index)).length;
    return open * this.roomPerDataCentre;
  }

  private watchReturn(): void {
    if (this.nowMs < RETURNS_AT_MS) return;
    const here = this.running.filter(({ dataCentre }) => dataCentre === 0);
    const starting = here.filter(({ startedAtMs }) => this.nowMs - startedAtMs < START_UP_MS);
    this.mostStarting = Math.max(this.mostStarting, starting.length / this.roomPerDataCentre);
    const isFull = here.length >= 0.9 * this.roomPerDataCentre || this.queue.length === 0;
    if (isFull) this.fullAgainAtMs = Math.min(this.fullAgainAtMs, this.nowMs);
  }
}

/**
 * Runs a site through the loss and return of a data centre.
 *
 * @param run - firm, seed and policies
 * @returns work relative to the possible, urgent work, waits in seconds, and the crowd of starts
 */
export const runReturn = (run: ReturnRun): Record<string, number> => new ReturnFake(run).measure();
