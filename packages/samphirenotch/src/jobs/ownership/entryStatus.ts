/**
 * Status that an entry shows to operators, about itself and the site.
 */

import type { JobExplanation } from '../placement/jobExplanation.js';

/** State of a worker, as the owner of its share sees it. */
export interface WorkerStatus {
  /** Id of the worker's share. */
  readonly share: string;
  readonly worker: string;
  readonly dataCentre: string;
  readonly phase: string;
  /** Whether new runs may be started on it. */
  readonly takesWork: boolean;
  /** Whether it answers calls. */
  readonly answers: boolean;
  /** Number of its active runs. */
  readonly runs: number;
  readonly freeMilliCores: number;
  readonly freeMemoryMb: number;
}

/** State of an owner's term. */
export interface TermStatus {
  /** Id of the share that is owned. */
  readonly share: string;
  readonly fencingToken: number;
  /** Whether workers of a former owner may still have runs that this owner does not know. */
  readonly waitsForFormerOwner: boolean;
  /** Whether the lease is certain, so that no other owner can exist now. */
  readonly isCertain: boolean;
  /** Time since the term began, in milliseconds. */
  readonly ownedForMs: number;
  /** Number of open delegations of its tasks to other shares. */
  readonly delegationsAway: number;
  /** Number of delegations that it has accepted from other shares. */
  readonly delegationsTaken: number;
}

/** An open delegation, as the home of the job sees it. */
export interface DelegationStatus {
  /** Name of the delegation. */
  readonly delegation: string;
  /** Id of the share that has the tasks. */
  readonly to: string;
  /** Number of the occurrence of a repeating job. */
  readonly occurrence: number;
  /** Index of the step. */
  readonly step: number;
  /** Number of tasks whose outcome was not reported yet. */
  readonly tasks: number;
}

/** Explanation of a job, or of a delegated part of it, by the owner of one share. */
export interface ShareJobExplanation extends JobExplanation {
  /** Id of the share whose owner gives the explanation. */
  readonly share: string;
  /** Id of the share that decides about the job. */
  readonly home: string;
  /** Delegations of its tasks to other shares. */
  readonly delegations: readonly DelegationStatus[];
}

/** State of a share, as an entry sees it. */
export interface ShareStatus {
  readonly share: string;
  /** Name of the entry that owns it, as last read; undefined if none does. */
  readonly owner: string | undefined;
  readonly ownerDataCentre: string | undefined;
  /** CPU of the owner's VM, as a fraction of a core of usual speed. */
  readonly ownerProcessorShare: number | undefined;
  /** The owner's fencing token; the owner with the higher token was elected later. */
  readonly fencingToken: number | undefined;
  readonly capacityMilliCores: number;
  readonly unusedMilliCores: number;
  /** Sum of the sizes of the tasks that wait for room. */
  readonly waitingMilliCores: number;
  readonly jobsOpen: number;
}

/** State of an entry. */
export interface EntryStatus {
  readonly entry: string;
  readonly isReady: boolean;
  readonly shares: readonly ShareStatus[];
  /** Age of the known room of shares, in milliseconds; undefined until it was read. */
  readonly roomAgeMs: number | undefined;
  readonly configurationVersion: number | undefined;
  readonly evacuatedDataCentres: readonly string[];
  /** Upper bound of the age of the view of jobs, in ms; undefined before there is a view. */
  readonly storeAgeMs: number | undefined;
  /**
   * Time since the store last answered about jobs, in milliseconds; 0 unless calls fail, undefined
   * before the first answer.
   */
  readonly storeSilentMs: number | undefined;
  readonly jobsOpen: number;
  readonly queues: readonly { readonly queue: string; readonly waiting: number | undefined }[];
  /** Terms of the shares that this entry owns. */
  readonly terms: readonly TermStatus[];
  /** Workers of the shares that this entry owns. */
  readonly workers: readonly WorkerStatus[];
}
