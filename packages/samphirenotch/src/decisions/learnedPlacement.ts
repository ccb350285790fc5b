/**
 * Places a task where it disturbs requests least, is disturbed least, spreads over racks, and
 * leaves room that others can use.
 */
import { LargeTasks } from './largeTasks.js';

import type { Size } from '../infrastructure/worker.js';
import type { InterferenceModel } from './interferenceModel.js';
import type { PlacementCandidate, PlacementPolicy, PlacementTask } from './placementPolicy.js';

/** Settings of placement. Each weight is the cost of the worst case of its concern. */
export interface LearnedPlacementSettings {
  /** Cost of a slowdown of what runs there by its whole time. */
  readonly disturbanceWeight: number;
  /** Cost of a slowdown of the task by its whole time. */
  readonly sufferingWeight: number;
  /** Cost of a worker with all slots busy relative to an idle one. */
  readonly slotWeight: number;
  /** Cost of the rack that runs all tasks of the class. */
  readonly rackWeight: number;
  /** Cost of a worker with no room left relative to an empty one. */
  readonly fillWeight: number;
  /** Cost of a worker that has all of one dimension left and none of the other. */
  readonly imbalanceWeight: number;
  /** Cost of a large task for which there is no room any more. */
  readonly displacementWeight: number;
  /** Slots of a worker, to judge how busy it is. */
  readonly slotsPerWorker: number;
}

/** Settings that the entry uses unless told otherwise. */
export const LEARNED_PLACEMENT_DEFAULTS: LearnedPlacementSettings = {
  disturbanceWeight: 2,
  sufferingWeight: 0.5,
  slotWeight: 0.3,
  rackWeight: 0.2,
  fillWeight: 0.3,
  imbalanceWeight: 0.2,
  displacementWeight: 0.5,
  slotsPerWorker: 8,
};

/** Time and importance, as placement needs them. */
export interface PlacementSurroundings {
  /** How much a slowdown of a class counts; 0 for classes without deadline. */
  readonly importance: (taskClass: string) => number;
  /** Reads the time, in milliseconds. */
  readonly nowMs: () => number;
  /** Classes of requests that workers answer beside tasks. */
  readonly requestClasses?: () => readonly string[];
}

const filledShare = (free: number, wanted: number, capacity: number): number =>
  capacity === 0 ? 1 : 1 - (free - wanted) / capacity;

/** Places by weighted concerns. */
export class LearnedPlacement implements PlacementPolicy {
  private readonly interference: InterferenceModel;

  private readonly surroundings: PlacementSurroundings;

  private readonly settings: LearnedPlacementSettings;

  private readonly largeTasks = new LargeTasks();

  /**
   * @param interference - model of what classes do to each other
   * @param surroundings - importance of classes, and the time
   * @param settings - weights
   */
  constructor(
    interference: InterferenceModel,
    surroundings: PlacementSurroundings,
    settings: LearnedPlacementSettings = LEARNED_PLACEMENT_DEFAULTS,
  ) {
    this.interference = interference;
    this.surroundings = surroundings;
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
    const nowMs = this.surroundings.nowMs();
    this.largeTasks.observe(task.taskClass, task.size, nowMs);
    const large = this.largeTasks.largest(nowMs) ?? task.size;
    const ofClass = [...task.classPerRack.values()].reduce((sum, count) => sum + count, 0);
    let best: PlacementCandidate | undefined;
    let least = Infinity;
    for (const candidate of candidates) {
      const cost =
        this.cost(task, candidate, ofClass, nowMs) + this.displacementCost(task, candidate, large);
      if (cost >= least) continue;
      least = cost;
      best = candidate;
    }
    return best;
  }

  private cost(
    task: PlacementTask,
    candidate: PlacementCandidate,
    ofClass: number,
    nowMs: number,
  ): number {
    const { rackWeight, slotWeight, slotsPerWorker } = this.settings;
    const onRack = task.classPerRack.get(candidate.rack) ?? 0;
    const rack = ofClass === 0 ? 0 : rackWeight * (onRack / ofClass);
    const slots = slotWeight * (candidate.busySlots / slotsPerWorker);
    return (
      rack + slots + this.fillCost(task, candidate) + this.slowdownCost(task, candidate, nowMs)
    );
  }

  private displacementCost(task: PlacementTask, { free }: PlacementCandidate, large: Size): number {
    return this.settings.displacementWeight * this.largeTasks.displaced(free, task.size, large);
  }

  private fillCost(task: PlacementTask, { free, capacity }: PlacementCandidate): number {
    const { fillWeight, imbalanceWeight } = this.settings;
    const cores = filledShare(free.milliCores, task.size.milliCores, capacity.milliCores);
    const memory = filledShare(free.memoryMb, task.size.memoryMb, capacity.memoryMb);
    return fillWeight * Math.max(cores, memory) + imbalanceWeight * Math.abs(cores - memory);
  }

  private slowdownCost(task: PlacementTask, candidate: PlacementCandidate, nowMs: number): number {
    const { disturbanceWeight, sufferingWeight } = this.settings;
    const { neighbours } = candidate;
    const suffered = this.interference.predict(task.taskClass, neighbours, nowMs) - 1;
    const beside = [task.taskClass];
    let disturbance = this.requestDisturbance(task, candidate, nowMs);
    for (const neighbour of neighbours) {
      const importance = this.surroundings.importance(neighbour);
      if (importance === 0) continue;
      disturbance += importance * (this.interference.predict(neighbour, beside, nowMs) - 1);
    }
    return disturbanceWeight * disturbance + sufferingWeight * suffered;
  }

  /**
   * Requests suffer more where there are more of them, and where they suffer already. A task stays
   * longer than a peak of requests, so an idle worker counts half as much as a full one.
   */
  private requestDisturbance(
    task: PlacementTask,
    { neighbours, busySlots }: PlacementCandidate,
    nowMs: number,
  ): number {
    const busyShare = (1 + busySlots / this.settings.slotsPerWorker) / 2;
    let disturbance = 0;
    for (const requestClass of this.surroundings.requestClasses?.() ?? []) {
      const now = this.interference.predict(requestClass, neighbours, nowMs);
      const added = this.interference.predict(requestClass, [task.taskClass], nowMs) - 1;
      disturbance += busyShare * now * added;
    }
    return disturbance;
  }
}
