/**
 * The open jobs of an owner, and what it notes of them in the store.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import { describeJob } from '../model/jobDescription.js';
import { encodeProgress, type JobProgress } from '../model/jobProgress.js';
import type { Delegation } from '../model/delegation.js';
import { jobIdOfTask, type AcceptedJob } from '../model/jobSpec.js';
import { OwnedJob, type OwnedTask } from '../model/ownedJob.js';
import { ACCEPTED_PREFIX, CANCELLED_PREFIX, ENDED_PREFIX, type ShareKeys } from './jobKeys.js';
import type { ReplicatedJob } from './jobReplica.js';
import type { OperatorFollower } from './operatorFollower.js';
import type { ProgressJournal } from './progressJournal.js';

/** Longest age that an accepted job is taken to have, in milliseconds; wall clocks jump. */
const MAXIMUM_JOB_AGE_MS = 60_000;

/** Holds open jobs. */
export class JobRegistry {
  private readonly log = partLog('jobs');

  /** Jobs of the share. */
  private readonly jobs = new Map<string, OwnedJob>();

  /** Parts of jobs of other shares, by job. */
  private readonly guests = new Map<string, readonly OwnedJob[]>();

  /** Jobs that this term has ended; their final state may not be stored yet. */
  private readonly endedIds = new Set<string>();

  private journal!: ProgressJournal;

  private keys!: ShareKeys;

  private firstRun = 1;

  private progress: ReadonlyMap<string, JobProgress> = new Map();

  private onGuestProgress: (job: OwnedJob) => void = () => undefined;

  private onEndStored: (job: OwnedJob) => void = () => undefined;

  /** Version of the configuration that the queues of jobs were taken from. */
  private queuesVersion = 0;

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
   * @param keys - keys of the share
   * @param firstRun - smallest number of new runs
   * @param progress - progress by job that former owners stored
   */
  startTerm(
    journal: ProgressJournal,
    keys: ShareKeys,
    firstRun: number,
    progress: ReadonlyMap<string, JobProgress>,
  ): void {
    this.journal = journal;
    this.keys = keys;
    this.firstRun = firstRun;
    this.progress = progress;
  }

  /**
   * Sets who hears of what this book does not write itself.
   *
   * @param listeners - hear of progress of guests, and of jobs of the share whose end is stored
   */
  setListeners(listeners: {
    readonly onGuestProgress: (job: OwnedJob) => void;
    readonly onEndStored: (job: OwnedJob) => void;
  }): void {
    this.onGuestProgress = listeners.onGuestProgress;
    this.onEndStored = listeners.onEndStored;
  }

  /** @returns all open jobs, and parts of jobs of other shares */
  openJobs(): readonly OwnedJob[] {
    return [...this.jobs.values(), ...[...this.guests.values()].flat()];
  }

  /**
   * Finds what there is of a job here.
   *
   * @param jobId - the job
   * @returns the job, or its parts that other shares have handed to this one
   */
  findAll(jobId: string): readonly OwnedJob[] {
    const own = this.jobs.get(jobId);
    return own ? [own] : (this.guests.get(jobId) ?? []);
  }

  /**
   * Finds an open job of the share.
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
    const tasks = this.findAll(jobIdOfTask(taskId)).flatMap((job) => job.findTask(taskId) ?? []);
    return tasks.find(({ isElsewhere: away }) => !away) ?? tasks.at(-1);
  }

  /**
   * Takes a job in.
   *
   * @param job - the job
   */
  add({ accepted, revision }: ReplicatedJob): void {
    if (this.jobs.has(accepted.id) || this.endedIds.has(accepted.id)) return;
    const progress = this.progress.get(accepted.id);
    const job = new OwnedJob({ ...this.commonOptions(accepted), revision, progress });
    this.jobs.set(accepted.id, job);
    this.queuesVersion = 0;
    this.log.info('A job is taken in', {
      jobId: accepted.id,
      queue: accepted.queue.name,
      revision,
      ...describeJob(accepted),
    });
    // Its last end was stored, but not its final state.
    if (job.isDone) this.finish(job, 'completed');
  }

  /**
   * Takes in what another share has handed to this one.
   *
   * @param accepted - the job
   * @param part - the delegation, its revision, and what was reported of it
   * @returns the part of the job
   */
  addGuest(
    accepted: AcceptedJob,
    part: {
      readonly delegation: Delegation;
      readonly revision: number;
      readonly progress: JobProgress;
    },
  ): OwnedJob {
    const job = new OwnedJob({ ...this.commonOptions(accepted), ...part });
    this.guests.set(job.id, [...(this.guests.get(job.id) ?? []), job]);
    this.queuesVersion = 0;
    return job;
  }

  /**
   * Drops a part of a job of another share.
   *
   * @param job - the part
   */
  removeGuest(job: OwnedJob): void {
    const others = (this.guests.get(job.id) ?? []).filter((each) => each !== job);
    if (others.length > 0) this.guests.set(job.id, others);
    else this.guests.delete(job.id);
  }

  private commonOptions(accepted: AcceptedJob) {
    const nowMs = this.clock.monotonicMs();
    const ageMs = this.clock.wallMs() - accepted.acceptedAtMs;
    return {
      accepted,
      queue: accepted.queue,
      firstRun: this.firstRun,
      acceptedMs: nowMs - Math.min(MAXIMUM_JOB_AGE_MS, Math.max(0, ageMs)),
      knownSinceMs: nowMs,
    };
  }

  /** Takes the newest configuration of each queue. */
  refreshQueues(): void {
    const { configuration } = this.operator.view();
    if (!configuration || configuration.version === this.queuesVersion) return;
    this.queuesVersion = configuration.version;
    const queues = new Map(configuration.queues.map((queue) => [queue.name, queue]));
    this.openJobs().forEach((job) => {
      const owned = job;
      owned.queue = queues.get(job.accepted.queue.name) ?? job.queue;
    });
  }

  /**
   * Stores the progress of a job soon.
   *
   * @param job - the job
   */
  saveProgress(job: OwnedJob): void {
    if (!job.isOpen) return;
    if (job.isGuest) {
      this.onGuestProgress(job);
      return;
    }
    this.journal.add({
      key: this.keys.progressPrefix + job.id,
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
    const key = ENDED_PREFIX + job.id;
    this.removeOwn(job, this.journal.add({ key, isUrgent: true, value: () => final }));
  }

  /**
   * Drops a cancelled job.
   *
   * @param job - the job
   */
  removeCancelled(job: OwnedJob): void {
    if (job.isGuest) this.removeGuest(job);
    else this.removeOwn(job, 0);
  }

  /** Progress goes only after the final state is stored, or a successor would begin the job anew. */
  private removeOwn(job: OwnedJob, sequence: number): void {
    this.jobs.delete(job.id);
    this.endedIds.add(job.id);
    const removeProgress = (stored: boolean): void => {
      if (!stored) return;
      this.journal.add({ key: this.keys.progressPrefix + job.id, value: () => undefined });
      this.onEndStored(job);
    };
    this.journal.waitUntilStored(sequence).then(removeProgress, (error: unknown) => {
      this.log.error('Progress was not removed', { jobId: job.id, reason: String(error) });
    });
  }

  /**
   * Removes a job that callers need not be told of any more.
   *
   * @param jobId - the job
   */
  purge(jobId: string): void {
    this.log.info('A job that is over is removed', { jobId });
    [ACCEPTED_PREFIX, CANCELLED_PREFIX, ENDED_PREFIX, this.keys.progressPrefix].forEach((prefix) =>
      this.journal.add({ key: prefix + jobId, value: () => undefined }),
    );
  }
}
