/**
 * Places a task where it disturbs requests least, is disturbed least, spreads over racks, and
 * leaves room that others can use.
 */
import { LargeTaskSizes } from './largeTaskSizes.js';

import type { Size } from '../infrastructure/worker.js';
import type { InterferenceModel } from './interferenceModel.js';
import type { PlacementCandidate, PlacementPolicy, PlacementTask } from './placementPolicy.js';

/** Settings of placement. Each weight is the cost of the worst case of its concern. */
export interface LearnedPlacementSettings {
  /** Cost of a slowdown of what runs there by its whole time. */
  readonly neighbourSlowdownWeight: number;
  /** Cost of a slowdown of the task by its whole time. */
  readonly taskSlowdownWeight: number;
  /** Cost of a worker with all slots busy relative to an idle one. */
  readonly busySlotWeight: number;
  /** Cost of the rack that runs all tasks of the class. */
  readonly rackWeight: number;
  /** Cost of a worker with no room left relative to an empty one. */
  readonly utilisationWeight: number;
  /** Cost of a worker that has all of one dimension left and none of the other. */
  readonly imbalanceWeight: number;
  /** Cost of a large task for which there is no room any more. */
  readonly displacementWeight: number;
  /** Slots of a worker, to judge how busy it is. */
  readonly slotsPerWorker: number;
}

/** Settings that the entry uses unless told otherwise. */
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

/** Time and importance, as placement needs them. */
export interface PlacementContext {
  /** How much a slowdown of a class counts; 0 for classes without deadline. */
  readonly importance: (taskClass: string) => number;
  /** Reads the time, in milliseconds. */
  readonly nowMs: () => number;
  /** Classes of requests that workers answer beside tasks. */
  readonly requestClasses?: () => readonly string[];
}

const utilisationAfter = (free: number, requested: number, capacity: number): number =>
  capacity === 0 ? 1 : 1 - (free - requested) / capacity;

/** Places by weighted concerns. */
export class LearnedPlacement implements PlacementPolicy {
  private readonly interference: InterferenceModel;

  private readonly context: PlacementContext;

  private readonly settings: LearnedPlacementSettings;

  private readonly largeTasks = new LargeTaskSizes();

  /**
   * @param interference - model of what classes do to each other
   * @param context - importance of classes, and the time
   * @param settings - weights
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
   * Chooses the candidate of the least cost.
   *
   * @param task - the task
   * @param candidates - workers that have room
   * @returns the best of them, or nothing if there is none
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
    const beside = [task.taskClass];
    let neighbourSlowdown = this.requestSlowdown(task, candidate, nowMs);
    for (const neighbour of neighbours) {
      const importance = this.context.importance(neighbour);
      if (importance === 0) continue;
      neighbourSlowdown += importance * (this.interference.predict(neighbour, beside, nowMs) - 1);
    }
    return neighbourSlowdownWeight * neighbourSlowdown + taskSlowdownWeight * taskSlowdown;
  }

  /**
   * Requests suffer more where there are more of them, and where they suffer already. A task stays
   * longer than a peak of requests, so an idle worker counts half as much as a full one.
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
