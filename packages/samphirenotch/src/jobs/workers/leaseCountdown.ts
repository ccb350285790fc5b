/**
 * Stores how long workers that do not answer, and workers that are about to leave, can hold their leases, so
 * that a successor does not wait for them as if their leases had been extended until its take-over.
 *
 * A lease may be extended beyond that only once a record with a later end, or without the lease, is stored:
 * until then a successor may go by the time left.
 *
 * An owner that hands over stores one bound for all other workers as well, so that its successor does not wait
 * for one that is lost meanwhile as if its lease had been extended since.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { ProgressJournal } from '../store/progressJournal.js';

/** Time between two updates of the times left, in milliseconds. */
const REFRESH_MS = 500;

/** Shortest time between two records, in milliseconds: many workers may come and go at once. */
const MIN_INTERVAL_MS = 50;

/** Sequence number of a record that was stored before the first change of the journal. */
const STORED_BEFORE = 0;

/** Most workers that are named in one log line. */
const MAX_LOGGED = 12;

/** How long a worker can hold its lease at most, unless its owner extends it. */
export interface LeaseLeft {
  /** Id of the worker. */
  readonly id: string;
  /** Milliseconds from when the record is written. */
  readonly leftMs: number;
}

/** When a worker's lease ends at the latest, unless its owner extends it. */
export interface LeaseEnd {
  /** Id of the worker. */
  readonly id: string;
  /** Monotonic time in milliseconds. */
  readonly endMs: number;
}

/** What an owner stores of the leases that it does not extend. */
export interface LeaseRecord {
  /** Label of the owner's journal: the record says nothing about leases of another owner. */
  readonly journal: string;
  readonly leases: readonly LeaseLeft[];
  /** Longest lease of all other workers, as for these; left out if the owner may extend them. */
  readonly othersLeftMs?: number | undefined;
  /** Those of them that end earlier. Only the next owner may go by these, since it extends them up to the longest. */
  readonly othersLeases?: readonly LeaseLeft[] | undefined;
}

/** When the leases end at the latest that an owner no longer extends. */
export interface LeaseEnds {
  readonly leases: readonly LeaseEnd[];
  /** Monotonic time for all other workers, in milliseconds; infinite if their leases may be extended. */
  readonly othersEndMs: number;
  /** Those of them that end earlier, unless this owner extends them. */
  readonly othersEnds: readonly LeaseEnd[];
}

/** A record that is stored, or may be. */
interface PossibleRecord {
  /** Its sequence number in the journal. */
  readonly sequence: number;
  /** Monotonic times at which the leases in it end at the latest, in milliseconds, by id of the worker. */
  readonly endsMs: ReadonlyMap<string, number>;
  /** The same for all other workers; infinite if their leases may be extended. */
  readonly othersEndMs: number;
  /** Earlier ends of some of them, by id of the worker. */
  readonly earlierEndsMs: ReadonlyMap<string, number>;
}

const NO_ENDS: ReadonlyMap<string, number> = new Map();

const describeLeases = (leases: readonly LeaseLeft[]): string =>
  leases
    .slice(0, MAX_LOGGED)
    .map(({ id, leftMs }) => `${id} ${leftMs} ms`)
    .join(', ');

/** The leases that an owner counts down in the store. */
export class LeaseCountdown {
  private readonly log = partLog('leases');

  /** Oldest first. */
  private records: readonly PossibleRecord[] = [];

  private journal!: ProgressJournal;

  private key = '';

  /** Ids in the newest record. */
  private newestIds: readonly string[] = [];

  private recordedAtMs = Number.NEGATIVE_INFINITY;

  /** True once no lease is extended any more. */
  private isOver = false;

  /**
   * @param clock - time
   * @param onStored - called when leases may be extended again or for longer
   */
  constructor(
    private readonly clock: Clock,
    private readonly onStored: () => void,
  ) {}

  /**
   * Begins a term.
   *
   * @param journal - journal that stores the record
   * @param key - key of the record
   * @param ends - the record that is stored: leases that the last owner no longer extended
   */
  beginTerm(journal: ProgressJournal, key: string, { leases, othersEndMs }: LeaseEnds): void {
    this.journal = journal;
    this.key = key;
    this.newestIds = leases.map(({ id }) => id);
    const endsMs = new Map(leases.map(({ id, endMs }) => [id, endMs]));
    this.records = [{ sequence: STORED_BEFORE, endsMs, othersEndMs, earlierEndsMs: NO_ENDS }];
  }

