/**
 * Costs of one kind of task on each worker of a list, kept up while tasks start.
 *
 * Most tasks of a pass are of few kinds, and a start changes what one worker costs: the others need
 * not be looked at again for the next task.
 */
import type { WorkerAgent } from '../workers/workerAgent.js';

/** What costs are made from. */
export interface WorkerCostsOptions {
  readonly workers: readonly WorkerAgent[];
  /** Workers whose costs may have changed, the latest last; grows. */
  readonly changed: readonly WorkerAgent[];
  /** Cost of a worker; infinite if it cannot be taken. */
  readonly costOf: (agent: WorkerAgent) => number;
}

/** Finds the cheapest worker again and again. */
export class WorkerCosts {
  private readonly costs: Float64Array;

  private places: ReadonlyMap<WorkerAgent, number> | undefined;

  /** How many of the changes are seen. */
  private seen: number;

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
    this.seen = changed.length;
  }

  /**
   * Finds the cheapest worker; of several, the first of the list.
   *
   * @returns the worker, or undefined if none can be taken
   */
  cheapest(): WorkerAgent | undefined {
    this.followChanges();
    if (this.isBestKnown) return this.best;
    this.best = this.find((index) => this.costs[index] ?? Number.POSITIVE_INFINITY);
    this.isBestKnown = true;
    return this.best;
  }

  /**
   * Finds the cheapest worker for a task to which some workers cost something else.
   *
   * @param differs - tells whether a worker does
   * @param costOf - the other cost
   * @returns the worker, or undefined if none can be taken
   */
  cheapestWith(
    differs: (agent: WorkerAgent) => boolean,
    costOf: (agent: WorkerAgent) => number,
  ): WorkerAgent | undefined {
    this.followChanges();
    return this.find((index, agent) =>
      differs(agent) ? costOf(agent) : (this.costs[index] ?? Number.POSITIVE_INFINITY),
    );
  }

  private followChanges(): void {
    const { changed, costOf, workers } = this.options;
    if (this.seen === changed.length) return;
    this.places ??= new Map(workers.map((agent, index) => [agent, index]));
    const fresh = new Set(changed.slice(this.seen));
    this.seen = changed.length;
    fresh.forEach((agent) => {
      const index = this.places?.get(agent);
      if (index === undefined) return;
      this.costs[index] = costOf(agent);
      this.isBestKnown = false;
    });
  }

  private find(costAt: (index: number, agent: WorkerAgent) => number): WorkerAgent | undefined {
    let best: WorkerAgent | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    this.options.workers.forEach((agent, index) => {
      const cost = costAt(index, agent);
      // False for a cost that is no number, too.
      if (!(cost < bestCost)) return;
      best = agent;
      bestCost = cost;
    });
    return best;
  }
}
