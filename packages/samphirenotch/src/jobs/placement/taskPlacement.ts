/**
 * Chooses a worker for a task.
 *
 * Answers the pattern of mixed work on shared machines: serving tasks and fillers are kept apart
 * where there is a choice, data is near, the rest goes where most is free, so that the loss of a
 * worker costs least and bursts find room everywhere.
 */
import type { Size } from '../../infrastructure/worker.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedRun, OwnedStep, OwnedTask } from '../model/ownedJob.js';
import { usagesAtFullPace } from '../pacing/fillerPacing.js';
import { distinctImages, type FillerHeadroom } from '../pacing/fillerHeadroom.js';
import type { Interference } from '../pacing/interference.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import { WorkerCosts } from './workerCosts.js';

/** What a placement may use. */
export interface PlacementInput {
  readonly task: OwnedTask;
  /** Room that the task takes, as all tasks of its step. */
  readonly size: Size;
  /** What was derived of a list is kept with it: it must not change. */
  readonly workers: readonly WorkerAgent[];
}

/** Chooses workers. */
export interface TaskPlacement {
  /** Takes a new look at all workers; between two looks what was derived of them is kept. */
  invalidateAll(): void;
  /**
   * Takes a new look at one worker, after something was started on it.
   *
   * @param agent - the worker
   */
  invalidate(agent: WorkerAgent): void;
  /**
   * @param input - task and workers that may run it
   * @returns the worker, or undefined if none has room
   */
  choose(input: PlacementInput): WorkerAgent | undefined;
  /**
   * Tells whether a worker may run a task if it has room: its label, and few enough of its step.
   *
   * @param agent - the worker
   * @param task - the task
   * @returns true if it may
   */
  permits(agent: WorkerAgent, task: OwnedTask): boolean;
  /**
   * Finds the worker where a filler that none is predicted to bear disturbs least.
   *
   * @param input - task and workers that may run it
   * @returns the worker, or undefined if none has room
   */
  chooseLeastDisturbing(input: PlacementInput): WorkerAgent | undefined;
  /**
   * @param input - task and workers that may run it
   * @returns the workers with room, the best first
   */
  rank(input: PlacementInput): readonly WorkerAgent[];
}

/** Weight of a worker off the rack of the task's data; above every other reason. */
const OFF_RACK_WEIGHT = 4;

/** Weight of a worker on which the task has failed before. */
const PREVIOUS_FAILURE_WEIGHT = 3;

/** Weight of a worker that is still slow after its start. */
const COLD_START_WEIGHT = 2;

/** Weight of the share of a serving task's spare room that a filler would take. */
const INTERFERENCE_WEIGHT = 1;

/** Weight of each other image that serves on a worker: what is not known of a pair may be bad. */
const MIXED_IMAGES_WEIGHT = 1;

/** Weight of the share of a worker that a serving task would close to fillers. */
const LOST_FILLER_ROOM_WEIGHT = 4;

/** Tail over target that must be predicted with a filler beside it; loads rise while it runs. */
const MAXIMUM_TAIL_TO_TARGET = 0.8;

/** Share of its declared processors that a serving task uses on average. */
export const SERVING_UTILISATION = 0.5;

const sumMilliCores = (runs: readonly OwnedRun[]): number =>
  runs.reduce((sum, { task }) => sum + task.step.spec.size.milliCores, 0);

/**
 * Tells what nothing on a worker is expected to use.
 *
 * @param agent - the worker
 * @returns thousandths of a core; below zero where more is asked for than is there
 */
export const unusedMilliCores = (agent: WorkerAgent): number => {
  const idle = (1 - SERVING_UTILISATION) * sumMilliCores(agent.servingRuns());
  const taken = sumMilliCores(agent.activeRuns()) - idle;
  return agent.description.capacity.milliCores - taken;
};

const cacheKeys = new WeakMap<OwnedStep, string>();

/** Tells which steps cost a worker the same; a step with a limit of its own stands alone. */
const cacheKeyOf = (step: OwnedStep): string | OwnedStep => {
  const { size, filler, targetMs, image, requiredLabel, dataRack, perWorkerLimit } = step.spec;
  if (perWorkerLimit > 0) return step;
  const known = cacheKeys.get(step);
  if (known !== undefined) return known;
  const cacheKey = JSON.stringify([size, filler, targetMs, image, requiredLabel, dataRack]);
  cacheKeys.set(step, cacheKey);
  return cacheKey;
};

const countRunsOfStep = (agent: WorkerAgent, task: OwnedTask): number =>
  agent.activeRuns().filter((run) => run.task.step.id === task.step.id).length;

/** A serving task beside which a filler may be placed. */
interface PredictedTail {
  readonly image: string;
  /** Predicted inverse of its tail, in inverse milliseconds. */
  readonly inverse: number;
  /** Least inverse that meets the aim. */
  readonly needed: number;
}

