/**
 * Keys of jobs in the store. Everything that each entry follows lies under one prefix, so that one
 * watch carries it; what only owners need lies apart.
 */

/** Prefix that every entry follows. */
export const SHARED_PREFIX = 'jobs/';

/** The shares of the site. */
export const LAYOUT_KEY = `${SHARED_PREFIX}layout`;

/** What is known of each share. */
export const SHARES_PREFIX = `${SHARED_PREFIX}shares/`;

/** Accepted jobs. */
export const ACCEPTED_PREFIX = `${SHARED_PREFIX}accepted/`;

/** Cancellations asked for by callers. */
export const CANCELLED_PREFIX = `${SHARED_PREFIX}cancelled/`;

/** Final states. */
export const ENDED_PREFIX = `${SHARED_PREFIX}ended/`;

/** Room of each share. */
export const ROOMS_PREFIX = 'rooms/';

/** What owners of shares tell each other about delegated tasks. */
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
  /** Entry of the share's own data centre that asks an owner elsewhere for it. */
  readonly claim: string;
  /** Jobs that no task was started of yet, kept by the owner. */
  readonly waiting: string;
  /** What room there is, kept by the owner. */
  readonly room: string;
  /** Written with every change of progress: orders the owner's writes and ends those of former owners. */
  readonly journal: string;
  /** Written together with the journal's first entry, so that the watch of all shows that it is there. */
  readonly opened: string;
  /** Workers that may run something on the owner's orders. */
  readonly roster: string;
  /** Progress of jobs in detail, for the owner alone. */
  readonly progressPrefix: string;
  /** Delegations of its jobs that are not answered, by job and name. */
  readonly openDelegationsPrefix: string;
  /** Prefix of all that the owner alone reads. */
  readonly ownerPrefix: string;
  /** Prefix of what other shares tell the owner. */
  readonly inboxPrefix: string;
  /** Delegations to the share, by job and name. */
  readonly receivedDelegationsPrefix: string;
  /** Answers to its delegations, by job and name. */
  readonly receivedReportsPrefix: string;
}

/**
 * Names the keys of a share.
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
    progressPrefix: `${ownerPrefix}job/`,
    openDelegationsPrefix: `${ownerPrefix}away/`,
    ownerPrefix,
    inboxPrefix,
    receivedDelegationsPrefix: inboxPrefix + DELEGATED,
    receivedReportsPrefix: inboxPrefix + REPORTED,
  };
};

/**
 * Tells delegations from the other keys under `EXCHANGE_PREFIX`.
 *
 * @param key - the key
 * @returns true if it holds a delegation to a share
 */
export const isDelegationKey = (key: string): boolean =>
  key.slice(EXCHANGE_PREFIX.length).split('/')[1] === DELEGATED.slice(0, -1);

/** A key of a share that entries follow. */
export interface ParsedShareKey {
  readonly share: string;
  readonly kind: 'owner' | 'waiting' | 'claim';
}

/**
 * Reads a key under `SHARES_PREFIX`.
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
