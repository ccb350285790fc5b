/**
 * In-memory index of a partition's jobs, by id and by state.
 */
import { isActive, isEnded, type Job } from './job.js';

/** Jobs by id, with separate sets of the queued, active and ended ones. */
export class JobIndex {
  private readonly jobs = new Map<string, Job>();

  private readonly queued = new Set<string>();

  private readonly active = new Set<string>();

  private readonly ended = new Set<string>();

  /**
   * Looks up a job.
   *
   * @param jobId - its id
   * @returns the job, or nothing
   */
  get(jobId: string): Job | undefined {
    return this.jobs.get(jobId);
  }

  /**
   * Adds or replaces a job.
   *
   * @param job - the job
   */
  set(job: Job): void {
    this.delete(job.id);
    this.jobs.set(job.id, job);
    if (job.state === 'queued') this.queued.add(job.id);
    if (isActive(job)) this.active.add(job.id);
    if (isEnded(job)) this.ended.add(job.id);
  }

  /**
   * Removes a job.
   *
   * @param jobId - its id
   */
  delete(jobId: string): void {
    this.jobs.delete(jobId);
    this.queued.delete(jobId);
    this.active.delete(jobId);
    this.ended.delete(jobId);
  }

  /**
   * Lists the jobs that wait to be started.
   *
   * @returns the jobs
   */
  queuedJobs(): readonly Job[] {
    return this.jobsWithIds(this.queued);
  }

  /**
   * Lists the jobs of which an attempt may be running.
   *
   * @returns the jobs
   */
  activeJobs(): readonly Job[] {
    return this.jobsWithIds(this.active);
  }

  /**
   * Lists the jobs that have ended.
   *
   * @returns the jobs, those that ended first at the beginning
   */
  endedJobs(): readonly Job[] {
    return this.jobsWithIds(this.ended);
  }

  /**
   * Lists all jobs.
   *
   * @returns the jobs by id
   */
  all(): ReadonlyMap<string, Job> {
    return this.jobs;
  }

  private jobsWithIds(ids: ReadonlySet<string>): readonly Job[] {
    return [...ids].flatMap((id) => this.jobs.get(id) ?? []);
  }
}
