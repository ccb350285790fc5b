/**
 * Steps whose tasks have fitted nowhere in a pass.
 *
 * Starts only take room, so what has not fitted once fits nowhere for the rest of the pass, and
 * neither does anything larger of its kind. With many jobs of few kinds waiting, most need not be
 * tried.
 */
import { fitsIn } from '../../infrastructure/sizes.js';
import type { Size } from '../../infrastructure/worker.js';

import type { OwnedStep } from '../model/ownedJob.js';

/** Tells which workers and limits count for a step; undefined if it has some of its own. */
const cacheKeyOf = ({ spec, occurrence }: OwnedStep): string | undefined => {
  const { queue } = occurrence.job;
  // Short tasks that fit nowhere may have room made for them, each on its own.
  const mayPreempt = !spec.filler && !spec.longRunning;
  if (mayPreempt || spec.gang || spec.perWorkerLimit > 0 || queue.policy) return undefined;
  const image = spec.filler ? spec.image : '';
  return `${queue.service} ${spec.filler} ${spec.requiredLabel} ${image}`;
};

/** Remembers sizes by kind. */
export class UnplaceableSizes {
  private readonly sizes = new Map<string, Size[]>();

  /** Forgets all, at the begin of a pass. */
  clear(): void {
    this.sizes.clear();
  }

  /**
   * Takes note of a step whose tasks fit nowhere.
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
   * Tells whether a step need not be tried.
   *
   * @param step - the step
   * @returns true if something of its kind that is no larger has fitted nowhere
   */
  includes(step: OwnedStep): boolean {
    const cacheKey = cacheKeyOf(step);
    if (cacheKey === undefined) return false;
    return this.sizes.get(cacheKey)?.some((size) => fitsIn(size, step.spec.size)) ?? false;
  }
}