/** What was derived of a list of workers. */
interface WorkerListCache {
  /** Workers that had room, by size. */
  readonly fitting: Map<string, readonly WorkerAgent[]>;
  /** Costs by step or kind of step. */
  readonly costs: Map<string | OwnedStep, WorkerCosts>;
}

/** Spreads by free room, away from disturbance. */
export class SpreadPlacement implements TaskPlacement {
  /** Monotonic time of the last look at all workers, in milliseconds. */
  private invalidatedMs: number;

  /** Processors that others leave unused on a worker, in thousandths of a core. */
  private readonly unusedByWorker = new Map<WorkerAgent, number>();

  /** Serving tasks of a worker with fillers as they are beside them. */
  private readonly tailsByWorker = new Map<WorkerAgent, readonly PredictedTail[]>();

  /** Inverses of the longest tails without fillers, in inverse milliseconds. */
  private readonly baselines = new Map<OwnedStep, number | undefined>();

  /** Workers on which something was started since the last look at all. */
  private changedWorkers: WorkerAgent[] = [];

  /** What was derived of each list of workers. */
  private caches = new WeakMap<readonly WorkerAgent[], WorkerListCache>();

  /**
   * @param interference - what was learned of fillers and serving tasks
   * @param fillerRoom - judges sets of serving images
   * @param clock - time
   */
  constructor(
    private readonly interference: Interference,
    private readonly fillerRoom: FillerHeadroom,
    private readonly clock: Clock,
  ) {
    this.invalidatedMs = clock.monotonicMs();
  }

  invalidateAll(): void {
    this.invalidatedMs = this.clock.monotonicMs();
    this.unusedByWorker.clear();
    this.tailsByWorker.clear();
    this.baselines.clear();
    this.changedWorkers = [];
    this.caches = new WeakMap();
  }

  invalidate(agent: WorkerAgent): void {
    this.unusedByWorker.delete(agent);
    this.tailsByWorker.delete(agent);
    this.changedWorkers.push(agent);
  }

  choose(input: PlacementInput): WorkerAgent | undefined {
    const { task, size } = input;
    const costs = this.costsOf(input);
    if (task.failedWorkerIds.size === 0) return costs.cheapest();
    return costs.cheapestWithOverrides(
      (agent) => task.failedWorkerIds.has(agent.id),
      (agent) => this.costIfPossible(agent, task, size, PREVIOUS_FAILURE_WEIGHT),
    );
  }

  chooseLeastDisturbing(input: PlacementInput): WorkerAgent | undefined {
    return this.cheapest(input, (agent) => -this.tailMargin(agent, input.task));
  }

  rank({ task, size, workers }: PlacementInput): readonly WorkerAgent[] {
    return workers
      .filter((agent) => agent.fits(size) && this.permits(agent, task))
      .map((agent) => ({
        agent,
        cost: this.cost(agent, task, this.previousFailureCost(agent, task)),
      }))
      .filter(({ cost }) => Number.isFinite(cost))
      .sort((one, other) => one.cost - other.cost)
      .map(({ agent }) => agent);
  }

  permits(agent: WorkerAgent, task: OwnedTask): boolean {
    const { requiredLabel, perWorkerLimit } = task.step.spec;
    if (requiredLabel !== '' && !agent.description.labels.includes(requiredLabel)) return false;
    return perWorkerLimit === 0 || countRunsOfStep(agent, task) < perWorkerLimit;
  }

  private costsOf({ task, size, workers }: PlacementInput): WorkerCosts {
    const { step } = task;
    const cache = this.caches.get(workers) ?? { fitting: new Map(), costs: new Map() };
    this.caches.set(workers, cache);
    const known = cache.costs.get(step);
    if (known) return known;
    const cacheKey = cacheKeyOf(step);
    const costs =
      cache.costs.get(cacheKey) ??
      new WorkerCosts({
        workers: this.workersWithRoom(cache, workers, size),
        changed: this.changedWorkers,
        costOf: (agent) => this.costIfPossible(agent, task, size, 0),
      });
    cache.costs.set(cacheKey, costs);
    cache.costs.set(step, costs);
    return costs;
  }

  /** Starts only take room: what has none between two looks gets none. */
  private workersWithRoom(
    { fitting }: WorkerListCache,
    workers: readonly WorkerAgent[],
    size: Size,
  ): readonly WorkerAgent[] {
    const key = `${size.milliCores} ${size.memoryMb} ${size.accelerators}`;
    const known = fitting.get(key);
    if (known) return known;
    const found = workers.filter((agent) => agent.fits(size));
    fitting.set(key, found);
    return found;
  }

  /** Cost of a worker, if it has room and may run the task. */
  private costIfPossible(
    agent: WorkerAgent,
    task: OwnedTask,
    size: Size,
    failureCost: number,
  ): number {
    if (!agent.fits(size) || !this.permits(agent, task)) return Number.POSITIVE_INFINITY;
    return this.cost(agent, task, failureCost);
  }

