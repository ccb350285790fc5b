/**
 * Counts the tasks of open jobs, without a walk over the jobs.
 */
import { heldTaskCount, type JobSpec } from '../model/jobSpec.js';

/** Sum of the tasks that the owners of open jobs hold. */
export class OpenTaskCounter {
  private readonly tasksByJob = new Map<string, number>();

  private sum = 0;

  /** @returns the tasks of all open jobs */
  get total(): number {
    return this.sum;
  }

  /**
   * Returns the tasks of one job.
   *
   * @param jobId - the job
   * @returns their number; 0 if the job is not open
   */
  of(jobId: string): number {
    return this.tasksByJob.get(jobId) ?? 0;
  }

  /**
   * Counts a job as open.
   *
   * @param jobId - its id
   * @param job - the job
   */
  add(jobId: string, job: JobSpec): void {
    this.remove(jobId);
    const tasks = heldTaskCount(job);
    this.tasksByJob.set(jobId, tasks);
    this.sum += tasks;
  }

  /**
   * Stops counting a job.
   *
   * @param jobId - the job, which may not be counted
   */
  remove(jobId: string): void {
    this.sum -= this.of(jobId);
    this.tasksByJob.delete(jobId);
  }

  /** Stops counting all jobs. */
  clear(): void {
    this.tasksByJob.clear();
    this.sum = 0;
  }
}