  /**
   * Checks whether a lease is counted down.
   *
   * @param id - id of the worker
   * @returns true if a successor may go by the time left in a record
   */
  has(id: string): boolean {
    return this.records.some(({ endsMs }) => endsMs.has(id));
  }

  /**
   * Checks whether a successor is sure to find a lease in the record.
   *
   * @param id - id of the worker
   * @returns true if each record that may be stored has it
   */
  isStored(id: string): boolean {
    return this.records.every(({ endsMs }) => endsMs.has(id));
  }

  /**
   * Returns the time beyond which a lease must not be extended: by then a successor may count it as over.
   *
   * @param id - id of the worker
   * @returns monotonic time in milliseconds; infinite if the lease is not counted down
   */
  limitMs(id: string): number {
    return Math.min(
      ...this.records.map(
        ({ endsMs, othersEndMs, earlierEndsMs }) =>
          endsMs.get(id) ?? earlierEndsMs.get(id) ?? othersEndMs,
      ),
    );
  }

  /**
   * Stores the leases that are counted down from now on, if other workers have them or the stored times
   * are old.
   *
   * @param leases - the leases
   */
  update(leases: readonly LeaseLeft[]): void {
    const nowMs = this.clock.monotonicMs();
    if (this.isOver || nowMs < this.recordedAtMs + MIN_INTERVAL_MS) return;
    const ids = leases.map(({ id }) => id);
    const added = ids.filter((id) => !this.newestIds.includes(id));
    const removed = this.newestIds.filter((id) => !ids.includes(id));
    const isAged =
      nowMs >= this.recordedAtMs + REFRESH_MS && leases.some(({ leftMs }) => leftMs > 0);
    const areOthersLimited = Number.isFinite(this.records.at(-1)?.othersEndMs);
    if (added.length === 0 && removed.length === 0 && !isAged && !areOthersLimited) return;
    if (added.length > 0 || removed.length > 0) {
      this.log.info('Leases that are counted down have changed', {
        workers: ids.length,
        added: describeLeases(leases.filter(({ id }) => added.includes(id))),
        removed: removed.slice(0, MAX_LOGGED).join(', '),
      });
    }
    // Workers that answer again get no work before the record is stored.
    this.store(leases, removed.length > 0 || areOthersLimited);
  }

  /**
   * Stores the leases at the end of a term, in which none is extended any more.
   *
   * @param leases - leases that are counted down
   * @param others - those of all other workers
   */
  finish(leases: readonly LeaseLeft[], others: readonly LeaseLeft[]): void {
    this.isOver = true;
    const longestMs = Math.max(0, ...others.map(({ leftMs }) => leftMs));
    this.log.info('No lease is extended any more', {
      othersLeftMs: longestMs,
      workers: leases.length,
    });
    const earlier = others.filter(({ leftMs }) => leftMs < longestMs);
    this.store(leases, true, { othersLeftMs: longestMs, othersLeases: earlier });
  }

  private store(
    leases: readonly LeaseLeft[],
    isUrgent: boolean,
    others: Pick<LeaseRecord, 'othersLeftMs' | 'othersLeases'> = {},
  ): void {
    const nowMs = this.clock.monotonicMs();
    this.recordedAtMs = nowMs;
    this.newestIds = leases.map(({ id }) => id);
    const { othersLeftMs, othersLeases = [] } = others;
    const stored: LeaseRecord = { journal: this.journal.ownerLabel, leases, ...others };
    const text = JSON.stringify(stored);
    const isEmpty = leases.length === 0 && othersLeftMs === undefined;
    const content = isEmpty ? {} : { value: () => text };
    const sequence = this.journal.add({ key: this.key, isUrgent, overtakes: true, ...content });
    const endsOf = (counted: readonly LeaseLeft[]): ReadonlyMap<string, number> =>
      new Map(counted.map(({ id, leftMs }) => [id, nowMs + leftMs]));
    const record: PossibleRecord = {
      sequence,
      endsMs: endsOf(leases),
      othersEndMs: nowMs + (othersLeftMs ?? Number.POSITIVE_INFINITY),
      earlierEndsMs: endsOf(othersLeases),
    };
    this.records = [...this.records, record];
    this.journal.waitUntilStored(sequence, this.key).then(
      (isStored) => {
        if (isStored) this.dropOlderThan(sequence);
      },
      (error: unknown) => {
        this.log.error('The leases that are counted down were not stored', {
          reason: String(error),
        });
      },
    );
  }

  private dropOlderThan(sequence: number): void {
    const kept = this.records.filter((record) => record.sequence >= sequence);
    if (kept.length === this.records.length) return;
    this.records = kept;
    this.onStored();
  }
}
