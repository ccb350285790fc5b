/**
 * What an entry tells operators of itself and of the site.
 */

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
}

/** A share as an entry sees it. */
export interface ShareStatus {
  readonly share: string;
  /** Entry that owns it by the last news. */
  readonly owner: string | undefined;
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
