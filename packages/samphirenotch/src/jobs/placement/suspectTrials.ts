/**
 * Trials of tasks that are suspected of crashing the workers that start them.
 *
 * A suspect is started where a crash ends the fewest other runs and where, if possible, nothing else
 * can cause one. Nothing new starts beside it until it is proven.
 */
import type { OwnedTask } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';

/** Fraction of the workers of a service on which suspects may be tried at the same time. */
const MAXIMUM_TRIAL_FRACTION = 0.25;

/**
 * Chooses the worker on which a suspect is tried.
 *
 * @param task - the suspect
 * @param ranked - workers that can take it now, the best first
 * @param workers - all workers that may run it
 * @returns the worker, or undefined if the task has to wait
 */
export const chooseForTrial = (
  task: OwnedTask,
  ranked: readonly WorkerAgent[],
  workers: readonly WorkerAgent[],
): WorkerAgent | undefined => {
  const trials = workers.filter(({ hasTrial }) => hasTrial).length;
  if (trials + 1 > Math.max(1, MAXIMUM_TRIAL_FRACTION * workers.length)) return undefined;
  // A worker that keeps crashing for another reason must not be held against the task again.
  const hasCrashed = ({ description }: WorkerAgent): number =>
    task.crashedAddresses.has(description.address) ? 1 : 0;
  const [best] = [...ranked].sort(
    (one, other) =>
      hasCrashed(one) - hasCrashed(other) ||
      one.unprovenRunCount - other.unprovenRunCount ||
      one.runCount - other.runCount,
  );
  return best;
};
