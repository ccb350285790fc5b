/**
 * Places a task where it slows requests and other tasks least and is slowed least, where its class
 * is spread over racks, and where the remaining free capacity stays usable for other tasks.
 */
import { LargeTaskSizes } from './largeTaskSizes.js';

import type { Size } from '../infrastructure/worker.js';
import type { InterferenceModel } from './interferenceModel.js';
import type { PlacementCandidate, PlacementPolicy, PlacementTask } from './placementPolicy.js';

/** Weights of placement. The costs are added up; the worker with the lowest total is chosen. */
export interface LearnedPlacementSettings {
  /** Cost of slowing the neighbours by 100 %. */
  readonly neighbourSlowdownWeight: number;
  /** Cost of a slowdown of the task itself by 100 %. */
  readonly taskSlowdownWeight: number;
  /** Cost of a worker with all slots busy, compared with an idle one. */
  readonly busySlotWeight: number;
  /** Cost of a rack that runs all tasks of the class. */
  readonly rackWeight: number;
  /** Cost of a worker that is full afterwards, compared with an empty one. */
  readonly utilisationWeight: number;
  /** Cost of a worker that has all of its processors but none of its memory left, or vice versa. */
  readonly imbalanceWeight: number;
  /** Cost of each large task that no longer fits on the worker. */
  readonly displacementWeight: number;
  /** Number of slots of a worker, relative to which busy slots are counted. */
  readonly slotsPerWorker: number;
}

/** Default settings, which an entry uses. */
export const LEARNED_PLACEMENT_DEFAULTS: LearnedPlacementSettings = {
  neighbourSlowdownWeight: 2,
  taskSlowdownWeight: 0.5,
  busySlotWeight: 0.3,
  rackWeight: 0.2,
  utilisationWeight: 0.3,
  imbalanceWeight: 0.2,
  displacementWeight: 0.5,
  slotsPerWorker: 8,
};

/** What placement reads from its surroundings: the importance of classes, and the time. */
export interface PlacementContext {
  /** Weight of a slowdown of a class; 0 for classes without a deadline. */
  readonly importance: (taskClass: string) => number;
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Returns the classes of requests that workers serve next to tasks. */
  readonly requestClasses?: () => readonly string[];
}

/** Returns the share of one dimension of the capacity that is used after the placement. */
const utilisationAfter = (free: number, requested: number, capacity: number): number =>
  capacity === 0 ? 1 : 1 - (free - requested) / capacity;

/** Places a task on the worker with the lowest weighted cost. */
export class LearnedPlacement implements PlacementPolicy {
  private readonly interference: InterferenceModel;

  private readonly context: PlacementContext;

  private readonly settings: LearnedPlacementSettings;

  private readonly largeTasks = new LargeTaskSizes();

  /**
   * @param interference - model of how classes slow each other
   * @param context - importance of classes, and the clock
   * @param settings - weights of the costs
   */
  constructor(
    interference: InterferenceModel,
    context: PlacementContext,
    settings: LearnedPlacementSettings = LEARNED_PLACEMENT_DEFAULTS,
  ) {
    this.interference = interference;
    this.context = context;
    this.settings = settings;
  }

  /**
   * Chooses the candidate with the lowest cost.
   *
   * @param task - task to place
   * @param candidates - workers with enough free capacity
   * @returns the best of them, or `undefined` if there are none
   */
  choose(
    task: PlacementTask,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    const nowMs = this.context.nowMs();
    this.largeTasks.observe(task.taskClass, task.size, nowMs);
    const largeSize = this.largeTasks.largest(nowMs) ?? task.size;
    const classTotal = [...task.classTasksPerRack.values()].reduce((sum, count) => sum + count, 0);
    let best: PlacementCandidate | undefined;
    let lowestCost = Infinity;
    for (const candidate of candidates) {
      const cost =
        this.cost(task, candidate, classTotal, nowMs) +
        this.displacementCost(task, candidate, largeSize);
      if (cost >= lowestCost) continue;
      lowestCost = cost;
      best = candidate;
    }
    return best;
  }

  private cost(
    task: PlacementTask,
    candidate: PlacementCandidate,
    classTotal: number,
    nowMs: number,
  ): number {
    const { rackWeight, busySlotWeight, slotsPerWorker } = this.settings;
    const classOnRack = task.classTasksPerRack.get(candidate.rack) ?? 0;
    const rack = classTotal === 0 ? 0 : rackWeight * (classOnRack / classTotal);
    const slots = busySlotWeight * (candidate.busySlots / slotsPerWorker);
    return (
      rack +
      slots +
      this.utilisationCost(task, candidate) +
      this.slowdownCost(task, candidate, nowMs)
    );
  }

  private displacementCost(
    task: PlacementTask,
    { free }: PlacementCandidate,
    largeSize: Size,
  ): number {
    return (
      this.settings.displacementWeight * this.largeTasks.countDisplaced(free, task.size, largeSize)
    );
  }

  private utilisationCost(task: PlacementTask, { free, capacity }: PlacementCandidate): number {
    const { utilisationWeight, imbalanceWeight } = this.settings;
    const cores = utilisationAfter(free.milliCores, task.size.milliCores, capacity.milliCores);
    const memory = utilisationAfter(free.memoryMb, task.size.memoryMb, capacity.memoryMb);
    return utilisationWeight * Math.max(cores, memory) + imbalanceWeight * Math.abs(cores - memory);
  }

  private slowdownCost(task: PlacementTask, candidate: PlacementCandidate, nowMs: number): number {
    const { neighbourSlowdownWeight, taskSlowdownWeight } = this.settings;
    const { neighbours } = candidate;
    const taskSlowdown = this.interference.predict(task.taskClass, neighbours, nowMs) - 1;
    const taskAsNeighbour = [task.taskClass];
    let neighbourSlowdown = this.requestSlowdown(task, candidate, nowMs);
    for (const neighbour of neighbours) {
      const importance = this.context.importance(neighbour);
      if (importance === 0) continue;
      neighbourSlowdown +=
        importance * (this.interference.predict(neighbour, taskAsNeighbour, nowMs) - 1);
    }
    return neighbourSlowdownWeight * neighbourSlowdown + taskSlowdownWeight * taskSlowdown;
  }

  /**
   * Estimates the slowdown of requests. It counts more on a worker with more requests, and on one
   * where requests are already slowed. A task usually outlasts a peak of requests, so that an idle
   * worker may become busy while it runs: it counts half as much as a full one, not 0.
   */
  private requestSlowdown(
    task: PlacementTask,
    { neighbours, busySlots }: PlacementCandidate,
    nowMs: number,
  ): number {
    const loadFactor = (1 + busySlots / this.settings.slotsPerWorker) / 2;
    let slowdown = 0;
    for (const requestClass of this.context.requestClasses?.() ?? []) {
      const currentSlowdown = this.interference.predict(requestClass, neighbours, nowMs);
      const addedSlowdown = this.interference.predict(requestClass, [task.taskClass], nowMs) - 1;
      slowdown += loadFactor * currentSlowdown * addedSlowdown;
    }
    return slowdown;
  }
}
