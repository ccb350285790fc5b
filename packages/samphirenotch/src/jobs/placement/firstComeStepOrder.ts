/**
 * Orders steps by the time at which their jobs were accepted. Baseline for the order by deadlines.
 */
import type { OwnedStep } from '../model/ownedJob.js';
import type { StepOrder } from './stepOrder.js';

/** Serves steps first come, first served. */
export class FirstComeStepOrder implements StepOrder {
  sort(steps: readonly OwnedStep[]): readonly OwnedStep[] {
    return [...steps].sort(
      (left, right) => left.occurrence.job.acceptedMs - right.occurrence.job.acceptedMs,
    );
  }
}
