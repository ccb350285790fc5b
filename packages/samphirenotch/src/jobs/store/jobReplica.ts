/**
 * An entry's read-only copy of the jobs of the site, maintained through its watch on the store.
 */
import type { KeyValue } from '../../infrastructure/keyValueStore.js';
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import { decodeAccepted } from '../model/acceptedJob.js';
import type { AcceptedJob, JobState } from '../model/jobSpec.js';
import {
  ACCEPTED_PREFIX,
  CANCELLED_PREFIX,
  ENDED_PREFIX,
  LAYOUT_KEY,
  PROCESSES_PREFIX,
  SERIAL_KEY,
  SHARES_PREFIX,
} from './jobKeys.js';
import { OpenTaskCounter } from './openTaskCounter.js';
import { ProcessDirectory } from './processDirectory.js';
import { RevisionHistory } from './revisionHistory.js';
import { ShareDirectory, type OwnerRecord } from './shareDirectory.js';
import { applyItem, type StoreListener } from './storeFollower.js';

/** An accepted job with the store revision of its acceptance. */
export interface ReplicatedJob {
  readonly accepted: AcceptedJob;
  readonly revision: number;
}

/** Receives the changes that the owner of a share acts on. */
export interface ReplicaListener {
  /** Id of the share. */
  readonly share: string;
  /** Called for each accepted job whose home is the share. */
  onAccepted(job: ReplicatedJob): void;
  /**
   * Called for each cancelled job of the site.
   *
   * @param jobId - the job
   * @param requestedAtMs - wall clock of the entry that received the request, in Unix milliseconds
   */
  onCancelled(jobId: string, requestedAtMs: number): void;
  /** Called when the owner of the share has changed; undefined while there is none. */
  onOwner(owner: OwnerRecord | undefined): void;
}

const FINAL_STATES: ReadonlySet<string> = new Set(['completed', 'failed']);

/** Holds accepted, cancelled and ended jobs. */
export class JobReplica implements StoreListener {
  readonly shares = new ShareDirectory();

  readonly processes = new ProcessDirectory();

  /** When this entry saw which revision of the store. */
  readonly history: RevisionHistory;

  private readonly log = partLog('replica');

  private jobs = new Map<string, ReplicatedJob>();

  private readonly openTaskCounter = new OpenTaskCounter();

  private lastSerialRevision = 0;

  private cancelled = new Set<string>();

  private ended = new Map<string, JobState>();

  private syncedRevision = 0;

  /** Owners in this process, by id of the share. */
  private readonly listeners = new Map<string, ReplicaListener>();

  private caughtUpCallback: (() => void) | undefined;

  /**
   * @param clock - time
   */
  constructor(clock: Clock) {
    this.history = new RevisionHistory(clock);
  }

  /** @returns the revision up to which the replica is complete */
  revision(): number {
    return this.syncedRevision;
  }

  /** @returns all accepted jobs that have not ended */
  openJobs(): readonly ReplicatedJob[] {
    return [...this.jobs.values()].filter(({ accepted }) => !this.ended.has(accepted.id));
  }

  /**
   * Lists accepted jobs that have ended or are cancelled.
   *
   * @param share - id of their home
   * @returns their ids
   */
  terminalJobIds(share: string): readonly string[] {
    return [...this.jobs.values()]
      .filter(({ accepted }) => this.isTerminal(accepted.id))
      .filter((job) => this.homeOf(job) === share)
      .map(({ accepted }) => accepted.id);
  }

  /**
   * Lists the cancellations of jobs that are not stored. Each belongs to one share, as if that were
   * the home of the job.
   *
   * @param share - id of the share
   * @returns ids of the jobs
   */
  unmatchedCancellations(share: string): readonly string[] {
    return [...this.cancelled].filter(
      (id) => !this.jobs.has(id) && this.shares.layout?.homeOf('', id).id === share,
    );
  }

  /**
   * Finds the home of a job: the share that decides about it.
   *
   * @param job - the job
   * @returns id of the share
   */
  homeOf({ accepted }: ReplicatedJob): string {
    return this.shares.layout?.homeOf(accepted.home, accepted.id).id ?? accepted.home;
  }

  /**
   * Counts the tasks that the owners of all open jobs of a kind hold.
   *
   * @param isLarge - true for large jobs, false for the others
   * @returns their number
   */
  openTasks(isLarge: boolean): number {
    return this.openTaskCounter.total(isLarge);
  }

  /**
   * Counts the tasks that the owner of a share holds for its open jobs of a kind.
   *
   * @param share - id of the share
   * @param isLarge - true for large jobs, false for the others
   * @returns their number
   */
  openTasksOf(share: string, isLarge: boolean): number {
    return [...this.jobs.values()]
      .filter((job) => this.homeOf(job) === share)
      .reduce((sum, { accepted }) => sum + this.openTaskCounter.of(accepted.id, isLarge), 0);
  }

