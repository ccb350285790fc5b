/**
 * Writes the owner's changes in order, several in one transaction.
 *
 * Every transaction expects the revision of the journal key that the one before it left and writes
 * that key anew. So a transaction whose answer was lost cannot take effect after a later one, and
 * none of a former owner can once its successor has written the key.
 */
import type { Failure } from '../../failure.js';
import type { TransactionStore, Write } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

/** Time for one transaction, in milliseconds. */
const COMMIT_TIMEOUT_MS = 1_200;

/** Wait before a failed transaction is tried again, in milliseconds. */
const RETRY_MS = 200;

/** Time in which urgent changes gather before they are written, in milliseconds; saves store calls. */
const GATHER_MS = 12;

/** The same where nobody waits for the change: a call costs the owner as much as a start does. */
const RELAXED_GATHER_MS = 30;

/** Entries of each transaction that the journal key itself takes: one expectation, one write. */
const OWN_ENTRIES = 2;

/** Longest wait for something to write, in milliseconds. */
const IDLE_MS = 1_000;

/** A change to one key; the value is read when it is written. */
export interface JournalChange {
  readonly key: string;
  /** A caller or another owner waits for it. */
  readonly isUrgent?: boolean;
  /** Value to write, or undefined to remove the key. */
  readonly value: () => string | undefined;
}

interface PendingChange {
  readonly change: JournalChange;
  /** Number of the newest change to the key. */
  readonly sequence: number;
  /** Number of the oldest change to the key that is not stored. */
  readonly since: number;
}

interface Waiter {
  readonly sequence: number;
  readonly resolve: (written: boolean) => void;
}

/** The journal of one term of ownership. */
export class ProgressJournal {
  private readonly log = partLog('journal');

  private readonly pending = new Map<string, PendingChange>();

  private readonly wakeup: Wakeup;

  /** Ends the time in which changes gather. */
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
   * @param label - value of the journal key
   * @param onDeposed - called when another owner has written the journal
   */
  constructor(
    private readonly store: TransactionStore,
    private readonly clock: Clock,
    private readonly key: string,
    private revision: number,
    private readonly label: string,
    private readonly onDeposed: (reason: string) => void,
  ) {
    this.wakeup = new Wakeup(clock);
    this.urgent = new Wakeup(clock);
  }

  /**
   * Adds a change; a change to the same key that is not written yet is replaced.
   *
   * @param change - the change
   * @returns a number to wait for with `written`
   */
  add(change: JournalChange): number {
    this.sequence += 1;
    const since = this.pending.get(change.key)?.since ?? this.sequence;
    this.pending.set(change.key, { change, sequence: this.sequence, since });
    this.wakeup.wake();
    if (change.isUrgent && !this.hasUrgent) {
      this.hasUrgent = true;
      this.urgent.wake();
    }
    return this.sequence;
  }

  /**
   * Waits until a change is stored.
   *
   * @param sequence - number of the change
   * @returns false if the term ended first
   */
  written(sequence: number): Promise<boolean> {
    if (this.closed) return Promise.resolve(false);
    if (this.oldestPending() > sequence) return Promise.resolve(true);
    return new Promise((resolve) => {
      this.waiters.push({ sequence, resolve });
    });
  }

  /** @returns the number of the newest change */
  newest(): number {
    return this.sequence;
  }

  /**
   * Writes until the term ends.
   *
   * @param signal - ends the term
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.pending.size === 0) {
        await this.wakeup.wait(IDLE_MS, signal);
        if (this.pending.size > 0) await this.gather(signal);
        continue;
      }
      await this.writeSome(signal);
    }
    this.closed = true;
    this.waiters.forEach(({ resolve }) => resolve(false));
    this.waiters = [];
  }

  private async gather(signal: AbortSignal): Promise<void> {
    const { clock } = this;
    const untilMs = clock.monotonicMs() + RELAXED_GATHER_MS - GATHER_MS;
    // A wake-up may be left from a change that is stored already.
    while (!this.hasUrgent && clock.monotonicMs() < untilMs && !signal.aborted) {
      await this.urgent.wait(untilMs - clock.monotonicMs(), signal);
    }
    await clock.sleep(GATHER_MS, signal);
  }

  private async writeSome(signal: AbortSignal): Promise<void> {
    const most = this.store.maximumTransactionEntries - OWN_ENTRIES;
    const batch = [...this.pending.values()].slice(0, most);
    this.hasUrgent = false;
    if (this.inDoubt && !(await this.settleDoubt(signal))) return;
    const values = batch.map(({ change }) => ({ key: change.key, value: change.value() }));
    const writes = values.filter((each): each is Write => each.value !== undefined);
    const removals = values.filter(({ value }) => value === undefined).map(({ key }) => key);
    const outcome = await this.store.commit(
      {
        expectations: [{ key: this.key, revision: this.revision }],
        writes: [...writes, { key: this.key, value: this.label }],
        removals,
      },
      callWithin(this.clock, COMMIT_TIMEOUT_MS, signal),
    );
    if (outcome.err) {
      await this.noteFailure(outcome.val, signal);
      return;
    }
    if (outcome.val.kind !== 'committed') {
      // Either a transaction without an answer took effect late, or another owner has written.
      this.inDoubt = true;
      return;
    }
    this.inDoubt = false;
    this.revision = outcome.val.revision;
    batch.forEach((written) => this.noteWritten(written));
    this.resolveWaiters();
  }

  /** Changes that came while the transaction was on its way are still to be written. */
  private noteWritten({ change, sequence }: PendingChange): void {
    const newest = this.pending.get(change.key);
    if (!newest || newest.sequence === sequence) {
      this.pending.delete(change.key);
      return;
    }
    this.pending.set(change.key, { ...newest, since: sequence + 1 });
  }

  /** After a lost answer, reads which of the owner's transactions the journal stands at. */
  private async settleDoubt(signal: AbortSignal): Promise<boolean> {
    const call = callWithin(this.clock, COMMIT_TIMEOUT_MS, signal);
    const item = await this.store.get(this.key, call);
    if (item.err) {
      await this.clock.sleep(RETRY_MS, signal);
      return false;
    }
    if (item.val?.value !== this.label) {
      this.onDeposed('the journal names another owner');
      await this.clock.sleep(RETRY_MS, signal);
      return false;
    }
    // The lost transaction may still take effect; then the next one conflicts and is tried again.
    this.revision = item.val.revision;
    return true;
  }

  private async noteFailure(failure: Failure, signal: AbortSignal): Promise<void> {
    if (failure.effect === 'unknown') this.inDoubt = true;
    this.log.warn('Progress was not stored', {
      reason: failure.message,
      effect: failure.effect,
      pending: this.pending.size,
    });
    await this.clock.sleep(RETRY_MS, signal);
  }

  private oldestPending(): number {
    let oldest = Number.POSITIVE_INFINITY;
    this.pending.forEach(({ since }) => {
      oldest = Math.min(oldest, since);
    });
    return oldest;
  }

  private resolveWaiters(): void {
    const oldest = this.oldestPending();
    const ready = this.waiters.filter(({ sequence }) => sequence < oldest);
    this.waiters = this.waiters.filter(({ sequence }) => sequence >= oldest);
    ready.forEach(({ resolve }) => resolve(true));
  }
}
