/**
 * Slopes of one serving image against the images of fillers, by ridge regression with weights that
 * fade: few observations stay near the prior, and a shift of behaviour is followed.
 */

/** A slope that is assumed of a pair until it was seen. */
const PRIOR_SLOPE = 0.1;

/** Weight of the prior, in squared shares: about three looks at a tenth of a worker. */
const PRIOR_WEIGHT_SQUARED_FRACTION = 0.03;

/** Weight that an observation keeps with each later one. */
const OBSERVATION_DECAY = 0.998;

/** Feature that stands for what is lost without fillers: noise of the undisturbed tail. */
const CONSTANT_FEATURE = 0.1;

/** Rounds of coordinate descent after an observation; the former solution is the start. */
const DESCENT_ROUNDS = 2;

/** How much of a worker the fillers of one image use. */
export interface FillerUsage {
  readonly image: string;
  /** Share of the worker's processors, from 0 to 1. */
  readonly workerFraction: number;
}

/** Learns slopes of one serving image. */
export class PairSlopes {
  private readonly featureIndexes = new Map<string, number>();

  /** The first feature is the constant one. */
  private featureProducts: number[][] = [[PRIOR_WEIGHT_SQUARED_FRACTION]];

  private readonly lossProducts: number[] = [0];

  private readonly slopes: number[] = [0];

  /**
   * Tells the slope of a pair.
   *
   * @param filler - image of the filler
   * @returns inverse milliseconds lost per worker of use
   */
  slope(filler: string): number {
    const index = this.featureIndexes.get(filler);
    return index === undefined ? PRIOR_SLOPE : (this.slopes[index] ?? PRIOR_SLOPE);
  }

  /**
   * Predicts what fillers cost.
   *
   * @param uses - the fillers
   * @returns inverse milliseconds
   */
  predictLoss(uses: readonly FillerUsage[]): number {
    return uses.reduce((sum, { image, workerFraction: used }) => sum + this.slope(image) * used, 0);
  }

  /**
   * Learns from an observation.
   *
   * @param uses - the fillers
   * @param observedLoss - what was lost beside them, in inverse milliseconds
   */
  learn(uses: readonly FillerUsage[], observedLoss: number): void {
    uses.forEach(({ image }) => this.indexOf(image));
    const features = this.slopes.map(() => 0);
    features[0] = CONSTANT_FEATURE;
    uses.forEach(({ image, workerFraction: share }) => {
      const index = this.indexOf(image);
      features[index] = (features[index] ?? 0) + share;
    });
    this.featureProducts = this.featureProducts.map((row, i) =>
      row.map((value, j) => value * OBSERVATION_DECAY + (features[i] ?? 0) * (features[j] ?? 0)),
    );
    features.forEach((feature, i) => {
      this.lossProducts[i] =
        (this.lossProducts[i] ?? 0) * OBSERVATION_DECAY + feature * observedLoss;
    });
    for (let round = 0; round < DESCENT_ROUNDS; round += 1) this.descend();
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
    this.slopes.forEach((slope, i) => {
      const row = this.featureProducts[i] ?? [];
      const others = row.reduce((sum, value, j) => sum + value * (this.slopes[j] ?? 0), 0);
      const own = row[i] ?? 0;
      const prior = i === 0 ? 0 : PRIOR_SLOPE;
      const remainder = (this.lossProducts[i] ?? 0) - (others - own * slope);
      this.slopes[i] = Math.max(
        0,
        (remainder + PRIOR_WEIGHT_SQUARED_FRACTION * prior) / (own + PRIOR_WEIGHT_SQUARED_FRACTION),
      );
    });
  }
}
