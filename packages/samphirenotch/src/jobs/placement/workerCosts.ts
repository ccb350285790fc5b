/**
 * Costs of one kind of task on each worker of a list, updated while tasks start.
 *
 * Most tasks of a pass are of few kinds, and a start changes the cost of one worker only. The costs
 * of the others need not be computed again for the next task.
 */
import type { WorkerAgent } from '../workers/workerAgent.js';

/** Workers and their cost function. */
export interface WorkerCostsOptions {
  readonly workers: readonly WorkerAgent[];
  /** Workers whose costs may have changed, the latest last. The caller appends to it. */
  readonly changed: readonly WorkerAgent[];
  /** Returns the cost of a worker; infinite if it cannot take the task. */
  readonly costOf: (agent: WorkerAgent) => number;
}

/** Finds the cheapest worker repeatedly and recomputes only changed costs. */
export class WorkerCosts {
  private readonly costs: Float64Array;

  private indexes: ReadonlyMap<WorkerAgent, number> | undefined;

  /** Number of entries of `changed` that are applied. */
  private seenChanges: number;

  private best: WorkerAgent | undefined;

  private isBestKnown = false;

  /**
   * @param options - workers and their costs
   */
  constructor(private readonly options: WorkerCostsOptions) {
    const { workers, changed, costOf } = options;
    this.costs = new Float64Array(workers.length);
    workers.forEach((agent, index) => {
      this.costs[index] = costOf(agent);
    });
    this.seenChanges = changed.length;
  }

  /**
   * Finds the cheapest worker; the first of the list among equals.
   *
   * @returns the worker, or undefined if none can be taken
   */
  cheapest(): WorkerAgent | undefined {
    this.applyChanges();
    if (this.isBestKnown) return this.best;
    this.best = this.findCheapest((index) => this.costs[index] ?? Number.POSITIVE_INFINITY);
    this.isBestKnown = true;
    return this.best;
  }

  /**
   * Finds the cheapest worker for a task with a different cost on some workers.
   *
   * @param isOverridden - returns true if a worker has a different cost
   * @param costOf - returns the different cost of such a worker
   * @returns the worker, or undefined if none can be taken
   */
  cheapestWithOverrides(
    isOverridden: (agent: WorkerAgent) => boolean,
    costOf: (agent: WorkerAgent) => number,
  ): WorkerAgent | undefined {
    this.applyChanges();
    return this.findCheapest((index, agent) =>
      isOverridden(agent) ? costOf(agent) : (this.costs[index] ?? Number.POSITIVE_INFINITY),
    );
  }

  private applyChanges(): void {
    const { changed, costOf, workers } = this.options;
    if (this.seenChanges === changed.length) return;
    this.indexes ??= new Map(workers.map((agent, index) => [agent, index]));
    const changedSinceLast = new Set(changed.slice(this.seenChanges));
    this.seenChanges = changed.length;
    changedSinceLast.forEach((agent) => {
      const index = this.indexes?.get(agent);
      if (index === undefined) return;
      this.costs[index] = costOf(agent);
      this.isBestKnown = false;
    });
  }

  private findCheapest(
    costAt: (index: number, agent: WorkerAgent) => number,
  ): WorkerAgent | undefined {
    let best: WorkerAgent | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    this.options.workers.forEach((agent, index) => {
      const cost = costAt(index, agent);
      // The negated comparison also skips a NaN cost.
      if (!(cost < bestCost)) return;
      best = agent;
      bestCost = cost;
    });
    return best;
  }
}
