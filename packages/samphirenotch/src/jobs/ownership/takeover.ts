/**
 * The takeover of a share by a new owner: fences off the writes of former owners and reads their
 * state.
 */
import { z } from 'zod';

import type { KeyValue } from '../../infrastructure/keyValueStore.js';
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import { decodeProgress, type JobProgress } from '../model/jobProgress.js';
import { decodeWatchedRuns, NO_WATCHED_RUNS, type WatchedRunRecord } from '../model/watchedRuns.js';
import { EXCHANGE_PREFIX, keysOfShare, type ShareKeys } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import { encodeProcess, processKeyOf } from '../store/processDirectory.js';
import { ProgressJournal } from '../store/progressJournal.js';
import type { Term } from '../store/term.js';
import type { LeaseEnd, LeaseEnds, LeaseLeft, LeaseRecord } from '../workers/leaseCountdown.js';
import type { FormerOwner } from '../workers/formerLeases.js';
import type { FormerWorkers, RosterEntry } from '../workers/workerFleet.js';

/**
 * How many run numbers each term reserves; more than any task is started within one term. Fencing
 * tokens increase across all shares, so the run numbers of a task that moves between shares
 * increase as well.
 */
const RUN_NUMBERS_PER_TERM = 1_000;

/** Timeout of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 1_200;

/** Wait before a failed call is repeated, in milliseconds. */
const RETRY_MS = 100;

/** Interval at which the revision of the replica is polled, in milliseconds. */
const REPLICA_POLL_MS = 5;

/** Longest reason in a log line, in characters. */
const LONGEST_REASON = 200;

const ROSTER = z.array(
  z.object({
    id: z.string(),
    address: z.string(),
    service: z.string(),
    dataCentre: z.string(),
    draining: z.boolean(),
    // Rosters of older versions lack these.
    drainsLaterThan: z.number().optional(),
    remainingMs: z.number().nonnegative().optional(),
    calledSinceTerm: z.number().optional(),
    usedSinceTerm: z.number().default(0),
    contactsNeeded: z.number().int().positive().default(1),
    bornMs: z.number().optional(),
  }),
);

const LEASES = z.array(z.object({ id: z.string(), leftMs: z.number().nonnegative() }));

const LEASE_RECORD: z.ZodType<LeaseRecord> = z.object({
  journal: z.string(),
  leases: LEASES,
  othersLeftMs: z.number().nonnegative().optional(),
  // Records of older versions lack it.
  othersLeases: LEASES.optional(),
});

/** Settings and collaborators of a takeover. */
export interface TakeoverOptions {
  /** Id of the share. */
  readonly share: string;
  /** Whether the site has other shares. */
  readonly isDivided: boolean;
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  readonly clock: Clock;
  /** Name of this process; it differs after each start. */
  readonly process: string;
  /** Monotonic time by which this process had started, in milliseconds. */
  readonly processStartedMs: number;
  /** Asks the store at once for what the replica lacks. */
  readonly refreshReplica: () => Promise<void>;
  /** Called as soon as former owners can store nothing more. */
  readonly onFenced: () => void;
}

/** State with which a term begins. */
export interface TakeoverState {
  readonly journal: ProgressJournal;
  /** Lowest run number that this term may use. */
  readonly firstRun: number;
  /** Stored progress by job id. */
  readonly progress: ReadonlyMap<string, JobProgress>;
  readonly workers: FormerWorkers;
  /** Runs that may have crashed their workers. */
  readonly watchedRuns: WatchedRunRecord;
  /** Label of the journal of the last owner; undefined if there was none. */
  readonly formerOwner: string | undefined;
  /** Delegations of the share's jobs that are not closed yet, as stored text. */
  readonly openDelegations: readonly string[];
  /** Delegations and reports that owners of all shares have exchanged, as stored text by key. */
  readonly exchange: ReadonlyMap<string, string>;
}

const log = partLog('takeover');

/** The end of the label of a journal whose owner stores places; older versions write none. */
const PLACES_MARK = / places:(\d+)$/;

/** Returns the lowest fencing token of an owner whose places still hold; undefined if none does. */
const placesSinceOf = (label: string | undefined): number | undefined => {
  const token = label === undefined ? undefined : PLACES_MARK.exec(label)?.[1];
  return token === undefined ? undefined : Number(token);
};

interface OpenedJournal {
  readonly journal: ProgressJournal;
  readonly revision: number;
  /** Label of the journal of the owner before; undefined if there was none. */
  readonly formerLabel: string | undefined;
  /** Leases that the owner before no longer extended, in the store as those that this owner does not. */
  readonly leaseEnds: LeaseEnds;
  /** Lowest fencing token of an owner whose places still hold. */
  readonly placesSince: number;
}

const NO_LEASE_ENDS: LeaseEnds = {
  leases: [],
  othersEndMs: Number.POSITIVE_INFINITY,
  othersEnds: [],
};

