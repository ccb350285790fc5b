/**
 * Reserves workers for overdue interrupted tasks, the one that was interrupted first before the others.
 *
 * A task that no worker has room for soon does not keep the others from a reservation, and larger ones of its
 * kind are not tried either. What does not fit into the time of a pass is tried in the next one.
 */
import type { Clock } from '../../time/clock.js';

import type { OwnedStep, OwnedTask } from '../model/ownedJob.js';
import { UnplaceableSizes } from './unplaceableSizes.js';

/** Time limit for the tries of a pass, in milliseconds. */
const TRIES_BUDGET_MS = 5;

/** Collaborators of `OverdueReservations`. */
export interface OverdueReservationsOptions {
  readonly clock: Clock;
  /** Returns true if as many workers are reserved as a task may have reserved. */
  readonly isAtLimit: (task: OwnedTask) => boolean;
  /** Reserves a worker for a task; returns false if none has room or is about to. */
  readonly reserve: (task: OwnedTask) => boolean;
}

/** Reserves workers in passes. */
export class OverdueReservations {
  /** Sizes that no worker has room for soon, in this pass. */
  private readonly unplaceable = new UnplaceableSizes();

  /** Steps that were tried in vain since all tasks were last gone through. */
  private readonly failedSteps = new Set<OwnedStep>();

  /**
   * @param options - what decides about reservations
   */
  constructor(private readonly options: OverdueReservationsOptions) {}

  /**
   * Reserves workers for some of the tasks.
   *
   * @param tasks - overdue tasks without a reservation, in the order in which they were interrupted
   */
  check(tasks: readonly OwnedTask[]): void {
    const { clock, isAtLimit, reserve } = this.options;
    const untilMs = clock.monotonicMs() + TRIES_BUDGET_MS;
    const limitedSteps = new Set<OwnedStep>();
    this.unplaceable.clear();
    for (const task of tasks) {
      const { step } = task;
      const isSkipped =
        limitedSteps.has(step) || this.failedSteps.has(step) || this.unplaceable.hasNoRoom(step);
      if (isSkipped) continue;
      if (clock.monotonicMs() >= untilMs) return;
      if (isAtLimit(task)) {
        limitedSteps.add(step);
        continue;
      }
      if (reserve(task)) continue;
      this.failedSteps.add(step);
      this.unplaceable.add(step);
    }
    this.failedSteps.clear();
  }
}