  private cheapest(
    { task, size, workers }: PlacementInput,
    costOf: (agent: WorkerAgent) => number,
  ): WorkerAgent | undefined {
    let best: WorkerAgent | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    workers.forEach((agent) => {
      if (!agent.fits(size) || !this.permits(agent, task)) return;
      const cost = costOf(agent);
      if (!(cost < bestCost)) return;
      best = agent;
      bestCost = cost;
    });
    return best;
  }

  private previousFailureCost(
    { id }: WorkerAgent,
    { failedWorkerIds: failedOn }: OwnedTask,
  ): number {
    return failedOn.has(id) ? PREVIOUS_FAILURE_WEIGHT : 0;
  }

  private cost(agent: WorkerAgent, task: OwnedTask, failureCost: number): number {
    const { spec } = task.step;
    const { labels, coldMs } = agent.description;
    let cost = this.placementCost(agent, task);
    if (spec.dataRack !== '' && !labels.includes(spec.dataRack)) cost += OFF_RACK_WEIGHT;
    cost += failureCost;
    if (coldMs > 0) cost += COLD_START_WEIGHT;
    if (spec.targetMs > 0) cost += INTERFERENCE_WEIGHT * this.interferenceLoss(agent, task);
    return cost;
  }

  private placementCost(agent: WorkerAgent, task: OwnedTask): number {
    if (task.step.spec.filler) return this.fillerCost(agent, task);
    const free = agent.free().milliCores / Math.max(1, agent.description.capacity.milliCores);
    if (task.step.spec.targetMs === 0) return 1 - free;
    return free + this.mixingCost(agent, task);
  }

  /** Serving tasks of one image keep together: fillers that disturb it have the other workers. */
  private mixingCost(agent: WorkerAgent, { step }: OwnedTask): number {
    const images = distinctImages(agent.servingRuns().map(({ task }) => task.step.spec));
    const others = images.filter(({ image }) => image !== step.spec.image);
    if (others.length === 0) return 0;
    const closed =
      this.fillerRoom.usableFraction(images) -
      this.fillerRoom.usableFraction([...others, step.spec]);
    return MIXED_IMAGES_WEIGHT * others.length + LOST_FILLER_ROOM_WEIGHT * closed;
  }

  /** A filler goes where processors are left over and no serving task would miss its target. */
  private fillerCost(agent: WorkerAgent, task: OwnedTask): number {
    const unused = this.unusedOf(agent);
    if (unused < task.step.spec.size.milliCores) return Number.POSITIVE_INFINITY;
    const margin = this.tailMargin(agent, task);
    if (margin < 1) return Number.POSITIVE_INFINITY;
    return 1 - unused / agent.description.capacity.milliCores + INTERFERENCE_WEIGHT / margin;
  }

  /** What the tail nearest to its target is predicted to keep, as a share of what it needs. */
  private tailMargin(agent: WorkerAgent, { step }: OwnedTask): number {
    const { size, image } = step.spec;
    const share = size.milliCores / agent.description.capacity.milliCores;
    return this.predictedTails(agent).reduce((least, { image: served, needed, inverse }) => {
      const left = inverse - this.interference.slope(served, image) * share;
      return Math.min(least, left / needed);
    }, Number.POSITIVE_INFINITY);
  }

  private unusedOf(agent: WorkerAgent): number {
    const known = this.unusedByWorker.get(agent);
    if (known !== undefined) return known;
    const unused = unusedMilliCores(agent);
    this.unusedByWorker.set(agent, unused);
    return unused;
  }

  private predictedTails(agent: WorkerAgent): readonly PredictedTail[] {
    const known = this.tailsByWorker.get(agent);
    if (known) return known;
    const uses = usagesAtFullPace(agent);
    const tails = agent.servingRuns().flatMap(({ task }) => {
      const { image, targetMs } = task.step.spec;
      const baseline = this.baselineOf(task.step);
      // Nothing is known of the step yet: it restricts nothing.
      if (baseline === undefined) return [];
      const inverse = baseline - this.interference.predictLoss(image, uses);
      return [{ image, inverse, needed: 1 / (MAXIMUM_TAIL_TO_TARGET * targetMs) }];
    });
    this.tailsByWorker.set(agent, tails);
    return tails;
  }

  private baselineOf(step: OwnedStep): number | undefined {
    if (this.baselines.has(step)) return this.baselines.get(step);
    const baseline = this.interference.lowestBaseline(step, this.invalidatedMs);
    this.baselines.set(step, baseline);
    return baseline;
  }

  private interferenceLoss(agent: WorkerAgent, task: OwnedTask): number {
    const { image, targetMs } = task.step.spec;
    return this.interference.predictLoss(image, usagesAtFullPace(agent)) * targetMs;
  }
}
