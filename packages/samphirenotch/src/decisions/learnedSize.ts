/**
 * Estimates sizes by what a class has used relative to what was declared, leaning on the declared
 * size while little is known.
 */
import { QuantileEstimate } from './quantileEstimate.js';

import type { Size } from '../infrastructure/worker.js';
import type { SizeEstimator } from './sizeEstimator.js';

/** Settings of the estimate. */
export interface LearnedSizeSettings {
  /** Quantile of processor use that room is set aside for. */
  readonly coreQuantile: number;
  /** Quantile of memory use that room is set aside for. */
  readonly memoryQuantile: number;
  /** Reports that the declared size is worth. */
  readonly declaredWeight: number;
  /** Extra room per spread of the reports, shrinking with the square root of their number. */
  readonly uncertaintyWeight: number;
  /** Least share of the declared size that is set aside. */
  readonly minimumShare: number;
}

/** Settings that the entry uses unless told otherwise. */
export const LEARNED_SIZE_DEFAULTS: LearnedSizeSettings = {
  coreQuantile: 0.9,
  memoryQuantile: 0.98,
  declaredWeight: 10,
  uncertaintyWeight: 2,
  minimumShare: 0.1,
};

const MEDIAN = 0.5;

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

/** Learns sizes per class. */
export class LearnedSize implements SizeEstimator {
  private readonly settings: LearnedSizeSettings;

  private readonly records = new Map<string, ClassEstimates>();

  /**
   * @param settings - quantiles and caution
   */
  constructor(settings: LearnedSizeSettings = LEARNED_SIZE_DEFAULTS) {
    this.settings = settings;
  }

  /**
   * Estimates the size of a new attempt.
   *
   * @param taskClass - class of the task
   * @param declared - size that was declared
   * @returns size to set aside; accelerators are as declared
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
   * Learns from a usage report.
   *
   * @param taskClass - class of the task
   * @param declared - size that was declared
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

  private sizeRatio(record: RatioEstimates): number {
    const { declaredWeight, uncertaintyWeight, minimumShare } = this.settings;
    const reports = record.upperRatio.count();
    const upperRatio = record.upperRatio.value() ?? 1;
    const spread = Math.max(0, upperRatio - (record.medianRatio.value() ?? 1));
    const withMargin = upperRatio + (uncertaintyWeight * spread) / Math.sqrt(Math.max(1, reports));
    const shrunk = (withMargin * reports + declaredWeight) / (reports + declaredWeight);
    return Math.max(minimumShare, shrunk);
  }
}
