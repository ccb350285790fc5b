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

/**
 * Returns a key shared by steps with the same candidate workers; undefined for steps that must
 * always be tried.
 */
const cacheKeyOf = ({ spec, occurrence }: OwnedStep): string | undefined => {
  const { queue } = occurrence.job;
  // Each short task may cause preemption, so it is tried even if the size found no worker before.
  const mayPreempt = !spec.filler && !spec.longRunning;
  if (mayPreempt || spec.gang || spec.perWorkerLimit > 0 || queue.policy) return undefined;
  const image = spec.filler ? spec.image : '';
  return `${queue.service} ${spec.filler} ${spec.requiredLabel} ${image}`;
};

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
    const cacheKey = cacheKeyOf(step);
    if (cacheKey === undefined) return;
    const sizes = this.sizes.get(cacheKey) ?? [];
    sizes.push(step.spec.size);
    this.sizes.set(cacheKey, sizes);
  }

  /**
   * Tells whether a step can be skipped for the rest of the pass.
   *
   * @param step - the step
   * @returns true if an equal or smaller size of the same kind found no worker
   */
  includes(step: OwnedStep): boolean {
    const cacheKey = cacheKeyOf(step);
    if (cacheKey === undefined) return false;
    return this.sizes.get(cacheKey)?.some((size) => fitsIn(size, step.spec.size)) ?? false;
  }
}
