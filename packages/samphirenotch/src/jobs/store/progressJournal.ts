/**
 * Writes an owner's changes to the store in order, several per transaction.
 *
 * What a transaction leaves in the store is what the oldest changes make of it, without a gap: no
 * change is stored before an earlier one. A write replaces a pending write of the same key at its
 * place, and a removal a pending removal; a change of the other kind goes to the end, and so does one
 * to a key that is being written, or others would wait for as long as that key changes.
 *
 * A full journal takes many transactions to store, so a change may overtake others. Those of one series,
 * such as the changes of a job, keep their order: a change takes the earlier ones of its series along.
 * Changes that overtake others keep their order among each other as well.
 *
 * Each transaction is conditional on the revision of the journal key that the previous one left,
 * and writes that key again. So a transaction whose answer was lost cannot take effect after a
 * later one, and no transaction of a former owner takes effect once its successor has written the
 * key.
 */
import type { Failure } from '../../failure.js';
import type { TransactionStore, Write } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

/** Timeout of one transaction, in milliseconds. */
const COMMIT_TIMEOUT_MS = 1_200;

/** Delay before a failed transaction is retried, in milliseconds. */
const RETRY_MS = 200;

/** Time for which urgent changes are batched before a write, in milliseconds; saves store calls. */
const URGENT_BATCH_WINDOW_MS = 12;

/**
 * The same for other changes, in milliseconds; longer, as a store call costs as much as starting a
 * task.
 */
const BATCH_WINDOW_MS = 30;

/** Transaction entries used by the journal key itself: one expectation and one write. */
const JOURNAL_KEY_ENTRIES = 2;

/** Maximum wait for changes before the loop checks again, in milliseconds. */
const IDLE_MS = 1_000;

/** A change to one key. */
export interface JournalChange {
  readonly key: string;
  /** True if a caller or another owner waits for the change. */
  readonly isUrgent?: boolean;
  /**
   * Name of the series of the change, which is the same for all changes to its key; the key itself if left out.
   * Changes of a series are stored in order.
   */
  readonly series?: string;
  /** True if the change may be stored before earlier ones of other series. */
  readonly overtakes?: boolean;
  /**
   * Returns the value when it is written, which may be newer than the change and must be right at its
   * place too; removes the key if left out.
   */
  readonly value?: () => string;
}

/** One or several changes of the same kind to a key, at the place of the oldest one. */
interface PendingChange {
  /** The newest of them. */
  change: JournalChange;
  /** Sequence number of the oldest of them. */
  readonly sequence: number;
  /** True if it is being written, or may have been by a lost transaction. */
  isSent: boolean;
}

const isRemoval = ({ value }: JournalChange): boolean => value === undefined;

const seriesOf = ({ key, series = key }: JournalChange): string => series;

interface Waiter {
  readonly sequence: number;
  /** Series of the change if changes of other series are not waited for. */
  readonly series: string | undefined;
  readonly resolve: (isStored: boolean) => void;
}

/** The journal of one term of ownership. */
export class ProgressJournal {
  private readonly log = partLog('journal');

  /** Changes that are not stored yet, in the order in which they take effect. */
  private pending: PendingChange[] = [];

  /**
   * Number of changes at their beginning that none overtakes: they are being written, or may have been by a
   * lost transaction, or overtake others themselves.
   */
  private frontCount = 0;

  /** The last of them for each key. */
  private readonly lastByKey = new Map<string, PendingChange>();

  private readonly wakeup: Wakeup;

  /** Ends the batch window early when an urgent change arrives. */
  private readonly urgent: Wakeup;

  private hasUrgent = false;

  private waiters: Waiter[] = [];

  private sequence = 0;

  private closed = false;

  private inDoubt = false;

  /**
   * @param store - the store
   * @param clock - time
   * @param key - the journal key
   * @param revision - revision at which this owner wrote the journal key
   * @param ownerLabel - value of the journal key, which identifies this owner
   * @param onSuperseded - called when another owner has written the journal key
   */
  constructor(
    private readonly store: TransactionStore,
    private readonly clock: Clock,
    private readonly key: string,
    private revision: number,
    readonly ownerLabel: string,
    private readonly onSuperseded: (reason: string) => void,
  ) {
    this.wakeup = new Wakeup(clock);
    this.urgent = new Wakeup(clock);
  }

  /**
   * Adds a change. It takes the place of the last pending change to the key if that is of the same
   * kind.
   *
   * @param change - the change
   * @returns sequence number of the change, for `waitUntilStored`
   */
  add(change: JournalChange): number {
    this.sequence += 1;
    const { sequence } = this;
    const last = this.lastByKey.get(change.key);
    if (last && !last.isSent && isRemoval(last.change) === isRemoval(change)) {
      last.change = change;
    } else {
      const added = { change, sequence, isSent: false };
      this.pending.push(added);
      this.lastByKey.set(change.key, added);
    }
    if (change.overtakes) this.moveForward(seriesOf(change));
    this.wakeup.wake();
    if (change.isUrgent && !this.hasUrgent) {
      this.hasUrgent = true;
      this.urgent.wake();
    }
    return sequence;
  }

  /** Puts the changes of a series before those that may be overtaken, in their order. */
  private moveForward(series: string): void {
    const front = this.pending.slice(0, this.frontCount);
    const others = this.pending.slice(this.frontCount);
    const moved = others.filter(({ change }) => seriesOf(change) === series);
    if (moved.length === 0) return;
    const overtaken = others.filter(({ change }) => seriesOf(change) !== series);
    this.pending = [...front, ...moved, ...overtaken];
    this.frontCount += moved.length;
  }

