/**
 * Learns what classes of tasks really use while their declared sizes are far off.
 */
import type { Size } from '../infrastructure/worker.js';

/** An estimate of what an attempt will use. */
export interface SizeEstimator {
  /** Size that the ledger should count for a new attempt. */
  estimate(taskClass: string, declared: Size): Size;
  /** Learns from a usage report. */
  observe(taskClass: string, declared: Size, used: Size): void;
}
