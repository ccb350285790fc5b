/**
 * Chooses a worker for a task.
 *
 * Serving tasks and fillers are kept apart where possible, and tasks run near their data. All other
 * tasks go to the worker with the most free processors, so that the loss of one worker costs little
 * and every worker has free capacity for bursts.
 */
import type { Size } from '../../infrastructure/worker.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedRun, OwnedStep, OwnedTask } from '../model/ownedJob.js';
import { usagesAtFullPace } from '../pacing/fillerPacing.js';
import { distinctImages, type FillerHeadroom } from '../pacing/fillerHeadroom.js';
import type { Interference } from '../pacing/interference.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import { WorkerCosts } from './workerCosts.js';

/** A task to place and the workers to choose from. */
export interface PlacementInput {
  readonly task: OwnedTask;
  /** Resources that the task occupies on a worker; the same for all tasks of its step. */
  readonly size: Size;
  /** Candidate workers. Results are cached by this array, so it must not be modified. */
  readonly workers: readonly WorkerAgent[];
}

/** Chooses workers for tasks. */
export interface TaskPlacement {
  /** Discards everything cached about workers. */
  invalidateAll(): void;
  /**
   * Begins a pass: discards what is cached about workers that have changed, and everything once it is
   * old.
   */
  beginPass(): void;
  /**
   * Discards what is cached about one worker, after a task was started on it.
   *
   * @param agent - the worker
   */
  invalidate(agent: WorkerAgent): void;
  /**
   * Chooses the best worker for a task.
   *
   * @param input - the task and the candidate workers
   * @returns the worker, or undefined if none is suitable and has enough free resources
   */
  choose(input: PlacementInput): WorkerAgent | undefined;
  /**
   * Checks the required label and the limit of tasks of one step per worker. Free resources are not
   * checked.
   *
   * @param agent - the worker
   * @param task - the task
   * @returns true if the worker may run the task
   */
  permits(agent: WorkerAgent, task: OwnedTask): boolean;
  /**
   * Chooses the worker on which a filler slows serving tasks down least, even if they are predicted
   * to miss their targets.
   *
   * @param input - the task and the candidate workers
   * @returns the worker, or undefined if none has enough free resources
   */
  chooseLeastDisturbing(input: PlacementInput): WorkerAgent | undefined;
  /**
   * Sorts the suitable workers by cost.
   *
   * @param input - the task and the candidate workers
   * @returns the workers that can take the task now, the best first
   */
  rank(input: PlacementInput): readonly WorkerAgent[];
}

/** Cost of a worker outside the rack of the task's data; outweighs each of the other costs. */
const OFF_RACK_WEIGHT = 4;

/** Cost of a worker on which the task has failed before. */
const PREVIOUS_FAILURE_WEIGHT = 3;

/** Cost of a worker that is still slow after its start. */
const COLD_START_WEIGHT = 2;

/** Factor of the predicted effect of fillers on the tail latency of serving tasks. */
const INTERFERENCE_WEIGHT = 1;

/** Cost of each other serving image on a worker: pairs that were not yet observed may interfere. */
const MIXED_IMAGES_WEIGHT = 1;

/** Factor of the fraction of a worker that fillers could no longer use beside a serving task. */
const LOST_FILLER_ROOM_WEIGHT = 4;

/**
 * Highest predicted ratio of tail latency to target at which a filler is placed beside a serving
 * task. Below 1, because the load may rise while the filler runs.
 */
const MAXIMUM_TAIL_TO_TARGET = 0.8;

/**
 * Longest time for which costs are kept, in milliseconds. Tail latencies are measured every half second;
 * what changes the free resources of a worker counts at once.
 */
const MAXIMUM_COST_AGE_MS = 100;

/** Fraction of its declared processors that a serving task uses on average. */
export const SERVING_UTILISATION = 0.5;

const sumMilliCores = (runs: readonly OwnedRun[]): number =>
  runs.reduce((sum, { task }) => sum + task.step.spec.size.milliCores, 0);

/**
 * Estimates the processors that the active runs of a worker, fillers included, leave unused.
 *
 * @param agent - the worker
 * @returns thousandths of a core; negative if the runs ask for more than the worker has
 */
export const unusedMilliCores = (agent: WorkerAgent): number => {
  const idle = (1 - SERVING_UTILISATION) * sumMilliCores(agent.servingRuns());
  const taken = sumMilliCores(agent.activeRuns()) - idle;
  return agent.description.capacity.milliCores - taken;
};

const cacheKeys = new WeakMap<OwnedStep, string>();

/**
 * Returns a key shared by steps with equal costs; a step with a limit per worker is its own key.
 */
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

/** Predicted tail latency of a serving task. */
interface PredictedTail {
  readonly image: string;
  /** Inverse of the predicted tail latency, in 1/ms. */
  readonly inverse: number;
  /** Smallest inverse that is allowed beside fillers, in 1/ms. */
  readonly needed: number;
}

/** Costs cached for one list of workers, by step or by cache key of the step. */
type WorkerListCosts = Map<string | OwnedStep, WorkerCosts>;

/** Spreads tasks by free processors and avoids interference between fillers and serving tasks. */
export class SpreadPlacement implements TaskPlacement {
  /** Monotonic time at which the caches were last discarded, in milliseconds. */
  private invalidatedMs: number;