/**
 * Returns the leases that an owner no longer extends; none if the record is of another owner. The time left
 * counts from when this entry knows that the record had been written.
 */
const parseLeases = (
  item: KeyValue | undefined,
  label: string | undefined,
  { history }: JobReplica,
): LeaseEnds => {
  if (!item) return NO_LEASE_ENDS;
  try {
    const record = LEASE_RECORD.parse(JSON.parse(item.value));
    const { journal, leases, othersLeftMs, othersLeases = [] } = record;
    if (journal !== label) return NO_LEASE_ENDS;
    const writtenMs = history.writtenByMs(item.revision);
    const endOf = ({ id, leftMs }: LeaseLeft): LeaseEnd => ({ id, endMs: writtenMs + leftMs });
    return {
      leases: leases.map(endOf),
      othersEndMs: writtenMs + (othersLeftMs ?? Number.POSITIVE_INFINITY),
      othersEnds: othersLeases.map(endOf),
    };
  } catch (error) {
    const reason = String(error).slice(0, LONGEST_REASON);
    log.error('The leases that are counted down cannot be read', { key: item.key, reason });
    return NO_LEASE_ENDS;
  }
};

/**
 * Returns the record of leases that another owner no longer extended; undefined if there are none. This owner may
 * extend all but the named ones up to the longest of them.
 */
const encodeLeases = (
  journal: string,
  { leases, othersEndMs }: LeaseEnds,
  nowMs: number,
): string | undefined => {
  const leftMs = (endMs: number): number => Math.max(0, Math.ceil(endMs - nowMs));
  const areOthersLimited = Number.isFinite(othersEndMs);
  if (leases.length === 0 && !areOthersLimited) return undefined;
  const record: LeaseRecord = {
    journal,
    leases: leases.map(({ id, endMs }) => ({ id, leftMs: leftMs(endMs) })),
    ...(areOthersLimited && { othersLeftMs: leftMs(othersEndMs) }),
  };
  return JSON.stringify(record);
};

/** Returns the owner that wrote the label of a journal. */
const openerOf = (label: string | undefined): FormerOwner | undefined => {
  const [process = '', token = ''] = label?.split(' ') ?? [];
  return token === '' ? undefined : { process, fencingToken: Number(token) };
};

/**
 * Returns the monotonic time by which the last owner that opened the journal had lost the share, in
 * milliseconds. Owners that were elected since have ordered nothing.
 */
const lossOfOpener = (
  { share, replica, clock }: TakeoverOptions,
  opener: FormerOwner | undefined,
): number => {
  const lostAt = opener && replica.shares.lossOf(share, opener.fencingToken);
  return lostAt === undefined ? clock.monotonicMs() : replica.history.writtenByMs(lostAt);
};

/**
 * Opens the journal. The same transaction passes on the leases that the owner before counted down, so that
 * they count for the next owner even if this one stores nothing else.
 */
const openJournal = async (
  { share, store, clock, process, processStartedMs, replica }: TakeoverOptions,
  term: Term,
): Promise<OpenedJournal | undefined> => {
  const keys = keysOfShare(share);
  const name = `${process} ${term.fencingToken} `;
  let formerLabel: string | undefined;
  const call = () => callWithin(clock, CALL_TIMEOUT_MS, term.signal);
  while (!term.signal.aborted) {
    // The transaction below takes effect only if both are still what was read.
    const [known, counted] = await Promise.all([
      store.get(keys.journal, call()),
      store.get(keys.leases, call()),
    ]);
    if (known.err || counted.err) {
      await clock.sleep(RETRY_MS, term.signal);
      continue;
    }
    // A transaction whose answer was lost may have written the label of this owner.
    if (known.val && !known.val.value.startsWith(name)) formerLabel = known.val.value;
    const leaseEnds = parseLeases(counted.val, known.val?.value, replica);
    // An owner of an older version starts tasks without a change of their places.
    const placesSince = placesSinceOf(known.val?.value) ?? term.fencingToken;
    const label = `${name}places:${placesSince}`;
    const nowMs = clock.monotonicMs();
    const record = encodeLeases(label, leaseEnds, nowMs);
    const ownProcess = encodeProcess({ process, ageMs: nowMs - processStartedMs });
    const outcome = await store.commit(
      {
        expectations: [
          { key: keys.owner, revision: term.fencingToken },
          { key: keys.journal, revision: known.val?.revision ?? 0 },
          { key: keys.leases, revision: counted.val?.revision ?? 0 },
        ],
        writes: [
          { key: keys.journal, value: label },
          { key: keys.opened, value: label },
          { key: processKeyOf(process), value: ownProcess },
          ...(record === undefined ? [] : [{ key: keys.leases, value: record }]),
        ],
        removals: [],
      },
      call(),
    );
    if (outcome.ok && outcome.val.kind === 'committed') {
      const { revision } = outcome.val;
      const journal = new ProgressJournal(
        store,
        clock,
        keys.journal,
        revision,
        label,
        term.stepDown,
      );
      return { journal, revision, formerLabel, leaseEnds, placesSince };
    }
    if (outcome.ok) {
      const owner = await store.get(keys.owner, call());
      if (owner.ok && owner.val?.revision !== term.fencingToken) {
        term.stepDown('the lease has ended');
        return undefined;
      }
    }
    log.warn('The journal was not opened', {
      outcome: outcome.ok ? outcome.val.kind : outcome.val.message,
    });
    await clock.sleep(RETRY_MS, term.signal);
  }
  return undefined;
};

