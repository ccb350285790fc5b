/**
 * Estimates the size of a task from the ratio of used to declared size of its class. Stays close to
 * the declared size while there are few usage reports.
 */
import { QuantileEstimate } from './quantileEstimate.js';

import type { Size } from '../infrastructure/worker.js';
import type { SizeEstimator } from './sizeEstimator.js';

/** Settings of the estimator. */
export interface LearnedSizeSettings {
  /** Quantile of processor use that is reserved. */
  readonly coreQuantile: number;
  /** Quantile of memory use that is reserved. */
  readonly memoryQuantile: number;
  /** Weight of the declared size, in usage reports. */
  readonly declaredWeight: number;
  /**
   * Safety margin, as a multiple of the spread between the quantile and the median. It is divided
   * by the square root of the number of reports.
   */
  readonly uncertaintyWeight: number;
  /** Minimum share of the declared size that is reserved. */
  readonly minimumShare: number;
}

/** Default settings, which an entry uses. */
export const LEARNED_SIZE_DEFAULTS: LearnedSizeSettings = {
  coreQuantile: 0.9,
  memoryQuantile: 0.98,
  declaredWeight: 10,
  uncertaintyWeight: 2,
  minimumShare: 0.1,
};

const MEDIAN = 0.5;

/** Estimates of the ratio of used to declared size in one dimension. */
interface RatioEstimates {
  readonly upperRatio: QuantileEstimate;
  readonly medianRatio: QuantileEstimate;
}

interface ClassEstimates {
  readonly cores: RatioEstimates;
  readonly memory: RatioEstimates;
}

const newRatioEstimates = (quantile: number): RatioEstimates => ({
  upperRatio: new QuantileEstimate(quantile),
  medianRatio: new QuantileEstimate(MEDIAN),
});

const observeRatio = (record: RatioEstimates, declared: number, used: number): void => {
  if (declared <= 0) return;
  record.upperRatio.observe(used / declared);
  record.medianRatio.observe(used / declared);
};

/** Estimates sizes per class from usage reports. */
export class LearnedSize implements SizeEstimator {
  private readonly settings: LearnedSizeSettings;

  private readonly records = new Map<string, ClassEstimates>();

  /**
   * @param settings - quantiles and safety margins
   */
  constructor(settings: LearnedSizeSettings = LEARNED_SIZE_DEFAULTS) {
    this.settings = settings;
  }

  /**
   * Estimates the size of a new attempt.
   *
   * @param taskClass - class of the task
   * @param declared - declared size
   * @returns size to reserve; accelerators as declared
   */
  estimate(taskClass: string, declared: Size): Size {
    const record = this.records.get(taskClass);
    if (!record) return declared;
    return {
      milliCores: Math.ceil(declared.milliCores * this.sizeRatio(record.cores)),
      memoryMb: Math.ceil(declared.memoryMb * this.sizeRatio(record.memory)),
      accelerators: declared.accelerators,
    };
  }

  /**
   * Updates the estimate with a usage report.
   *
   * @param taskClass - class of the task
   * @param declared - declared size
   * @param used - size that was used
   */
  observe(taskClass: string, declared: Size, used: Size): void {
    const { coreQuantile, memoryQuantile } = this.settings;
    const known = this.records.get(taskClass);
    const record = known ?? {
      cores: newRatioEstimates(coreQuantile),
      memory: newRatioEstimates(memoryQuantile),
    };
    if (!known) this.records.set(taskClass, record);
    observeRatio(record.cores, declared.milliCores, used.milliCores);
    observeRatio(record.memory, declared.memoryMb, used.memoryMb);
  }

  /** Returns the share of the declared size to reserve; values above 1 exceed the declared size. */
  private sizeRatio(record: RatioEstimates): number {
    const { declaredWeight, uncertaintyWeight, minimumShare } = this.settings;
    const reports = record.upperRatio.count();
    const upperRatio = record.upperRatio.value() ?? 1;
    const spread = Math.max(0, upperRatio - (record.medianRatio.value() ?? 1));
    const withMargin = upperRatio + (uncertaintyWeight * spread) / Math.sqrt(Math.max(1, reports));
    const weighted = (withMargin * reports + declaredWeight) / (reports + declaredWeight);
    return Math.max(minimumShare, weighted);
  }
}
