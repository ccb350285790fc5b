/**
 * What an entry tells operators of itself and of the site.
 */

import type { JobExplanation } from '../placement/jobExplanation.js';

/** A worker as its owner sees it. */
export interface WorkerStatus {
  /** Id of its share. */
  readonly share: string;
  readonly worker: string;
  readonly dataCentre: string;
  readonly phase: string;
  readonly takesWork: boolean;
  readonly answers: boolean;
  readonly runs: number;
  readonly freeMilliCores: number;
  readonly freeMemoryMb: number;
}

/** The term of an owner. */
export interface TermStatus {
  /** Id of the share that is owned. */
  readonly share: string;
  readonly fencingToken: number;
  /** Whether workers of a former owner may still run what is not known. */
  readonly waitsForFormerOwner: boolean;
  /** Whether no other owner can exist now. */
  readonly isCertain: boolean;
  readonly ownedForMs: number;
  /** How many delegations of its tasks other shares have. */
  readonly delegationsAway: number;
  /** How many delegations it has of tasks of other shares. */
  readonly delegationsTaken: number;
}

/** A delegation, as the home of the job sees it. */
export interface DelegationStatus {
  readonly delegation: string;
  /** Id of the share that has the tasks. */
  readonly to: string;
  readonly occurrence: number;
  readonly step: number;
  /** Tasks that were not answered for yet. */
  readonly tasks: number;
}

/** A job, or a part of it, and where else it is. */
export interface ShareJobExplanation extends JobExplanation {
  /** Id of the share whose owner explains. */
  readonly share: string;
  /** Id of the share that decides about the job. */
  readonly home: string;
  readonly delegations: readonly DelegationStatus[];
}

/** A share as an entry sees it. */
export interface ShareStatus {
  readonly share: string;
  /** Entry that owns it by the last news. */
  readonly owner: string | undefined;
  readonly ownerDataCentre: string | undefined;
  /** What the owner's VM has of a core of the usual speed. */
  readonly ownerProcessorShare: number | undefined;
  /** The owner's token: the higher one was elected later. */
  readonly fencingToken: number | undefined;
  readonly capacityMilliCores: number;
  readonly unusedMilliCores: number;
  /** What tasks ask for that wait for room. */
  readonly waitingMilliCores: number;
  readonly jobsOpen: number;
}

/** An entry. */
export interface EntryStatus {
  readonly entry: string;
  readonly isReady: boolean;
  readonly shares: readonly ShareStatus[];
  /** How old the room of shares is, in milliseconds; undefined until it was read. */
  readonly roomAgeMs: number | undefined;
  readonly configurationVersion: number | undefined;
  readonly evacuatedDataCentres: readonly string[];
  /** How old the view of jobs may be, in milliseconds; undefined before there is one. */
  readonly storeAgeMs: number | undefined;
  /** Time since the store last told of jobs, in milliseconds, 0 unless calls fail; undefined before. */
  readonly storeSilentMs: number | undefined;
  readonly jobsOpen: number;
  readonly queues: readonly { readonly queue: string; readonly waiting: number | undefined }[];
  /** What this entry owns. */
  readonly terms: readonly TermStatus[];
  /** Workers of what this entry owns. */
  readonly workers: readonly WorkerStatus[];
}
