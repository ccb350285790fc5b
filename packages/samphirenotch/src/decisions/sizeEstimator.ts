/**
 * Estimates what tasks of a class really use, as their declared sizes may be far off.
 */
import type { Size } from '../infrastructure/worker.js';

/** Estimates the size that an attempt will use. */
export interface SizeEstimator {
  /** Returns the size that the ledger should reserve for a new attempt. */
  estimate(taskClass: string, declared: Size): Size;
  /** Updates the estimate with a usage report. */
  observe(taskClass: string, declared: Size, used: Size): void;
}
