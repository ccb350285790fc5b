/**
 * What an entry tells operators of itself and of the site.
 */

/** A worker as the owner sees it. */
export interface WorkerStatus {
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
  readonly fencingToken: number;
  /** Whether workers of a former owner may still run what is not known. */
  readonly waitsForFormerOwner: boolean;
  /** Whether no other owner can exist now. */
  readonly isCertain: boolean;
  readonly workers: readonly WorkerStatus[];
}

/** An entry. */
export interface EntryStatus {
  readonly entry: string;
  readonly isReady: boolean;
  /** Entry that owns jobs and workers by the last news. */
  readonly owner: string | undefined;
  readonly configurationVersion: number | undefined;
  readonly evacuatedDataCentres: readonly string[];
  /** How old the view of jobs may be, in milliseconds; undefined before there is one. */
  readonly storeAgeMs: number | undefined;
  /** Time since the store last told of jobs, in milliseconds, 0 unless calls fail; undefined before. */
  readonly storeSilentMs: number | undefined;
  readonly jobsOpen: number;
  readonly queues: readonly { readonly queue: string; readonly waiting: number | undefined }[];
  /** Only at the owner. */
  readonly term?: TermStatus;
}
