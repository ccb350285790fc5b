/**
 * Learns the slopes of one serving image against filler images, by ridge regression with
 * exponentially decaying weights: with few observations the slopes stay near the prior, and changes
 * of behaviour are followed.
 */

/** Slope assumed for a pair until it is observed, in inverse milliseconds per worker. */
const PRIOR_SLOPE = 0.1;

/**
 * Weight of the prior, in squared fractions of a worker: equals about three observations of a
 * filler that uses a tenth of a worker.
 */
const PRIOR_WEIGHT_SQUARED_FRACTION = 0.03;

/** Factor by which the weight of an observation decreases with each later one. */
const OBSERVATION_DECAY = 0.998;

/** Value of the constant feature, which absorbs loss without fillers: noise of the baseline. */
const CONSTANT_FEATURE = 0.1;

/** Rounds of coordinate descent after an observation, starting from the previous solution. */
const DESCENT_ROUNDS = 2;

/** Processor usage of the fillers of one image on a worker. */
export interface FillerUsage {
  readonly image: string;
  /** Fraction of the worker's processors, from 0 to 1. */
  readonly workerFraction: number;
}

/** Slopes of one serving image by filler image. */
export class PairSlopes {
  private readonly featureIndexes = new Map<string, number>();

  /** Weighted sums of products of two features; the first feature is the constant one. */
  private readonly featureProducts: number[][] = [[PRIOR_WEIGHT_SQUARED_FRACTION]];

  private readonly lossProducts: number[] = [0];

  private readonly slopes: number[] = [0];

  /**
   * Returns the slope against a filler image.
   *
   * @param filler - image of the filler
   * @returns loss in inverse milliseconds if the filler used the whole worker
   */
  slope(filler: string): number {
    const index = this.featureIndexes.get(filler);
    return index === undefined ? PRIOR_SLOPE : (this.slopes[index] ?? PRIOR_SLOPE);
  }

  /**
   * Predicts by how much fillers reduce the inverse tail.
   *
   * @param usages - processor usage of the fillers
   * @returns loss in inverse milliseconds
   */
  predictLoss(usages: readonly FillerUsage[]): number {
    return usages.reduce(
      (sum, { image, workerFraction: used }) => sum + this.slope(image) * used,
      0,
    );
  }

  /**
   * Learns from an observation.
   *
   * @param usages - processor usage of the fillers
   * @param observedLoss - baseline minus measured inverse tail, in inverse milliseconds
   */
  learn(usages: readonly FillerUsage[], observedLoss: number): void {
    usages.forEach(({ image }) => this.indexOf(image));
    const features = this.slopes.map(() => 0);
    features[0] = CONSTANT_FEATURE;
    usages.forEach(({ image, workerFraction: used }) => {
      const index = this.indexOf(image);
      features[index] = (features[index] ?? 0) + used;
    });
    for (let i = 0; i < features.length; i += 1) this.addObservation(i, features, observedLoss);
    for (let round = 0; round < DESCENT_ROUNDS; round += 1) this.descend();
  }

  // Loops over indexes: an owner learns from every serving task of every poll.
  private addObservation(i: number, features: readonly number[], observedLoss: number): void {
    const row = this.featureProducts[i] ?? [];
    const feature = features[i] ?? 0;
    for (let j = 0; j < row.length; j += 1) {
      row[j] = (row[j] ?? 0) * OBSERVATION_DECAY + feature * (features[j] ?? 0);
    }
    this.lossProducts[i] = (this.lossProducts[i] ?? 0) * OBSERVATION_DECAY + feature * observedLoss;
  }

  private indexOf(filler: string): number {
    const known = this.featureIndexes.get(filler);
    if (known !== undefined) return known;
    const index = this.slopes.length;
    this.featureIndexes.set(filler, index);
    this.featureProducts.forEach((row) => row.push(0));
    this.featureProducts.push(Array.from({ length: index + 1 }, () => 0));
    this.lossProducts.push(0);
    this.slopes.push(PRIOR_SLOPE);
    return index;
  }

  private descend(): void {
    const { slopes } = this;
    for (let i = 0; i < slopes.length; i += 1) {
      const row = this.featureProducts[i] ?? [];
      const own = row[i] ?? 0;
      let others = 0;
      for (let j = 0; j < row.length; j += 1) others += (row[j] ?? 0) * (slopes[j] ?? 0);
      const prior = i === 0 ? 0 : PRIOR_SLOPE;
      const remainder = (this.lossProducts[i] ?? 0) - (others - own * (slopes[i] ?? 0));
      slopes[i] = Math.max(
        0,
        (remainder + PRIOR_WEIGHT_SQUARED_FRACTION * prior) / (own + PRIOR_WEIGHT_SQUARED_FRACTION),
      );
    }
  }
}
