/**
 * The jobs of the site as an entry sees them through its watch.
 */
import type { KeyValue } from '../infrastructure/keyValueStore.js';
import { partLog } from '../observability/log.js';

import { decodeAccepted } from './acceptedJob.js';
import {
  ACCEPTED_PREFIX,
  CANCELLED_PREFIX,
  ENDED_PREFIX,
  OWNER_KEY,
  WAITING_KEY,
} from './jobKeys.js';
import type { AcceptedJob, JobState } from './jobSpec.js';
import type { StoreListener } from './storeFollower.js';

/** An accepted job with the revision of its acceptance. */
export interface ReplicatedJob {
  readonly accepted: AcceptedJob;
  readonly revision: number;
}

/** Who owns the jobs. */
export interface OwnerRecord {
  readonly entry: string;
  /** Names the process, so that a restarted entry knows a lease of its former life. */
  readonly process: string;
  /** What its VM has of a core of the usual speed. */
  readonly processorShare: number;
  readonly revision: number;
}

/** Hears of changes that the owner of jobs acts on. */
export interface ReplicaListener {
  onAccepted(job: ReplicatedJob): void;
  /**
   * @param jobId - the job
   * @param requestedAtMs - wall clock of the entry that took the cancellation, in Unix milliseconds
   */
  onCancelled(jobId: string, requestedAtMs: number): void;
  onOwner(owner: OwnerRecord | undefined): void;
}

interface Waiting {
  readonly revision: number;
  readonly ids: ReadonlySet<string>;
}

const FINAL_STATES: ReadonlySet<string> = new Set(['completed', 'failed']);

/** Holds accepted, cancelled and ended jobs, the owner, and which jobs wait. */
export class JobReplica implements StoreListener {
  private readonly log = partLog('replica');

  private jobs = new Map<string, ReplicatedJob>();

  private cancelled = new Set<string>();

  private ended = new Map<string, JobState>();

  private waiting: Waiting = { revision: 0, ids: new Set() };

  private ownerRecord: OwnerRecord | undefined;

  private largestShare = 0;

  private caughtUpTo = 0;

  private listener: ReplicaListener | undefined;

  private onProgress: (() => void) | undefined;

  /** @returns the owner's record, or undefined while there is none */
  owner(): OwnerRecord | undefined {
    return this.ownerRecord;
  }

  /** @returns the largest share of a core that an owner had so far; 0 before the first one */
  largestOwnerShare(): number {
    return this.largestShare;
  }

  /** @returns the revision up to which the replica is complete */
  revision(): number {
    return this.caughtUpTo;
  }

  /** @returns all accepted jobs that have not ended */
  openJobs(): readonly ReplicatedJob[] {
    return [...this.jobs.values()].filter(({ accepted }) => !this.ended.has(accepted.id));
  }

  /** @returns ids of accepted jobs that have ended or are cancelled */
  overJobIds(): readonly string[] {
    return [...this.jobs.keys()].filter((id) => this.ended.has(id) || this.cancelled.has(id));
  }

  /**
   * Looks up a job.
   *
   * @param jobId - the job
   * @returns the job, or undefined if the replica does not know it
   */
  find(jobId: string): ReplicatedJob | undefined {
    return this.jobs.get(jobId);
  }

  /**
   * Tells whether a job was cancelled.
   *
   * @param jobId - the job
   * @returns true once a cancellation was stored
   */
  isCancelled(jobId: string): boolean {
    return this.cancelled.has(jobId);
  }

  /**
   * Tells the state of a job that the replica knows.
   *
   * @param jobId - the job
   * @returns its state, or undefined if the job is not known
   */
  stateOf(jobId: string): JobState | undefined {
    const final = this.ended.get(jobId);
    if (final) return final;
    if (this.cancelled.has(jobId)) return 'cancelled';
    const job = this.jobs.get(jobId);
    if (!job) return undefined;
    return this.isWaiting(job) ? 'queued' : 'running';
  }

