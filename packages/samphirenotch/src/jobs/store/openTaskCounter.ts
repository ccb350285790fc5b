/**
 * Counts the tasks of open jobs, without a walk over the jobs.
 */
import { heldTaskCount, isLargeJob, type JobSpec } from '../model/jobSpec.js';

/** The tasks of an open job. */
interface CountedJob {
  readonly tasks: number;
  readonly isLarge: boolean;
}

const NO_TASKS: CountedJob = { tasks: 0, isLarge: false };

/** Sums of the tasks that the owners of open jobs hold: of large jobs, and of the others. */
export class OpenTaskCounter {
  private readonly jobs = new Map<string, CountedJob>();

  private ofLarge = 0;

  private ofOthers = 0;

  /**
   * Returns the tasks of all open jobs of a kind.
   *
   * @param isLarge - true for large jobs, false for the others
   * @returns their number
   */
  total(isLarge: boolean): number {
    return isLarge ? this.ofLarge : this.ofOthers;
  }

  /**
   * Returns the tasks of one job.
   *
   * @param jobId - the job
   * @param isLarge - the kind of jobs that counts
   * @returns their number; 0 if the job is not open, or of the other kind
   */
  of(jobId: string, isLarge: boolean): number {
    const job = this.jobs.get(jobId) ?? NO_TASKS;
    return job.isLarge === isLarge ? job.tasks : 0;
  }

  /**
   * Counts a job as open.
   *
   * @param jobId - its id
   * @param job - the job
   */
  add(jobId: string, job: JobSpec): void {
    this.remove(jobId);
    const counted = { tasks: heldTaskCount(job), isLarge: isLargeJob(job) };
    this.jobs.set(jobId, counted);
    this.change(counted, counted.tasks);
  }

  /**
   * Stops counting a job.
   *
   * @param jobId - the job, which may not be counted
   */
  remove(jobId: string): void {
    const counted = this.jobs.get(jobId) ?? NO_TASKS;
    this.change(counted, -counted.tasks);
    this.jobs.delete(jobId);
  }

  /** Stops counting all jobs. */
  clear(): void {
    this.jobs.clear();
    this.ofLarge = 0;
    this.ofOthers = 0;
  }

  private change({ isLarge }: CountedJob, tasks: number): void {
    if (isLarge) this.ofLarge += tasks;
    else this.ofOthers += tasks;
  }
}
