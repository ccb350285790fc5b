/**
 * A worker that runs batch tasks, with a ledger of what was set aside and what is really used.
 *
 * @packageDocumentation
 */

import type { QueuedTask } from 'samphirenotch/decisions/placementPolicy.js';
import type { Size } from 'samphirenotch/infrastructure/worker.js';

/** A task that runs. */
export interface RunningTask {
  readonly task: QueuedTask;
  /** What the ledger counts. */
  readonly size: Size;
  /** What it really uses. */
  readonly used: Size;
  readonly leftMs: number;
}

const sumOf = (tasks: readonly RunningTask[], pick: (task: RunningTask) => number): number =>
  tasks.reduce((sum, task) => sum + pick(task), 0);

/** A worker of the batch benchmarks. */
export class BatchWorker {
  readonly workerId: string;

  readonly rack: string;

  readonly capacity: Size;

  private readonly requestShare: number;

  /** Oldest first. */
  private tasks: RunningTask[] = [];

  /**
   * @param workerId - its name
   * @param rack - its rack
   * @param capacity - what it has
   * @param requestShare - share of its capacity that is set aside for requests
   */
  constructor(workerId: string, rack: string, capacity: Size, requestShare: number) {
    this.workerId = workerId;
    this.rack = rack;
    this.capacity = capacity;
    this.requestShare = requestShare;
  }

  running(): readonly RunningTask[] {
    return this.tasks;
  }

  classes(): readonly string[] {
    return this.tasks.map(({ task }) => task.taskClass);
  }

  free(): Size {
    const share = 1 - this.requestShare;
    const cores = sumOf(this.tasks, ({ size }) => size.milliCores);
    const memory = sumOf(this.tasks, ({ size }) => size.memoryMb);
    return {
      milliCores: this.capacity.milliCores * share - cores,
      memoryMb: this.capacity.memoryMb * share - memory,
      accelerators: 0,
    };
  }

  fits(size: Size): boolean {
    const free = this.free();
    return size.milliCores <= free.milliCores && size.memoryMb <= free.memoryMb;
  }

  start(task: RunningTask): void {
    this.tasks.push(task);
  }

  stop(jobId: string): void {
    this.tasks = this.tasks.filter(({ task }) => task.jobId !== jobId);
  }

  /** How much longer everything takes because processors are short; 1 if they are not. */
  processorStretch(): number {
    const cores = sumOf(this.tasks, ({ used }) => used.milliCores);
    const requests = this.capacity.milliCores * this.requestShare;
    return Math.max(1, (cores + requests) / this.capacity.milliCores);
  }

  /** Ends the youngest tasks until the rest fits into memory. */
  evictBeyondMemory(): readonly RunningTask[] {
    const evicted: RunningTask[] = [];
    const requests = this.capacity.memoryMb * this.requestShare;
    while (sumOf(this.tasks, ({ used }) => used.memoryMb) + requests > this.capacity.memoryMb) {
      const youngest = this.tasks.pop();
      if (!youngest) break;
      evicted.push(youngest);
    }
    return evicted;
  }

  /** Lets time pass and takes out what has finished. */
  advance(stepMs: number): readonly RunningTask[] {
    const doneMs = stepMs / this.processorStretch();
    const advanced = this.tasks.map((each) => ({ ...each, leftMs: each.leftMs - doneMs }));
    this.tasks = advanced.filter(({ leftMs }) => leftMs > 0);
    return advanced.filter(({ leftMs }) => leftMs <= 0);
  }
}
