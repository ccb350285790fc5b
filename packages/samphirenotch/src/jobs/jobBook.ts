/**
 * The open jobs of an owner, and what it notes of them in the store.
 */
import { partLog } from '../observability/log.js';
import type { Clock } from '../time/clock.js';

import {
  ACCEPTED_PREFIX,
  CANCELLED_PREFIX,
  ENDED_PREFIX,
  PROGRESS_PREFIX,
  WAITING_KEY,
} from './jobKeys.js';
import { encodeProgress, type JobProgress } from './jobProgress.js';
import type { ReplicatedJob } from './jobReplica.js';
import { jobIdOfTask } from './jobSpec.js';
import type { OperatorFollower } from './operatorFollower.js';
import { OwnedJob, type OwnedTask } from './ownedJob.js';
import type { ProgressJournal } from './progressJournal.js';

/** Time between two summaries of waiting jobs, in milliseconds. */
const SUMMARY_MS = 500;

/** Longest age that an accepted job is taken to have, in milliseconds; wall clocks jump. */
const LONGEST_AGE_MS = 60_000;

/** Holds open jobs. */
export class JobBook {
  readonly summaryMs = SUMMARY_MS;

  private readonly log = partLog('jobs');

  private readonly jobs = new Map<string, OwnedJob>();

  /** Jobs that this term has ended; their final state may not be stored yet. */
  private readonly endedIds = new Set<string>();

  private journal!: ProgressJournal;

  private firstRun = 1;

  private progress: ReadonlyMap<string, JobProgress> = new Map();

  /** Version of the configuration that the queues of jobs were taken from. */
  private queuesVersion = 0;

  private lastSummary = '';

  /** Revision up to which the last summary speaks of all jobs. */
  private summarizedTo = 0;

  /**
   * @param operator - configuration
   * @param clock - time
   */
  constructor(
    private readonly operator: OperatorFollower,
    private readonly clock: Clock,
  ) {}

  /**
   * Sets what the term began with.
   *
   * @param journal - where changes are written
   * @param firstRun - smallest number of new runs
   * @param progress - progress by job that former owners stored
   */
  attach(
    journal: ProgressJournal,
    firstRun: number,
    progress: ReadonlyMap<string, JobProgress>,
  ): void {
    this.journal = journal;
    this.firstRun = firstRun;
    this.progress = progress;
  }

  /** @returns all open jobs, oldest first */
  openJobs(): readonly OwnedJob[] {
    return [...this.jobs.values()];
  }

  /**
   * Finds an open job.
   *
   * @param jobId - the job
   * @returns the job, or undefined
   */
  find(jobId: string): OwnedJob | undefined {
    return this.jobs.get(jobId);
  }

  /**
   * Finds a task of an open job.
   *
   * @param taskId - the task
   * @returns the task, or undefined
   */
  findTask(taskId: string): OwnedTask | undefined {
    return this.jobs.get(jobIdOfTask(taskId))?.findTask(taskId);
  }

  /**
   * Takes a job in.
   *
   * @param job - the job
   */
  accept({ accepted, revision }: ReplicatedJob): void {
    if (this.jobs.has(accepted.id) || this.endedIds.has(accepted.id)) return;
    const ageMs = this.clock.wallMs() - accepted.acceptedAtMs;
    const job = new OwnedJob({
      accepted,
      revision,
      queue: accepted.queue,
      progress: this.progress.get(accepted.id),
      firstRun: this.firstRun,
      acceptedMs: this.clock.monotonicMs() - Math.min(LONGEST_AGE_MS, Math.max(0, ageMs)),
      learnedMs: this.clock.monotonicMs(),
    });
    this.jobs.set(accepted.id, job);
    this.queuesVersion = 0;
    this.log.info('A job is taken in', {
      jobId: accepted.id,
      queue: accepted.queue.name,
      revision,
      steps: accepted.job.steps.length,
    });
    // Its last end was stored, but not its final state.
    if (job.isDone) this.finish(job, 'completed');
  }

  /** Takes the newest configuration of each queue. */
  refreshQueues(): void {
    const { configuration } = this.operator.view();
    if (!configuration || configuration.version === this.queuesVersion) return;
    this.queuesVersion = configuration.version;
    const queues = new Map(configuration.queues.map((queue) => [queue.name, queue]));
    this.jobs.forEach((job) => {
      const owned = job;
      owned.queue = queues.get(job.accepted.queue.name) ?? job.queue;
    });
  }

  /**
   * Stores the progress of a job soon.
   *
   * @param job - the job
   */
  noteProgress(job: OwnedJob): void {
    if (!job.isOpen) return;
    this.journal.add({
      key: PROGRESS_PREFIX + job.id,
      value: () => encodeProgress(job),
    });
  }

  /**
   * Decides and stores the final state of a job.
   *
   * @param job - the job
   * @param final - the state
   */
  finish(job: OwnedJob, final: 'completed' | 'failed'): void {
    const owned = job;
    owned.final = final;
    this.log.info('A job has ended', {
      jobId: job.id,
      state: final,
      afterMs: Math.round(this.clock.monotonicMs() - job.acceptedMs),
    });
    this.drop(job, this.journal.add({ key: ENDED_PREFIX + job.id, value: () => final }));
  }

  /**
   * Drops a cancelled job.
   *
   * @param job - the job
   */
  forget(job: OwnedJob): void {
    this.drop(job, 0);
  }

  /** Progress goes only after the final state is stored, or a successor would begin the job anew. */
  private drop(job: OwnedJob, sequence: number): void {
    this.jobs.delete(job.id);
    this.endedIds.add(job.id);
    const removeProgress = (stored: boolean): void => {
      if (!stored) return;
      this.journal.add({ key: PROGRESS_PREFIX + job.id, value: () => undefined });
    };
    this.journal.written(sequence).then(removeProgress, (error: unknown) => {
      this.log.error('Progress was not removed', { jobId: job.id, reason: String(error) });
    });
  }

  /**
   * Removes a job that callers need not be told of any more.
   *
   * @param jobId - the job
   */
  expire(jobId: string): void {
    this.log.info('A job that is over is removed', { jobId });
    [ACCEPTED_PREFIX, CANCELLED_PREFIX, ENDED_PREFIX, PROGRESS_PREFIX].forEach((prefix) =>
      this.journal.add({ key: prefix + jobId, value: () => undefined }),
    );
  }

  /**
   * Stores which jobs no task was started of.
   *
   * @param revision - revision up to which all accepted jobs are known
   */
  summarize(revision: number): void {
    const jobs = [...this.jobs.values()];
    const known = jobs
      .filter(({ begun }) => !begun)
      .map(({ id }) => id)
      .join(' ');
    // Jobs that are newer than the last summary count as waiting until one leaves them out.
    const hasNewer = jobs.some((job) => job.begun && job.revision > this.summarizedTo);
    if (known === this.lastSummary && !hasNewer) return;
    this.lastSummary = known;
    this.summarizedTo = revision;
    this.journal.add({ key: WAITING_KEY, value: () => `${revision} ${known}` });
  }
}
