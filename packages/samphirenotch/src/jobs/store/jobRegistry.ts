/**
 * The open jobs of an owner, with writing of their progress and final states to the store.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';
import { toMonotonicMs } from '../../time/unixTime.js';

import { describeJob } from '../model/jobDescription.js';
import { encodeProgress, type JobProgress } from '../model/jobProgress.js';
import type { Delegation } from '../model/delegation.js';
import { jobIdOfTask, type AcceptedJob } from '../model/jobSpec.js';
import { OwnedJob, type OwnedTask } from '../model/ownedJob.js';
import { ACCEPTED_PREFIX, CANCELLED_PREFIX, ENDED_PREFIX, type ShareKeys } from './jobKeys.js';
import type { ReplicatedJob } from './jobReplica.js';
import type { OperatorFollower } from './operatorFollower.js';
import type { JournalChange, ProgressJournal } from './progressJournal.js';

/**
 * Number of open tasks from which further occurrences of a schedule wait until others are done. An owner holds about
 * half a kilobyte for each.
 */
export const MAXIMUM_OPEN_TASKS = 100_000;

/** How soon a write of progress is stored. */
type ProgressOrder = Pick<JournalChange, 'isUrgent' | 'overtakes'>;

/** Holds the open jobs of one term of ownership, own ones and guests. */
export class JobRegistry {
  private readonly log = partLog('jobs');

  /** Jobs whose home is this share, by id. */
  private readonly jobs = new Map<string, OwnedJob>();

  /** Guests: parts of jobs of other shares that were delegated to this one, by id of the job. */
  private readonly guests = new Map<string, readonly OwnedJob[]>();

  /** Ids of jobs that ended in this term, even if their final state is not stored yet. */
  private readonly endedIds = new Set<string>();

  private journal!: ProgressJournal;

  private keys!: ShareKeys;

  private fencingToken = 0;

  private firstRun = 1;

  /** Stored progress of the jobs that were not added yet. */
  private progress = new Map<string, JobProgress>();

  private onGuestProgress: (job: OwnedJob) => void = () => undefined;

  private onEndStored: (job: OwnedJob) => void = () => undefined;

  /**
   * Version of the configuration from which the queues of jobs were taken; 0 to take them again.
   */
  private queuesVersion = 0;

  /**
   * @param operator - source of the configuration
   * @param clock - time
   */
  constructor(
    private readonly operator: OperatorFollower,
    private readonly clock: Clock,
  ) {}

  /**
   * Sets the state at the start of the term.
   *
   * @param journal - writes changes to the store
   * @param keys - keys of the share
   * @param fencingToken - fencing token of the term
   * @param firstRun - smallest number of new runs
   * @param progress - progress that former owners stored, by id of the job
   */
  startTerm(
    journal: ProgressJournal,
    keys: ShareKeys,
    fencingToken: number,
    firstRun: number,
    progress: ReadonlyMap<string, JobProgress>,
  ): void {
    this.journal = journal;
    this.keys = keys;
    this.fencingToken = fencingToken;
    this.firstRun = firstRun;
    this.progress = new Map(progress);
  }

  /**
   * Sets callbacks for changes that the registry does not write itself.
   *
   * @param listeners - called for progress of guests, and for own jobs whose end is stored
   */
  setListeners(listeners: {
    readonly onGuestProgress: (job: OwnedJob) => void;
    readonly onEndStored: (job: OwnedJob) => void;
  }): void {
    this.onGuestProgress = listeners.onGuestProgress;
    this.onEndStored = listeners.onEndStored;
  }

  /** @returns all open jobs, including guests */
  openJobs(): readonly OwnedJob[] {
    return [...this.jobs.values(), ...[...this.guests.values()].flat()];
  }

  /**
   * Finds a job of this share, or the guests of a job of another share.
   *
   * @param jobId - the job
   * @returns the job, or its parts that were delegated to this share
   */
  findAll(jobId: string): readonly OwnedJob[] {
    const own = this.jobs.get(jobId);
    return own ? [own] : (this.guests.get(jobId) ?? []);
  }

  /**
   * Finds an open job whose home is this share.
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
   * Adds a job unless it is present or has ended.
   *
   * @param job - the job
   */
  add({ accepted, revision }: ReplicatedJob): void {
    if (this.jobs.has(accepted.id) || this.endedIds.has(accepted.id)) return;
    const progress = this.progress.get(accepted.id);
    this.progress.delete(accepted.id);
    const job = new OwnedJob({ ...this.commonOptions(accepted, revision), progress });
    this.jobs.set(accepted.id, job);
    this.queuesVersion = 0;
    this.log.info('A job is taken in', {
      jobId: accepted.id,
      queue: accepted.queue.name,
      revision,
      ...describeJob(accepted),
    });
    // The former owner stored the end of the last task but not the final state of the job.
    if (job.isDone) this.finish(job, 'completed');
  }