  /**
   * Waits until a change and all earlier ones are stored.
   *
   * @param sequence - sequence number of the change
   * @param series - its series, if changes of other series are not waited for
   * @returns true once they are stored; false if the term ended first
   */
  waitUntilStored(sequence: number, series?: string): Promise<boolean> {
    if (this.closed) return Promise.resolve(false);
    if (this.oldestPending(series) > sequence) return Promise.resolve(true);
    return new Promise((resolve) => {
      this.waiters.push({ sequence, series, resolve });
    });
  }

  /** @returns sequence number of the newest change */
  newestSequence(): number {
    return this.sequence;
  }

  /**
   * Writes changes until the term ends.
   *
   * @param signal - ends the term
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.pending.length === 0) {
        await this.wakeup.wait(IDLE_MS, signal);
        if (this.pending.length > 0) await this.collectBatch(signal);
        continue;
      }
      await this.writeBatch(signal);
    }
    this.closed = true;
    this.waiters.forEach(({ resolve }) => resolve(false));
    this.waiters = [];
  }

  private async collectBatch(signal: AbortSignal): Promise<void> {
    const { clock } = this;
    const untilMs = clock.monotonicMs() + BATCH_WINDOW_MS - URGENT_BATCH_WINDOW_MS;
    // A wake-up may be left over from a change that is already stored.
    while (!this.hasUrgent && clock.monotonicMs() < untilMs && !signal.aborted) {
      await this.urgent.wait(untilMs - clock.monotonicMs(), signal);
    }
    await clock.sleep(URGENT_BATCH_WINDOW_MS, signal);
  }

  private async writeBatch(signal: AbortSignal): Promise<void> {
    this.hasUrgent = false;
    if (this.inDoubt && !(await this.resolveInDoubt(signal))) return;
    const batch = this.oldestChanges();
    // A transaction takes effect as a whole, so only the last change to a key counts.
    const changes = new Map(batch.map(({ change }) => [change.key, change]));
    const writes: Write[] = [];
    const removals: string[] = [];
    changes.forEach(({ key, value }) => {
      if (value) writes.push({ key, value: value() });
      else removals.push(key);
    });
    batch.forEach((each) => {
      const sent = each;
      sent.isSent = true;
    });
    this.frontCount = Math.max(this.frontCount, batch.length);
    const outcome = await this.store.commit(
      {
        expectations: [{ key: this.key, revision: this.revision }],
        writes: [...writes, { key: this.key, value: this.ownerLabel }],
        removals,
      },
      callWithin(this.clock, COMMIT_TIMEOUT_MS, signal),
    );
    if (outcome.err) {
      await this.handleFailure(outcome.val, signal);
      return;
    }
    if (outcome.val.kind !== 'committed') {
      // Either an unanswered transaction took effect late, or another owner has written the key.
      this.inDoubt = true;
      return;
    }
    this.inDoubt = false;
    this.revision = outcome.val.revision;
    this.markStored(batch);
    this.resolveWaiters();
  }

  /** Returns the oldest changes that fit into one transaction. */
  private oldestChanges(): readonly PendingChange[] {
    const maximumKeys = this.store.maximumTransactionEntries - JOURNAL_KEY_ENTRIES;
    const keys = new Set<string>();
    const end = this.pending.findIndex(({ change }) => keys.add(change.key).size > maximumKeys);
    return end < 0 ? [...this.pending] : this.pending.slice(0, end);
  }

  private markStored(batch: readonly PendingChange[]): void {
    batch.forEach((stored) => {
      const { key } = stored.change;
      if (this.lastByKey.get(key) === stored) this.lastByKey.delete(key);
    });
    this.pending = this.pending.slice(batch.length);
    this.frontCount -= batch.length;
  }

  /** After a lost answer, reads the journal key to learn which transaction took effect last. */
  private async resolveInDoubt(signal: AbortSignal): Promise<boolean> {
    const call = callWithin(this.clock, COMMIT_TIMEOUT_MS, signal);
    const item = await this.store.get(this.key, call);
    if (item.err) {
      await this.clock.sleep(RETRY_MS, signal);
      return false;
    }
    if (item.val?.value !== this.ownerLabel) {
      this.onSuperseded('the journal names another owner');
      await this.clock.sleep(RETRY_MS, signal);
      return false;
    }
    // The lost transaction may still take effect; then the next one conflicts and is retried.
    this.revision = item.val.revision;
    return true;
  }

  private async handleFailure(failure: Failure, signal: AbortSignal): Promise<void> {
    if (failure.effect === 'unknown') this.inDoubt = true;
    this.log.warn('Storing progress failed', {
      reason: failure.message,
      effect: failure.effect,
      pending: this.pending.length,
    });
    await this.clock.sleep(RETRY_MS, signal);
  }

  /** Returns the sequence number of the oldest change that is not stored, of all or of one series. */
  private oldestPending(series?: string): number {
    let oldest = Number.POSITIVE_INFINITY;
    this.pending.forEach(({ change, sequence }) => {
      if (series === undefined || seriesOf(change) === series) oldest = Math.min(oldest, sequence);
    });
    return oldest;
  }

  private resolveWaiters(): void {
    const oldest = this.oldestPending();
    const isStored = ({ sequence, series }: Waiter): boolean =>
      sequence < oldest || (series !== undefined && sequence < this.oldestPending(series));
    const ready = new Set(this.waiters.filter(isStored));
    this.waiters = this.waiters.filter((waiter) => !ready.has(waiter));
    ready.forEach(({ resolve }) => resolve(true));
  }
}
