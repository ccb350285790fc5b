/**
 * Remembers the task sizes that found no worker during a pass.
 *
 * Starts only reduce free resources, so a size that found no worker finds none for the rest of the
 * pass, and neither does a larger one of the same kind. With many waiting jobs of few kinds, most
 * are skipped.
 */
import { fitsIn } from '../../infrastructure/sizes.js';
import type { Size } from '../../infrastructure/worker.js';

import type { OwnedStep } from '../model/ownedJob.js';

/** Each short task may cause preemption, so it is tried even if the size found no worker before. */
const mayPreempt = ({ spec }: OwnedStep): boolean => !spec.filler && !spec.longRunning;

/** Returns a key shared by steps with the same candidate workers. */
const cacheKeyOf = ({ spec, occurrence }: OwnedStep): string => {
  const { queue } = occurrence.job;
  const image = spec.filler ? spec.image : '';
  return `${queue.service} ${spec.filler} ${spec.requiredLabel} ${image}`;
};

/** Its tasks may find no worker for other reasons than their size. */
const isRestricted = ({ spec, occurrence }: OwnedStep): boolean =>
  spec.gang || spec.perWorkerLimit > 0 || occurrence.job.queue.policy !== undefined;

/** Remembers sizes by cache key. */
export class UnplaceableSizes {
  private readonly sizes = new Map<string, Size[]>();

  /** Forgets all sizes, at the start of a pass. */
  clear(): void {
    this.sizes.clear();
  }

  /**
   * Records the size of a step whose tasks found no worker.
   *
   * @param step - the step
   */
  add(step: OwnedStep): void {
    if (isRestricted(step) || this.hasNoRoom(step)) return;
    const cacheKey = cacheKeyOf(step);
    const sizes = this.sizes.get(cacheKey) ?? [];
    sizes.push(step.spec.size);
    this.sizes.set(cacheKey, sizes);
  }

  /**
   * Tells whether a step can be skipped for the rest of the pass.
   *
   * @param step - the step
   * @returns true if it has no room and cannot cause preemption either
   */
  includes(step: OwnedStep): boolean {
    return !mayPreempt(step) && this.hasNoRoom(step);
  }

  /**
   * Tells whether no worker has room for the tasks of a step for the rest of the pass.
   *
   * @param step - the step
   * @returns true if an equal or smaller size of the same kind found no worker
   */
  hasNoRoom(step: OwnedStep): boolean {
    return this.sizes.get(cacheKeyOf(step))?.some((size) => fitsIn(size, step.spec.size)) ?? false;
  }
}