  /**
   * Adds a part of a job that another share has delegated to this one.
   *
   * @param accepted - the job
   * @param part - the delegation, its revision, and the progress reported so far
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
    const job = new OwnedJob({ ...this.commonOptions(accepted, part.revision), ...part });
    this.guests.set(job.id, [...(this.guests.get(job.id) ?? []), job]);
    this.queuesVersion = 0;
    return job;
  }

  /**
   * Removes a part of a job of another share.
   *
   * @param job - the part
   */
  removeGuest(job: OwnedJob): void {
    const others = (this.guests.get(job.id) ?? []).filter((each) => each !== job);
    if (others.length > 0) this.guests.set(job.id, others);
    else this.guests.delete(job.id);
  }

  private commonOptions(accepted: AcceptedJob, revision: number) {
    return {
      accepted,
      revision,
      isInherited: revision <= this.fencingToken,
      queue: accepted.queue,
      firstRun: this.firstRun,
      acceptedMs: toMonotonicMs(this.clock, accepted.acceptedAtMs),
      knownSinceMs: this.clock.monotonicMs(),
    };
  }

  /**
   * Opens the occurrences that are due, in the order of their jobs' due times: one of each job in any case, so that
   * no schedule waits for another, and further ones while there is room for their tasks.
   */
  openDueOccurrences(): void {
    const wallMs = this.clock.wallMs();
    const due = [...this.jobs.values()].filter((job) => job.isOpen && job.nextDueAtMs <= wallMs);
    if (due.length === 0) return;
    due.sort((one, other) => one.nextDueAtMs - other.nextDueAtMs);
    let room =
      MAXIMUM_OPEN_TASKS - this.openJobs().reduce((sum, job) => sum + job.openTaskCount, 0);
    due.forEach((job) => {
      const { nextDueAtMs } = job;
      const opened: number[] = [];
      while (
        job.nextDueAtMs <= wallMs &&
        (job.occurrences.size === 0 || room >= job.tasksPerOccurrence)
      ) {
        const occurrence = job.open();
        if (!occurrence) break;
        opened.push(occurrence.index);
        room -= job.tasksPerOccurrence;
      }
      if (opened.length === 0) return;
      this.log.info('Occurrences of a job are due', {
        jobId: job.id,
        first: opened[0],
        last: opened.at(-1),
        lateMs: Math.round(wallMs - nextDueAtMs),
        areMoreDue: job.nextDueAtMs <= wallMs,
        room,
      });
    });
  }

  /** Updates the queue of each job to the newest configuration. */
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
   * Schedules a write of the progress of a job.
   *
   * @param job - the job
   * @param order - whether a successor must know it soon, and whether before changes of other jobs
   */
  saveProgress(job: OwnedJob, order: ProgressOrder = {}): void {
    this.addProgress(job, order);
  }

  /**
   * Stores the progress of a job of this share, before changes of other jobs that wait to be stored.
   *
   * @param job - the job
   * @returns true once it and all earlier changes of the job are stored; false if the job is over or the term
   *   ended first
   */
  storeProgress(job: OwnedJob): Promise<boolean> {
    const sequence = this.addProgress(job, { isUrgent: true, overtakes: true });
    if (sequence === undefined) return Promise.resolve(false);
    return this.journal.waitUntilStored(sequence, job.id);
  }

  private progressKeyOf({ id }: OwnedJob): string {
    return this.keys.progressPrefix + id;
  }

  /** Returns the sequence number of the change; undefined if the journal gets none. */
  private addProgress(job: OwnedJob, order: ProgressOrder): number | undefined {
    if (!job.isOpen) return undefined;
    if (job.isGuest) {
      this.onGuestProgress(job);
      return undefined;
    }
    return this.journal.add({
      key: this.progressKeyOf(job),
      series: job.id,
      ...order,
      value: () => encodeProgress(job, this.fencingToken, this.clock),
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
    const change = { key, series: job.id, isUrgent: true, value: () => final };
    this.removeOwn(job, this.journal.add(change));
  }

  /**
   * Removes a cancelled job.
   *
   * @param job - the job
   */
  removeCancelled(job: OwnedJob): void {
    if (job.isGuest) this.removeGuest(job);
    else this.removeOwn(job, 0);
  }

  /**
   * Removes stored progress only after the final state is stored. Otherwise a successor could find
   * neither and start the job from the beginning.
   */
  private removeOwn(job: OwnedJob, sequence: number): void {
    this.jobs.delete(job.id);
    this.endedIds.add(job.id);
    const removeProgress = (stored: boolean): void => {
      if (!stored) return;
      this.journal.add({ key: this.progressKeyOf(job), series: job.id });
      this.onEndStored(job);
    };
    this.journal.waitUntilStored(sequence).then(removeProgress, (error: unknown) => {
      this.log.error('Cannot remove the progress of a job', {
        jobId: job.id,
        reason: String(error),
      });
    });
  }

  /**
   * Removes an ended job from the store once its state need not be kept for callers any longer.
   *
   * @param jobId - the job
   */
  purge(jobId: string): void {
    this.log.info('Removing a job that has ended', { jobId });
    [ACCEPTED_PREFIX, CANCELLED_PREFIX, ENDED_PREFIX, this.keys.progressPrefix].forEach((prefix) =>
      this.journal.add({ key: prefix + jobId, series: jobId }),
    );
  }
}
