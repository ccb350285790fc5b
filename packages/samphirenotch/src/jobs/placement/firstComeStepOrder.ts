/**
 * Serves steps in the order in which their jobs came: the plain baseline of the order by deadlines.
 */
import type { OwnedStep } from '../model/ownedJob.js';
import type { StepOrder } from './stepOrder.js';

/** First come, first served. */
export class FirstComeStepOrder implements StepOrder {
  sort(steps: readonly OwnedStep[]): readonly OwnedStep[] {
    return [...steps].sort(
      (left, right) => left.occurrence.job.acceptedMs - right.occurrence.job.acceptedMs,
    );
  }
}
