/**
 * Estimates how much of a worker's processors fillers can use beside its serving tasks.
 *
 * The serving image that a filler disturbs most limits the processors that this filler may use, so
 * the set of serving images on a worker determines which fillers fit there.
 */
import type { OwnedJob } from '../model/ownedJob.js';
import type { Interference } from './interference.js';

/**
 * Largest fraction of a worker that is assumed to be unused and available to fillers; serving tasks
 * use about half of what they declare.
 */
const MAX_FILLER_FRACTION = 0.6;

/**
 * Loss that fillers may cause to a serving task, as a multiple of its inverse target. Loads
 * fluctuate: the rest of the baseline is needed for their peaks.
 */
const LOSS_BUDGET = 1;

/** Assumed duration of a task without an estimate, in milliseconds. */
const DEFAULT_ESTIMATE_MS = 1_000;

/** An image of serving tasks and its latency target. */
export interface ServingImage {
  readonly image: string;
  /** Upper bound of its tail latency, in milliseconds. */
  readonly targetMs: number;
}

/** Fraction of the outstanding filler work by image; the fractions add up to 1. */
export type FillerDemand = ReadonlyMap<string, number>;

/**
 * Computes which filler images the open jobs still need to run, weighted by remaining work.
 *
 * @param jobs - open jobs
 * @returns fraction of the remaining work (processors times estimated duration) by image
 */
export const fillerDemand = (jobs: readonly OwnedJob[]): FillerDemand => {
  const work = new Map<string, number>();
  jobs.forEach(({ occurrences }) =>
    occurrences.forEach(({ steps }) =>
      steps.forEach(({ spec, tasks }) => {
        if (!spec.filler) return;
        const remainingMilliCores =
          tasks.filter(({ done, isElsewhere: away }) => !done && !away).length *
          spec.size.milliCores;
        const amount = remainingMilliCores * (spec.estimateMs || DEFAULT_ESTIMATE_MS);
        work.set(spec.image, (work.get(spec.image) ?? 0) + amount);
      }),
    ),
  );
  const totalWork = [...work.values()].reduce((sum, amount) => sum + amount, 0);
  return new Map(
    [...work].map(([image, amount]) => [image, totalWork > 0 ? amount / totalWork : 0]),
  );
};

/** Estimates the headroom for fillers beside a set of serving images. */
export class FillerHeadroom {
  private demand: FillerDemand = new Map();

  private readonly pairFractions = new Map<string, number>();

  /**
   * @param interference - learned interference between fillers and serving tasks
   */
  constructor(private readonly interference: Interference) {}

  /**
   * Replaces the demand that the estimates are weighted by.
   *
   * @param demand - fraction of the outstanding filler work by image
   */
  setDemand(demand: FillerDemand): void {
    this.demand = demand;
    this.pairFractions.clear();
  }

  /**
   * Estimates how much of a worker the fillers in demand could use.
   *
   * @param servingImages - images of the serving tasks on the worker
   * @returns fraction of its processors, from 0 to 1
   */
  usableFraction(servingImages: readonly ServingImage[]): number {
    let sum = 0;
    this.demand.forEach((weight, filler) => {
      const lowestFraction = servingImages.reduce(
        (lowest, each) => Math.min(lowest, this.pairFraction(each, filler)),
        MAX_FILLER_FRACTION,
      );
      sum += weight * lowestFraction;
    });
    return sum;
  }

  private pairFraction({ image, targetMs }: ServingImage, filler: string): number {
    const key = `${image} ${filler} ${targetMs}`;
    const known = this.pairFractions.get(key);
    if (known !== undefined) return known;
    const slope = this.interference.slope(image, filler);
    const fraction = slope > 0 ? LOSS_BUDGET / targetMs / slope : MAX_FILLER_FRACTION;
    this.pairFractions.set(key, fraction);
    return fraction;
  }
}

/**
 * Removes duplicate images.
 *
 * @param servingImages - images, possibly repeated with different targets
 * @returns each image with its strictest target
 */
export const distinctImages = (servingImages: readonly ServingImage[]): readonly ServingImage[] => {
  const strictest = new Map<string, ServingImage>();
  servingImages.forEach((each) => {
    const known = strictest.get(each.image);
    if (!known || each.targetMs < known.targetMs) strictest.set(each.image, each);
  });
  return [...strictest.values()];
};
