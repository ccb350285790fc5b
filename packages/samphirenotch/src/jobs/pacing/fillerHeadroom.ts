/**
 * How much room for fillers the serving tasks of a worker leave.
 *
 * A filler may use a share of a worker that its heaviest pair with a serving image there allows, so
 * the images that serve on a worker decide together which fillers it is open to.
 */
import type { OwnedJob } from '../model/ownedJob.js';
import type { Interference } from './interference.js';

/** Share of a worker that fillers find unused at most; serving tasks use about half of what they declare. */
const MAX_FILLER_FRACTION = 0.6;

/** Share of a target's inverse that fillers may take; loads swing, and peaks need the rest. */
const LOSS_BUDGET = 1;

/** Duration of a task without an estimate, in milliseconds. */
const DEFAULT_ESTIMATE_MS = 1_000;

/** An image that serves under a target. */
export interface ServingImage {
  readonly image: string;
  /** Bound of its tail, in milliseconds. */
  readonly targetMs: number;
}

/** Share of the work of fillers by image; the shares add up to 1. */
export type FillerDemand = ReadonlyMap<string, number>;

/**
 * Tells which fillers the open jobs ask for.
 *
 * @param jobs - open jobs
 * @returns each image's share of the work that is left
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

/** Judges sets of serving images. */
export class FillerHeadroom {
  private demand: FillerDemand = new Map();

  private readonly pairFractions = new Map<string, number>();

  /**
   * @param interference - what was learned of pairs
   */
  constructor(private readonly interference: Interference) {}

  /**
   * Takes what is asked for now.
   *
   * @param demand - share of the work by image of filler
   */
  setDemand(demand: FillerDemand): void {
    this.demand = demand;
    this.pairFractions.clear();
  }

  /**
   * Tells how much of a worker the fillers that are asked for could use.
   *
   * @param servingImages - images that serve on it
   * @returns share of its processors, from 0 to 1
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
 * Lists each image once.
 *
 * @param servingImages - images, some of them several times
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