  /** Processors that are expected to stay unused on a worker, in thousandths of a core. */
  private readonly unusedByWorker = new Map<WorkerAgent, number>();

  /** Predicted tail latencies of a worker's serving tasks beside its current fillers. */
  private readonly tailsByWorker = new Map<WorkerAgent, readonly PredictedTail[]>();

  /**
   * Inverse of the longest tail latency predicted without fillers, in 1/ms; undefined if unknown.
   */
  private readonly baselines = new Map<OwnedStep, number | undefined>();

  /** Workers on which tasks were started since the caches were last discarded. */
  private changedWorkers: WorkerAgent[] = [];

  /** Cached results by list of workers. */
  private caches = new WeakMap<readonly WorkerAgent[], WorkerListCosts>();

  /** Versions of the workers that something is cached about. */
  private readonly cachedVersions = new Map<WorkerAgent, number>();

  /**
   * @param interference - learned effects of fillers on serving tasks
   * @param fillerRoom - estimates the room for fillers beside sets of serving images
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
    this.cachedVersions.clear();
  }

  beginPass(): void {
    if (this.clock.monotonicMs() - this.invalidatedMs >= MAXIMUM_COST_AGE_MS) {
      this.invalidateAll();
      return;
    }
    this.cachedVersions.forEach((version, agent) => {
      if (agent.version !== version) this.invalidate(agent);
    });
  }

  invalidate(agent: WorkerAgent): void {
    this.unusedByWorker.delete(agent);
    this.tailsByWorker.delete(agent);
    this.changedWorkers.push(agent);
    this.cachedVersions.set(agent, agent.version);
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
    const cache = this.caches.get(workers) ?? this.startCache(workers);
    const known = cache.get(step);
    if (known) return known;
    const cacheKey = cacheKeyOf(step);
    const costs =
      cache.get(cacheKey) ??
      new WorkerCosts({
        workers,
        changed: this.changedWorkers,
        costOf: (agent) => this.costIfPossible(agent, task, size, 0),
      });
    cache.set(cacheKey, costs);
    cache.set(step, costs);
    return costs;
  }

  private startCache(workers: readonly WorkerAgent[]): WorkerListCosts {
    const cache: WorkerListCosts = new Map();
    this.caches.set(workers, cache);
    workers.forEach((agent) => this.noteCached(agent));
    return cache;
  }

  /** Something is cached about a worker from now on; a change since it was first cached counts now. */
  private noteCached(agent: WorkerAgent): void {
    const version = this.cachedVersions.get(agent);
    if (version === undefined) this.cachedVersions.set(agent, agent.version);
    else if (version !== agent.version) this.invalidate(agent);
  }

  /** Returns the cost of a worker; infinite if it is too full or may not run the task. */
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

  /**
   * Keeps serving tasks of one image together, so that fillers that interfere with the image can
   * use the other workers.
   */
  private mixingCost(agent: WorkerAgent, { step }: OwnedTask): number {
    const images = distinctImages(agent.servingRuns().map(({ task }) => task.step.spec));
    const others = images.filter(({ image }) => image !== step.spec.image);
    if (others.length === 0) return 0;
    const closed =
      this.fillerRoom.usableFraction(images) -
      this.fillerRoom.usableFraction([...others, step.spec]);
    return MIXED_IMAGES_WEIGHT * others.length + LOST_FILLER_ROOM_WEIGHT * closed;
  }

  /** Allows a filler only if processors stay unused and no serving task would miss its target. */
  private fillerCost(agent: WorkerAgent, task: OwnedTask): number {
    const unused = this.cachedUnusedMilliCores(agent);
    if (unused < task.step.spec.size.milliCores) return Number.POSITIVE_INFINITY;
    const margin = this.tailMargin(agent, task);
    if (margin < 1) return Number.POSITIVE_INFINITY;
    return 1 - unused / agent.description.capacity.milliCores + INTERFERENCE_WEIGHT / margin;
  }

  /**
   * Predicts the inverse tail latency beside another filler, divided by the smallest allowed one,
   * and returns the lowest of all serving tasks. Below 1, a target would be missed.
   */
  private tailMargin(agent: WorkerAgent, { step }: OwnedTask): number {
    const { size, image } = step.spec;
    const share = size.milliCores / agent.description.capacity.milliCores;
    return this.predictedTails(agent).reduce((least, { image: served, needed, inverse }) => {
      const left = inverse - this.interference.slope(served, image) * share;
      return Math.min(least, left / needed);
    }, Number.POSITIVE_INFINITY);
  }

  private cachedUnusedMilliCores(agent: WorkerAgent): number {
    const known = this.unusedByWorker.get(agent);
    if (known !== undefined) return known;
    this.noteCached(agent);
    const unused = unusedMilliCores(agent);
    this.unusedByWorker.set(agent, unused);
    return unused;
  }

  private predictedTails(agent: WorkerAgent): readonly PredictedTail[] {
    const known = this.tailsByWorker.get(agent);
    if (known) return known;
    this.noteCached(agent);
    const uses = usagesAtFullPace(agent);
    const tails = agent.servingRuns().flatMap(({ task }) => {
      const { image, targetMs } = task.step.spec;
      const baseline = this.baselineOf(task.step);
      // Nothing has been measured for the step yet, so it does not restrict fillers.
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
