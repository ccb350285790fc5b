/**
 * Finds jobs of fillers that nobody takes although the site has room.
 *
 * Answers the pattern of a filler that disturbs every image that serves: no worker is predicted to
 * bear it, so it would wait for as long as anything serves. One of its tasks is started all the
 * same where it disturbs least, and the pacing of fillers keeps it from doing harm.
 */
import type { Clock } from '../../time/clock.js';

import type { OwnedJob, OwnedStep } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';

/**
 * Time without a run after which a job counts as starved, in milliseconds: callers are promised
 * less than 3 s where there is room.
 */
const STARVED_AFTER_MS = 1_500;

/**
 * Share of a service's processors that may be taken by others; above, work waits for room in good
 * order.
 */
const MAXIMUM_USED_FRACTION = 0.6;

/** Watches jobs that wait. */
export class Starvation {
  private readonly waitingSince = new Map<OwnedJob, number>();

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Takes note of what waits after a pass.
   *
   * @param steps - steps with tasks that wait, in the order in which they are served
   * @returns one step of each job of fillers that has had nothing running for too long
   */
  starved(steps: readonly OwnedStep[]): readonly OwnedStep[] {
    const nowMs = this.clock.monotonicMs();
    const firstSteps = new Map<OwnedJob, OwnedStep>();
    steps
      .filter(({ spec, occurrence }) => spec.filler && occurrence.job.isOpen)
      .forEach((step) => {
        const { job } = step.occurrence;
        if (!firstSteps.has(job)) firstSteps.set(job, step);
      });
    this.waitingSince.forEach((_since, job) => {
      if (!firstSteps.has(job)) this.waitingSince.delete(job);
    });
    return [...firstSteps].flatMap(([job, step]) => {
      if (job.hasRuns) {
        this.waitingSince.delete(job);
        return [];
      }
      const since = this.waitingSince.get(job) ?? nowMs;
      this.waitingSince.set(job, since);
      return nowMs - since >= STARVED_AFTER_MS ? [step] : [];
    });
  }

  /**
   * Tells whether a service has room.
   *
   * @param workers - its workers that take work
   * @returns true if others take little enough of their processors
   */
  static hasFreeCapacity(workers: readonly WorkerAgent[]): boolean {
    const capacity = workers.reduce((sum, agent) => sum + agent.description.capacity.milliCores, 0);
    const free = workers.reduce((sum, agent) => sum + agent.free().milliCores, 0);
    return capacity > 0 && capacity - free <= MAXIMUM_USED_FRACTION * capacity;
  }
}
