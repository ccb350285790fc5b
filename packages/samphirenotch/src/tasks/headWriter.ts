/**
 * Writes the head of a partition by compare-and-swap, and finds out which write took effect when
 * answers are lost.
 */
import { Failure } from '../failure.js';
import { Ok, type Result } from '../results.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { decodeHead, headKey } from './partitionRecord.js';
import { STORE_TIMEOUT_MS } from './taskSettings.js';

/** A write of the head. */
export interface HeadWrite {
  /** Unique id that is stored in the head, to recognise this write when it is read back. */
  readonly writeId: string;
  /** The encoded head, with the write id. */
  readonly text: string;
}

/**
 * Outcome of a write. `stored`: the named write is the present head; `superseded` lists the writes
 * that are now known not to have taken effect. `lost`: the head was written by another owner or is
 * gone, so ownership is lost. `failed`: this write was not confirmed.
 */
export type HeadWriteOutcome<W extends HeadWrite> =
  | { readonly kind: 'stored'; readonly write: W; readonly superseded: readonly W[] }
  | { readonly kind: 'lost'; readonly owner: string }
  | { readonly kind: 'failed'; readonly failure: Failure };

/** The only writer of one head. */
export class HeadWriter<W extends HeadWrite> {
  /** Writes since the known revision whose answers were lost; one of them may have taken effect. */
  private unconfirmed: W[] = [];

  /**
   * @param store - store that holds the head
   * @param clock - clock for the time limits of calls
   * @param partition - resource name of the partition
   * @param revision - store revision of the head that this writer wrote last
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly partition: string,
    private revision: number,
  ) {}

  /**
   * Lists the writes of which it is not known whether they took effect.
   *
   * @returns the writes, oldest first
   */
  unconfirmedWrites(): readonly W[] {
    return this.unconfirmed;
  }

  /**
   * Tries to replace the head. The outcome `stored` may name an earlier write, whose answer was
   * lost.
   *
   * @param write - the new head
   * @param signal - aborts the calls
   * @returns which write is the present head, or why it is not known
   */
  async write(write: W, signal: AbortSignal): Promise<HeadWriteOutcome<W>> {
    const key = headKey(this.partition);
    const call = callWithin(this.clock, STORE_TIMEOUT_MS, signal);
    const swap = { key, expectedRevision: this.revision, value: write.text };
    const answer = await this.store.swap(swap, call);
    if (answer.err) {
      if (answer.val.effect === 'unknown') this.unconfirmed.push(write);
      return { kind: 'failed', failure: answer.val };
    }
    if (answer.val.kind === 'swapped') return this.confirm(write, answer.val.revision);
    return this.resolveConflict(write, signal);
  }

  /**
   * Reads the head to find out whether the store answers.
   *
   * @param signal - aborts the call
   * @returns nothing if it answers, or why it does not
   */
  async probe(signal: AbortSignal): Promise<Result<void, Failure>> {
    const call = callWithin(this.clock, STORE_TIMEOUT_MS, signal);
    const found = await this.store.get(headKey(this.partition), call);
    return found.err ? found : Ok(undefined);
  }

  /**
   * Reads the head after a conflict: either a write of this owner whose answer was lost has taken
   * effect, or there is another owner.
   */
  private async resolveConflict(latest: W, signal: AbortSignal): Promise<HeadWriteOutcome<W>> {
    const key = headKey(this.partition);
    const found = await this.store.get(key, callWithin(this.clock, STORE_TIMEOUT_MS, signal));
    if (found.err) return { kind: 'failed', failure: found.val };
    if (!found.val) return { kind: 'lost', owner: 'nobody' };
    const head = decodeHead(found.val.value, key);
    if (head.err) return { kind: 'failed', failure: head.val };
    const { writeId } = head.val;
    const write = [...this.unconfirmed, latest].find((each) => each.writeId === writeId);
    if (!write) return { kind: 'lost', owner: head.val.owner };
    return this.confirm(write, found.val.revision);
  }

  private confirm(write: W, revision: number): HeadWriteOutcome<W> {
    const superseded = this.unconfirmed.filter((each) => each !== write);
    this.revision = revision;
    this.unconfirmed = [];
    return { kind: 'stored', write, superseded };
  }
}