  /** @returns store revision of the last acceptance that was stored after all others; 0 if there was none */
  get serialRevision(): number {
    return this.lastSerialRevision;
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
   * Checks whether a job was cancelled.
   *
   * @param jobId - the job
   * @returns true once a cancellation was stored
   */
  isCancelled(jobId: string): boolean {
    return this.cancelled.has(jobId);
  }

  /**
   * Checks whether a job has ended or was cancelled.
   *
   * @param jobId - the job
   * @returns true once that was stored
   */
  isTerminal(jobId: string): boolean {
    return this.ended.has(jobId) || this.cancelled.has(jobId);
  }

  /**
   * Returns the state of a job.
   *
   * @param jobId - the job
   * @returns its state, or undefined if the job is not known
   */
  stateOf(jobId: string): JobState | undefined {
    const final = this.ended.get(jobId);
    if (final) return final;
    const job = this.jobs.get(jobId);
    if (!job) return undefined;
    if (this.cancelled.has(jobId)) return 'cancelled';
    return this.isWaiting(job) ? 'queued' : 'running';
  }

  /**
   * Counts the open jobs of a queue of which no task has started.
   *
   * @param queue - name of the queue
   * @returns number of waiting jobs
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
   * Registers the owner of a share in this process for changes of the share's jobs.
   *
   * @param listener - the owner
   * @returns function that removes the registration
   */
  listen(listener: ReplicaListener): () => void {
    this.listeners.set(listener.share, listener);
    return () => {
      if (this.listeners.get(listener.share) === listener) this.listeners.delete(listener.share);
    };
  }

  /**
   * Sets a callback for each time that the replica has caught up with the store.
   *
   * @param callback - the callback
   */
  whenCaughtUp(callback: () => void): void {
    this.caughtUpCallback = callback;
  }

  onListing(items: readonly KeyValue[]): void {
    this.jobs = new Map();
    this.cancelled = new Set();
    this.ended = new Map();
    this.openTaskCounter.clear();
    this.lastSerialRevision = 0;
    this.shares.clearOwners();
    this.processes.clear();
    // Ends and cancellations are applied before jobs, so that an ended job is not taken for a new
    // one.
    const isAccepted = ({ key }: KeyValue): boolean => key.startsWith(ACCEPTED_PREFIX);
    const others = items.filter((item) => !isAccepted(item));
    // The layout comes first, because it determines the homes of jobs.
    this.shares.applyLayout(items.find(({ key }) => key === LAYOUT_KEY)?.value);
    [...others, ...items.filter(isAccepted)].forEach(({ key, value, revision }) =>
      applyItem(key, () => this.onChange(key, value, revision)),
    );
    this.listeners.forEach((listener, share) => {
      if (!this.shares.owner(share)) listener.onOwner(undefined);
    });
  }

  onChange(key: string, value: string | undefined, revision: number): void {
    if (key === LAYOUT_KEY) {
      this.shares.applyLayout(value);
      return;
    }
    if (key.startsWith(SHARES_PREFIX)) {
      const share = this.shares.applyShareKey(key, value, revision);
      if (share !== undefined) this.listeners.get(share)?.onOwner(this.shares.owner(share));
      return;
    }
    if (key === SERIAL_KEY) this.lastSerialRevision = value === undefined ? 0 : revision;
    if (key.startsWith(PROCESSES_PREFIX)) this.processes.apply(key, value, revision);
    if (key.startsWith(ACCEPTED_PREFIX)) this.onAcceptedKey(key, value, revision);
    if (key.startsWith(CANCELLED_PREFIX)) {
      const id = key.slice(CANCELLED_PREFIX.length);
      if (value === undefined) {
        this.cancelled.delete(id);
        return;
      }
      this.cancelled.add(id);
      this.openTaskCounter.remove(id);
      this.listeners.forEach((listener) => listener.onCancelled(id, Number(value)));
    }
    if (key.startsWith(ENDED_PREFIX)) {
      const id = key.slice(ENDED_PREFIX.length);
      if (value !== undefined && FINAL_STATES.has(value)) {
        this.ended.set(id, value as JobState);
        this.openTaskCounter.remove(id);
      }
      if (value === undefined) this.ended.delete(id);
    }
  }

  onCaughtUp(revision: number, askedMs: number): void {
    this.syncedRevision = revision;
    this.history.add(revision, askedMs);
    this.caughtUpCallback?.();
  }

  /** A job accepted after its home last published its waiting jobs counts as waiting. */
  private isWaiting(job: ReplicatedJob): boolean {
    const waiting = this.shares.waitingJobsOf(this.homeOf(job));
    return job.revision > waiting.revision || waiting.ids.has(job.accepted.id);
  }

  private onAcceptedKey(key: string, value: string | undefined, revision: number): void {
    const id = key.slice(ACCEPTED_PREFIX.length);
    if (value === undefined) {
      this.jobs.delete(id);
      this.openTaskCounter.remove(id);
      return;
    }
    try {
      const job = { accepted: decodeAccepted(value), revision };
      this.jobs.set(id, job);
      if (this.isTerminal(id)) return;
      this.openTaskCounter.add(id, job.accepted.job);
      this.listeners.get(this.homeOf(job))?.onAccepted(job);
    } catch (error) {
      this.log.error('An accepted job cannot be read', { jobId: id, reason: String(error) });
    }
  }
}
