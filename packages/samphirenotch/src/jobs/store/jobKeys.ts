/**
 * Keys of jobs in the store. Keys that every entry watches share one prefix, so that one watch is
 * enough; keys that only owners need have other prefixes.
 */

/** Prefix that every entry watches. */
export const SHARED_PREFIX = 'jobs/';

/** Layout of the shares. */
export const LAYOUT_KEY = `${SHARED_PREFIX}layout`;

/** Owner, waiting jobs and claim of each share. */
export const SHARES_PREFIX = `${SHARED_PREFIX}shares/`;

/** Accepted jobs. */
export const ACCEPTED_PREFIX = `${SHARED_PREFIX}accepted/`;

/** Written with each acceptance that must know all earlier ones of its kind: the id of the job. */
export const SERIAL_KEY = `${SHARED_PREFIX}serial`;

/** Cancellations requested by callers. */
export const CANCELLED_PREFIX = `${SHARED_PREFIX}cancelled/`;

/** The newest process of each machine on which an owner has run. */
export const PROCESSES_PREFIX = `${SHARED_PREFIX}processes/`;

/** Final states of jobs. */
export const ENDED_PREFIX = `${SHARED_PREFIX}ended/`;

/** Capacity of each share. */
export const ROOMS_PREFIX = 'rooms/';

/** Delegations and reports that owners of shares send to each other. */
export const EXCHANGE_PREFIX = 'exchange/';

const DELEGATED = 'delegated/';
const REPORTED = 'reported/';

const PROGRESS = 'progress/';

const OWNER = '/owner';
const WAITING = '/waiting';
const CLAIM = '/claim';

/** Keys of one share. */
export interface ShareKeys {
  /** Lease of the owner; its revision at acquisition is the owner's fencing token. */
  readonly owner: string;
  /**
   * Claim by an entry in the share's data centre, for an owner in another data centre to hand it
   * over.
   */
  readonly claim: string;
  /** Jobs of which no task has started yet, written by the owner. */
  readonly waiting: string;
  /** Capacity and demand, written by the owner. */
  readonly room: string;
  /**
   * Written with every change of progress, to order the owner's writes and to fence former owners.
   */
  readonly journal: string;
  /**
   * Written with the first write of the journal, so that entries see in their watch that it exists.
   */
  readonly opened: string;
  /** Workers that may have runs started by the owner. */
  readonly roster: string;
  /** How long workers that do not answer the owner can hold their leases. */
  readonly leases: string;
  /** Runs that may crash their workers. */
  readonly watchedRuns: string;
  /** Prefix of the detailed progress of jobs, read by the owner only. */
  readonly progressPrefix: string;
  /** Prefix of delegations of its jobs that are not fully reported, by job and name. */
  readonly openDelegationsPrefix: string;
  /** Prefix of all keys that only the owner reads. */
  readonly ownerPrefix: string;
  /** Prefix of what other shares send to the owner. */
  readonly inboxPrefix: string;
  /** Prefix of delegations to the share, by job and name. */
  readonly receivedDelegationsPrefix: string;
  /** Prefix of reports on its delegations, by job and name. */
  readonly receivedReportsPrefix: string;
}

/**
 * Builds the keys of a share.
 *
 * @param share - id of the share
 * @returns its keys
 */
export const keysOfShare = (share: string): ShareKeys => {
  const ownerPrefix = `${PROGRESS}${share}/`;
  const inboxPrefix = `${EXCHANGE_PREFIX}${share}/`;
  return {
    owner: SHARES_PREFIX + share + OWNER,
    claim: SHARES_PREFIX + share + CLAIM,
    waiting: SHARES_PREFIX + share + WAITING,
    room: ROOMS_PREFIX + share,
    journal: `${ownerPrefix}journal`,
    opened: `${SHARES_PREFIX}${share}/opened`,
    roster: `${ownerPrefix}roster`,
    leases: `${ownerPrefix}leases`,
    watchedRuns: `${ownerPrefix}watched-runs`,
    progressPrefix: `${ownerPrefix}job/`,
    openDelegationsPrefix: `${ownerPrefix}away/`,
    ownerPrefix,
    inboxPrefix,
    receivedDelegationsPrefix: inboxPrefix + DELEGATED,
    receivedReportsPrefix: inboxPrefix + REPORTED,
  };
};

/**
 * Distinguishes delegations from the other keys under `EXCHANGE_PREFIX`.
 *
 * @param key - the key
 * @returns true if the key holds a delegation to a share
 */
export const isDelegationKey = (key: string): boolean =>
  key.slice(EXCHANGE_PREFIX.length).split('/')[1] === DELEGATED.slice(0, -1);

/** A parsed key of a share that entries watch. */
export interface ParsedShareKey {
  readonly share: string;
  readonly kind: 'owner' | 'waiting' | 'claim';
}

/**
 * Parses a key under `SHARES_PREFIX`.
 *
 * @param key - the key
 * @returns the share and what the key holds; undefined for a key of another kind
 */
export const parseShareKey = (key: string): ParsedShareKey | undefined => {
  const rest = key.slice(SHARES_PREFIX.length);
  if (rest.endsWith(OWNER)) return { share: rest.slice(0, -OWNER.length), kind: 'owner' };
  if (rest.endsWith(WAITING)) return { share: rest.slice(0, -WAITING.length), kind: 'waiting' };
  if (rest.endsWith(CLAIM)) return { share: rest.slice(0, -CLAIM.length), kind: 'claim' };
  return undefined;
};
