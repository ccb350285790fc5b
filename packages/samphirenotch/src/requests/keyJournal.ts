/**
 * Keeps the records of one key partition in the platform's store, with one writer at a time.
 *
 * Whoever takes the partition over rewrites the last segment under its own name, so that every swap
 * of an earlier owner conflicts from then on. No clock and no lease takes part in that.
 */
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { callWithin, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import {
  decodeSegment,
  encodeSegment,
  segmentKey,
  segmentNumber,
  segmentPrefix,
  type KeyRecord,
  type KeySegment,
} from './keySegment.js';

/** Time for one call of the store, in milliseconds. */
const STORE_TIMEOUT_MS = 800;

/** Size from which on a segment is closed, in bytes. */
const SEGMENT_BYTES = 16_384;

/** Sends of one write when an earlier one of ours turns up late. */
const MAXIMUM_PUTS = 3;

/** `unavailable`: may be written later, but nobody may rely on it. `fenced`: another owner writes. */
export type JournalOutcome = 'written' | 'unavailable' | 'fenced';

interface StoredSegment extends KeySegment {
  readonly number: number;
  readonly revision: number;
}

type ClosedSegment = Pick<StoredSegment, 'number' | 'revision' | 'records'>;

/** What the journal is made of. */
export interface KeyJournalParts {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly partition: number;
  /** Id of this time of ownership. */
  readonly writer: string;
}

/** The stored records of a partition. */
export class KeyJournal {
  private tail = 0;

  private revision = 0;

  private tailSealed = true;

  private records: readonly KeyRecord[] = [];

  private write = 0;

  /** Sealed segments and the time of their newest claim. */
  private readonly sealedAt = new Map<number, { revision: number; newestMs: number }>();

  /**
   * @param parts - what the journal is made of
   */
  constructor(private readonly parts: KeyJournalParts) {}

  /**
   * Takes the partition over from whoever wrote it before.
   *
   * @returns all records in order, or nothing if the store did not answer or another owner came first
   */
  async takeOver(): Promise<readonly KeyRecord[] | undefined> {
    const { store, partition } = this.parts;
    const listed = await store.list(segmentPrefix(partition), this.call());
    if (listed.err) return undefined;
    const segments = listed.val.items.map(({ key, value, revision }): StoredSegment => ({
      ...decodeSegment(value),
      number: segmentNumber(key),
      revision,
    }));
    segments.sort((left, right) => left.number - right.number);
    this.adopt(segments);
    const fenced = this.tailSealed ? await this.begin([]) : await this.put(this.records, false);
    if (fenced !== 'written') return undefined;
    return segments.flatMap(({ records }) => records);
  }

  /**
   * Adds records durably.
   *
   * @param added - the records
   * @returns whether they are stored
   */
  async append(added: readonly KeyRecord[]): Promise<JournalOutcome> {
    if (this.tailSealed) return this.begin(added);
    if (this.bytesWith(added) <= this.segmentBytes() || this.records.length === 0) {
      return this.put([...this.records, ...added], false);
    }
    const sealed = await this.put(this.records, true);
    return sealed === 'written' ? this.begin(added) : sealed;
  }

  /**
   * Removes closed segments that hold nothing newer than a time.
   *
   * @param beforeMs - wall-clock time, in milliseconds since the Unix epoch
   */
  async removeOlder(beforeMs: number): Promise<void> {
    const old = [...this.sealedAt].filter(([, { newestMs }]) => newestMs < beforeMs);
    for (const [number, { revision }] of old) {
      const key = segmentKey(this.parts.partition, number);
      const removed = await this.parts.store.remove(key, revision, this.call());
      if (removed.err) return;
      this.sealedAt.delete(number);
    }
  }

  private adopt(segments: readonly StoredSegment[]): void {
    const last = segments.at(-1);
    this.sealedAt.clear();
    segments.filter(({ sealed }) => sealed).forEach((segment) => this.remember(segment));
    this.tail = last?.number ?? 0;
    this.revision = last?.revision ?? 0;
    this.tailSealed = last?.sealed ?? true;
    this.records = last?.records ?? [];
  }

  private remember({ number, revision, records }: ClosedSegment): void {
    const times = records.map((record) => (record.kind === 'claim' ? record.atMs : 0));
    const newestMs = times.reduce((left, right) => Math.max(left, right), 0);
    this.sealedAt.set(number, { revision, newestMs });
  }

  /** Begins the segment after a closed one. */
  private async begin(records: readonly KeyRecord[]): Promise<JournalOutcome> {
    const before = { tail: this.tail, revision: this.revision, records: this.records };
    this.tail += 1;
    this.revision = 0;
    const outcome = await this.put(records, false);
    if (outcome === 'written') return outcome;
    this.tail = before.tail;
    this.revision = before.revision;
    this.records = before.records;
    this.tailSealed = true;
    return outcome;
  }

  private async put(records: readonly KeyRecord[], sealed: boolean): Promise<JournalOutcome> {
    for (let sends = 0; sends < MAXIMUM_PUTS; sends += 1) {
      this.write += 1;
      const { write } = this;
      const value = encodeSegment({ writer: this.parts.writer, write, sealed, records });
      const key = segmentKey(this.parts.partition, this.tail);
      const swap = { key, expectedRevision: this.revision, value };
      const outcome = await this.parts.store.swap(swap, this.call());
      if (outcome.ok && outcome.val.kind === 'swapped') {
        this.accept(outcome.val.revision, records, sealed);
        return 'written';
      }
      const found = await this.lookBack(write);
      if (found === 'written') this.accept(this.revision, records, sealed);
      if (found !== 'earlier-write') return found;
    }
    return 'unavailable';
  }

  private accept(revision: number, records: readonly KeyRecord[], sealed: boolean): void {
    this.revision = revision;
    this.records = records;
    this.tailSealed = sealed;
    if (sealed) this.remember({ number: this.tail, revision, records });
  }

  /** Finds out what became of a write whose answer was a conflict or was lost. */
  private async lookBack(write: number): Promise<JournalOutcome | 'earlier-write'> {
    const key = segmentKey(this.parts.partition, this.tail);
    const read = await this.parts.store.get(key, this.call());
    if (read.err) return 'unavailable';
    if (!read.val) return this.revision === 0 ? 'unavailable' : 'fenced';
    if (read.val.revision === this.revision) return 'unavailable';
    const found = decodeSegment(read.val.value);
    if (found.writer !== this.parts.writer) return 'fenced';
    this.revision = read.val.revision;
    return found.write === write ? 'written' : 'earlier-write';
  }

  private bytesWith(added: readonly KeyRecord[]): number {
    const { writer } = this.parts;
    const records = [...this.records, ...added];
    return encodeSegment({ writer, write: this.write, sealed: false, records }).length;
  }

  private segmentBytes(): number {
    return Math.min(SEGMENT_BYTES, this.parts.store.maximumValueBytes / 2);
  }

  private call(): Call {
    return callWithin(this.parts.clock, STORE_TIMEOUT_MS);
  }
}