const readProgress = (
  items: readonly KeyValue[],
  { progressPrefix }: ShareKeys,
  placesSince: number,
  clock: Clock,
): ReadonlyMap<string, JobProgress> => {
  const progress = new Map<string, JobProgress>();
  items
    .filter(({ key }) => key.startsWith(progressPrefix))
    .forEach(({ key, value }) => {
      const jobId = key.slice(progressPrefix.length);
      try {
        progress.set(jobId, decodeProgress(value, placesSince, clock));
      } catch (error) {
        log.error('Progress cannot be read', { jobId, reason: String(error) });
      }
    });
  return progress;
};

/** Returns undefined if there is a roster that cannot be read. */
const readRoster = (
  items: readonly KeyValue[],
  { roster }: ShareKeys,
): readonly RosterEntry[] | undefined => {
  const item = items.find(({ key }) => key === roster);
  if (!item) return [];
  try {
    return ROSTER.parse(JSON.parse(item.value));
  } catch (error) {
    const reason = String(error).slice(0, LONGEST_REASON);
    log.error('The roster of workers cannot be read', { key: roster, reason });
    return undefined;
  }
};

const readWatchedRuns = (
  items: readonly KeyValue[],
  { watchedRuns }: ShareKeys,
): WatchedRunRecord => {
  const item = items.find(({ key }) => key === watchedRuns);
  if (!item) return NO_WATCHED_RUNS;
  try {
    return decodeWatchedRuns(item.value);
  } catch (error) {
    const reason = String(error).slice(0, LONGEST_REASON);
    log.error('The runs that may crash workers cannot be read', { key: watchedRuns, reason });
    return NO_WATCHED_RUNS;
  }
};

const readExchange = async (
  { store, clock }: TakeoverOptions,
  term: Term,
): Promise<ReadonlyMap<string, string> | undefined> => {
  while (!term.signal.aborted) {
    const call = callWithin(clock, CALL_TIMEOUT_MS, term.signal);
    const listing = await store.list(EXCHANGE_PREFIX, call);
    if (listing.ok) return new Map(listing.val.items.map(({ key, value }) => [key, value]));
    await clock.sleep(RETRY_MS, term.signal);
  }
  return undefined;
};

/** Waits until the replica is complete up to a revision. */
const catchUp = async (
  { replica, clock, refreshReplica }: TakeoverOptions,
  revision: number,
  { signal }: Term,
): Promise<void> => {
  while (replica.revision() < revision && !signal.aborted) {
    // An entry that owns nothing asks the store only now and then.
    await refreshReplica();
    await clock.sleep(REPLICA_POLL_MS, signal);
  }
};

/**
 * Takes a share over from its former owners.
 *
 * @param options - settings and collaborators
 * @param term - the term that begins
 * @returns the state that former owners left; undefined if the term ended first
 */
export const takeOver = async (
  options: TakeoverOptions,
  term: Term,
): Promise<TakeoverState | undefined> => {
  const { share, store, clock } = options;
  const keys = keysOfShare(share);
  const opened = await openJournal(options, term);
  if (opened) options.onFenced();
  while (opened && !term.signal.aborted) {
    // The replica must hold all that former owners wrote and all jobs accepted before the term.
    const [listing] = await Promise.all([
      store.list(keys.ownerPrefix, callWithin(clock, CALL_TIMEOUT_MS, term.signal)),
      catchUp(options, opened.revision, term),
    ]);
    if (listing.err) {
      await clock.sleep(RETRY_MS, term.signal);
      continue;
    }
    const { items } = listing.val;
    const exchange = options.isDivided ? await readExchange(options, term) : new Map();
    if (!exchange) return undefined;
    const lastOwner = openerOf(opened.formerLabel);
    return {
      journal: opened.journal,
      firstRun: term.fencingToken * RUN_NUMBERS_PER_TERM,
      progress: readProgress(items, keys, opened.placesSince, clock),
      workers: {
        roster: readRoster(items, keys),
        leaseEnds: opened.leaseEnds,
        lastOwner,
        lastLossMs: lossOfOpener(options, lastOwner),
      },
      watchedRuns: readWatchedRuns(items, keys),
      formerOwner: opened.formerLabel,
      openDelegations: items
        .filter(({ key }) => key.startsWith(keys.openDelegationsPrefix))
        .map(({ value }) => value),
      exchange,
    };
  }
  return undefined;
};