  /**
   * Counts the jobs of a queue that no task was started of.
   *
   * @param queue - name of the queue
   * @returns how many wait
   */
  countWaiting(queue: string): number {
    return this.openJobs().filter(
      (job) =>
        job.accepted.queue.name === queue &&
        !this.cancelled.has(job.accepted.id) &&
        this.isWaiting(job),
    ).length;
  }

  /**
   * Sends changes of jobs to a listener.
   *
   * @param listener - the listener; undefined for none
   */
  listen(listener: ReplicaListener | undefined): void {
    this.listener = listener;
  }

  /**
   * Calls a function whenever the replica has caught up.
   *
   * @param callback - the function
   */
  whenCaughtUp(callback: () => void): void {
    this.onProgress = callback;
  }

  onListing(items: readonly KeyValue[]): void {
    this.jobs = new Map();
    this.cancelled = new Set();
    this.ended = new Map();
    this.ownerRecord = undefined;
    // A job whose end is listed too must not be taken for a new one.
    const isAccepted = ({ key }: KeyValue): boolean => key.startsWith(ACCEPTED_PREFIX);
    const others = items.filter((item) => !isAccepted(item));
    [...others, ...items.filter(isAccepted)].forEach(({ key, value, revision }) =>
      this.onChange(key, value, revision),
    );
    if (!this.ownerRecord) this.listener?.onOwner(undefined);
  }

  onChange(key: string, value: string | undefined, revision: number): void {
    if (key === OWNER_KEY) {
      this.ownerRecord = this.readOwner(value, revision);
      this.listener?.onOwner(this.ownerRecord);
      return;
    }
    if (key === WAITING_KEY) {
      if (value !== undefined) this.waiting = this.readWaiting(value);
      return;
    }
    if (key.startsWith(ACCEPTED_PREFIX)) this.onJob(key, value, revision);
    if (key.startsWith(CANCELLED_PREFIX)) {
      const id = key.slice(CANCELLED_PREFIX.length);
      if (value === undefined) {
        this.cancelled.delete(id);
        return;
      }
      this.cancelled.add(id);
      this.listener?.onCancelled(id, Number(value));
    }
    if (key.startsWith(ENDED_PREFIX)) {
      const id = key.slice(ENDED_PREFIX.length);
      if (value !== undefined && FINAL_STATES.has(value)) this.ended.set(id, value as JobState);
      if (value === undefined) this.ended.delete(id);
    }
  }

  onCaughtUp(revision: number): void {
    this.caughtUpTo = revision;
    this.onProgress?.();
  }

  /** Jobs accepted after the owner's last summary are waiting as far as anybody knows. */
  private isWaiting({ accepted, revision }: ReplicatedJob): boolean {
    return revision > this.waiting.revision || this.waiting.ids.has(accepted.id);
  }

  private onJob(key: string, value: string | undefined, revision: number): void {
    const id = key.slice(ACCEPTED_PREFIX.length);
    if (value === undefined) {
      this.jobs.delete(id);
      return;
    }
    try {
      const job = { accepted: decodeAccepted(value), revision };
      this.jobs.set(id, job);
      if (!this.ended.has(id) && !this.cancelled.has(id)) this.listener?.onAccepted(job);
    } catch (error) {
      this.log.error('An accepted job cannot be read', { jobId: id, reason: String(error) });
    }
  }

  private readOwner(value: string | undefined, revision: number): OwnerRecord | undefined {
    if (value === undefined) return undefined;
    const [entry = '', process = '', share = '0'] = value.split(' ');
    const processorShare = Number(share);
    this.largestShare = Math.max(this.largestShare, processorShare);
    return { entry, process, processorShare, revision };
  }

  private readWaiting(value: string): Waiting {
    const [revision = '0', ...ids] = value.split(' ');
    return { revision: Number(revision), ids: new Set(ids.filter((id) => id !== '')) };
  }
}
