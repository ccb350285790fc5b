/**
 * The jobs of one partition: their latest records in memory, and their durable records.
 */
import { Failure } from '../failure.js';
import { Err, type Result } from '../results.js';
import { detach } from './detach.js';
import { GroupCommit, type CommitContext } from './groupCommit.js';
import { JobIndex } from './jobIndex.js';
import { MAXIMUM_JOBS, STORE_RETRY_AFTER_MS } from './taskSettings.js';
import type { Job } from './job.js';
import type { JobChange } from './jobChange.js';
import type { LoadedPartition } from './partitionLoad.js';

/** Dependencies of a job store. */
export interface JobStoreContext extends Omit<CommitContext, 'onDurable'> {
  /** Called with each job whose change is durable. */
  readonly onDurableJob: (job: Job) => void;
}

/**
 * Jobs of a partition. Code that acts on a change outside this process must first wait until the
 * change is durable.
 */
export class JobStore {
  /** The jobs with all changes, also those that are not yet durable. */
  readonly latest = new JobIndex();

  private readonly durable = new Map<string, Job>();

  private readonly submitting = new Map<string, Promise<Result<void, Failure>>>();

  private readonly commit: GroupCommit;

  /**
   * @param context - dependencies of the store and of its commits
   * @param loaded - the partition's records as loaded at the takeover
   */
  constructor(
    private readonly context: JobStoreContext,
    loaded: LoadedPartition,
  ) {
    for (const job of loaded.jobs.values()) {
      this.latest.set(job);
      this.durable.set(job.id, job);
    }
    this.commit = new GroupCommit(
      { ...context, onDurable: (changes) => this.applyDurable(changes) },
      loaded.layout,
      this.durable,
      loaded.headRevision,
      loaded.chunkRevisions,
    );
  }

  /**
   * Looks up the durable record of a job.
   *
   * @param jobId - its id
   * @returns the job, or nothing
   */
  findDurable(jobId: string): Job | undefined {
    return this.durable.get(jobId);
  }

  /**
   * Lists the durable records of all jobs.
   *
   * @returns the records by id
   */
  allDurable(): ReadonlyMap<string, Job> {
    return this.durable;
  }

  /**
   * Checks whether the key-value store answered the last call.
   *
   * @returns false during an outage
   */
  isStoreAnswering(): boolean {
    return this.commit.isStoreAnswering();
  }

  /**
   * Replaces the record of a job in memory at once and adds the change to the next commit.
   *
   * @param job - the new record
   * @returns nothing once the change is durable, or why this owner cannot make it durable
   */
  put(job: Job): Promise<Result<void, Failure>> {
    this.latest.set(job);
    return this.commit.add({ jobId: job.id, job, failFast: false });
  }

  /**
   * Adds a new job, in memory only once it is durable. While a job with the same id is being added,
   * its result is returned and no second job is added.
   *
   * @param job - the new job
   * @returns nothing once the job is durable, or why it was not accepted
   */
  submit(job: Job): Promise<Result<void, Failure>> {
    const submitting = this.submitting.get(job.id);
    if (submitting) return submitting;
    if (this.durable.size + this.submitting.size >= MAXIMUM_JOBS) {
      return Promise.resolve(Err(this.partitionFull()));
    }
    const added = this.commit
      .add({ jobId: job.id, job, failFast: true })
      .finally(() => this.submitting.delete(job.id));
    this.submitting.set(job.id, added);
    return added;
  }

  /**
   * Removes an ended job.
   *
   * @param jobId - its id
   */
  drop(jobId: string): void {
    this.latest.delete(jobId);
    detach(this.commit.add({ jobId, failFast: false }));
  }

  /**
   * Waits until all changes are durable or the partition is given up.
   *
   * @returns a promise that resolves then
   */
  drain(): Promise<void> {
    return this.commit.drain();
  }

  /**
   * Commits changes until the partition is given up.
   *
   * @returns a promise that resolves then
   */
  run(): Promise<void> {
    return this.commit.run();
  }

  private applyDurable(changes: readonly JobChange[]): void {
    for (const { jobId, job } of changes) {
      if (!job) {
        this.durable.delete(jobId);
        this.latest.delete(jobId);
        continue;
      }
      this.durable.set(jobId, job);
      if (!this.latest.get(jobId)) this.latest.set(job);
      this.context.onDurableJob(job);
    }
  }

  private partitionFull(): Failure {
    return new Failure({
      code: 'overloaded',
      step: 'tasks.submit',
      peer: this.context.partition,
      effect: 'not-run',
      message: `the partition holds ${MAXIMUM_JOBS} jobs, which is the most`,
      retryAfterMs: STORE_RETRY_AFTER_MS,
    });
  }
}
