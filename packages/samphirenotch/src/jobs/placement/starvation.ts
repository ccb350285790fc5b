/**
 * Finds filler jobs that have no run although the site has free capacity.
 *
 * A filler that interferes with every serving image is predicted to fit on no worker, and would
 * wait for as long as anything serves. One of its tasks is started anyway where it interferes
 * least, and the pacing of fillers limits the harm.
 */
import type { Clock } from '../../time/clock.js';

import type { OwnedJob, OwnedStep } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';

/**
 * Time without a run after which a job counts as starved, in milliseconds. Callers are promised
 * less than 3 s if there is capacity.
 */
const STARVED_AFTER_MS = 1_500;

/**
 * Used fraction of a service's processors up to which there is free capacity; above it, waiting is
 * normal.
 */
const MAXIMUM_USED_FRACTION = 0.6;

/** Tracks how long filler jobs have been without a run. */
export class Starvation {
  private readonly waitingSince = new Map<OwnedJob, number>();

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Updates the waiting times after a pass and finds starved jobs.
   *
   * @param steps - steps with tasks that wait, in the order in which they are served
   * @returns one step of each filler job that has had no run for too long
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
   * Tells whether a service has free capacity for starved jobs.
   *
   * @param workers - workers of the service that accept tasks
   * @returns true if at most the maximum fraction of their processors is taken
   */
  static hasFreeCapacity(workers: readonly WorkerAgent[]): boolean {
    const capacity = workers.reduce((sum, agent) => sum + agent.description.capacity.milliCores, 0);
    const free = workers.reduce((sum, agent) => sum + agent.free().milliCores, 0);
    return capacity > 0 && capacity - free <= MAXIMUM_USED_FRACTION * capacity;
  }
}
