/**
 * Stores how long workers that do not answer, and workers that are about to leave, can hold their leases, so
 * that a successor does not wait for them as if their leases had been extended until its take-over.
 *
 * A lease may be extended beyond that only once a record with a later end, or without the lease, is stored:
 * until then a successor may go by the time left.
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
}

/** A record that is stored, or may be. */
interface PossibleRecord {
  /** Its sequence number in the journal. */
  readonly sequence: number;
  /** Monotonic times at which the leases in it end at the latest, in milliseconds, by id of the worker. */
  readonly endsMs: ReadonlyMap<string, number>;
}

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
   * @param leases - the record that is stored: leases that the last owner had counted down
   */
  beginTerm(journal: ProgressJournal, key: string, leases: readonly LeaseEnd[]): void {
    this.journal = journal;
    this.key = key;
    this.newestIds = leases.map(({ id }) => id);
    const endsMs = new Map(leases.map(({ id, endMs }) => [id, endMs]));
    this.records = [{ sequence: STORED_BEFORE, endsMs }];
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
   * Returns the time beyond which a lease must not be extended: by then a successor may count it as over.
   *
   * @param id - id of the worker
   * @returns monotonic time in milliseconds; infinite if the lease is not counted down
   */
  limitMs(id: string): number {
    return Math.min(...this.records.map(({ endsMs }) => endsMs.get(id) ?? Infinity));
  }

  /**
   * Stores the leases that are counted down from now on, if other workers have them or the stored times
   * are old.
   *
   * @param leases - the leases
   */
  update(leases: readonly LeaseLeft[]): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.recordedAtMs + MIN_INTERVAL_MS) return;
    const ids = leases.map(({ id }) => id);
    const added = ids.filter((id) => !this.newestIds.includes(id));
    const removed = this.newestIds.filter((id) => !ids.includes(id));
    const isAged =
      nowMs >= this.recordedAtMs + REFRESH_MS && leases.some(({ leftMs }) => leftMs > 0);
    if (added.length === 0 && removed.length === 0 && !isAged) return;
    if (added.length > 0 || removed.length > 0) {
      this.log.info('Leases that are counted down have changed', {
        workers: ids.length,
        added: describeLeases(leases.filter(({ id }) => added.includes(id))),
        removed: removed.slice(0, MAX_LOGGED).join(', '),
      });
    }
    this.recordedAtMs = nowMs;
    this.newestIds = ids;
    const record: LeaseRecord = { journal: this.journal.ownerLabel, leases };
    const text = JSON.stringify(record);
    // Workers that answer again get no work before the record is stored.
    const isUrgent = removed.length > 0;
    const content = leases.length === 0 ? {} : { value: () => text };
    const sequence = this.journal.add({ key: this.key, isUrgent, ...content });
    const endsMs = new Map(leases.map(({ id, leftMs }) => [id, nowMs + leftMs]));
    this.records = [...this.records, { sequence, endsMs }];
    this.journal.waitUntilStored(sequence).then(
      (stored) => {
        if (stored) this.dropOlderThan(sequence);
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
