/**
 * Elects one entry as the owner of a share, by a lease in the store.
 *
 * The revision of the write that takes the lease is the owner's fencing token: workers refuse orders
 * with a lower one. An owner that cannot renew goes on for a while, since an outage of the store
 * deposes nobody; it stops at the first refusal by a worker or by the journal.
 */
import { setMaxListeners } from 'node:events';

import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { offAbort, onAbort } from '../../time/abortListeners.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

import { keysOf } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import { encodeOwner } from '../store/shareBoard.js';
import { LONGEST_UNCONFIRMED_MS, type Term } from '../store/term.js';

/** Time to live of the owner's lease, in milliseconds: how long a dead owner goes unnoticed. */
const LEASE_MS = 2_500;

/** What a lease is taken to be shorter than it is, in milliseconds; clocks differ a little. */
const LEASE_MARGIN_MS = 100;

/** Time between renewals, in milliseconds: three tries within a lease. */
const RENEWAL_MS = 700;

/** Time for one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 600;

/** Wait of a candidate that the store has refused a lease, in milliseconds: others stand meanwhile. */
const REFUSED_MS = 60;

/** Longest wait for a change of owner, in milliseconds. */
const CHECK_MS = 500;

/** Wait before a stopping owner tries again to give its lease back, in milliseconds. */
const HANDOVER_RETRY_MS = 150;

/**
 * Spread of candidates, in milliseconds: entries hear of a vacancy up to 200 ms apart, and a slow one is
 * not to be elected because it heard first.
 */
const CANDIDATE_SPREAD_MS = 320;

/** What an election is won with. */
export interface Victory {
  readonly fencingToken: number;
  readonly leaseId: string;
}

/** What an election needs. */
export interface ElectionOptions {
  /** Id of the share. */
  readonly share: string;
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  readonly clock: Clock;
  /** Name of this entry. */
  readonly entry: string;
  /** Name of this process, another one after each start. */
  readonly process: string;
  readonly dataCentre: string;
  /** Tells how much later than others this entry stands, in milliseconds, for what it does already. */
  readonly reluctanceMs: () => number;
  /** Lets one attempt of the entry at a time be made. */
  readonly turns: (attempt: () => Promise<Victory | undefined>) => Promise<Victory | undefined>;
  /** Called as soon as the entry is elected. */
  readonly onElected: () => void;
  /** What the entry's VM has of a core of the usual speed: faster entries stand for election earlier. */
  readonly processorShare: number;
  /** How long a stopping owner goes on while the store does not take its lease back. */
  readonly handoverMs: number;
  /** Serves a term until its signal is aborted. */
  readonly serve: (term: Term) => Promise<void>;
}

/** Stands for election whenever there is no owner. */
export class OwnerElection {
  private readonly log = partLog('election');

  private readonly wakeup: Wakeup;

  private confirmedMs = 0;

  /** Hands over the term in progress. */
  private endTerm: (() => void) | undefined;

  /**
   * @param options - what it works with
   */
  constructor(private readonly options: ElectionOptions) {
    this.wakeup = new Wakeup(options.clock);
  }

  /** @returns id of the share */
  get share(): string {
    return this.options.share;
  }

  /** Looks at the replica anew. */
  notify(): void {
    this.wakeup.wake();
  }

  /**
   * Hands the term in progress over, as a planned stop does; stands for election again afterwards.
   *
   * @param reason - for the log
   */
  yieldTerm(reason: string): void {
    if (!this.endTerm) return;
    this.log.info('The term is handed over', { share: this.options.share, reason });
    this.endTerm();
    this.endTerm = undefined;
  }

  /**
   * Stands for election until told to stop; gives the lease back at the end.
   *
   * @param signal - ends the election and the term
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      if (!this.isVacant()) {
        await this.wakeup.wait(CHECK_MS, signal);
        continue;
      }
      const { replica, processorShare } = this.options;
      const spreadMs = (1 - replica.shares.speedOf(processorShare)) * CANDIDATE_SPREAD_MS;
      const reluctanceMs = this.options.reluctanceMs();
      await clock.sleep(spreadMs + reluctanceMs, signal);
      const won = await this.options.turns(() => this.standIfStillWanted(reluctanceMs, signal));
      if (won) await this.serveTerm(won, signal);
    }
  }

  /** An entry that stands for several shares stands for one at a time. */
  private async standIfStillWanted(
    reluctanceMs: number,
    signal: AbortSignal,
  ): Promise<Victory | undefined> {
    if (signal.aborted || !this.isVacant()) return undefined;
    // It may have been elected for something else meanwhile.
    if (this.options.reluctanceMs() > reluctanceMs) return undefined;
    return this.stand(signal);
  }

  private isVacant(): boolean {
    const { share, replica, entry, process } = this.options;
    if (replica.revision() === 0) return false;
    const owner = replica.shares.owner(share);
    // A lease of this entry's former life protects nothing any more.
    return owner === undefined || (owner.entry === entry && owner.process !== process);
  }

  private async stand(signal: AbortSignal): Promise<Victory | undefined> {
    const { share, store, clock, replica } = this.options;
    const key = keysOf(share).owner;
    // A rival may be elected while the store is asked for the lease.
    const expected = replica.shares.owner(share)?.revision ?? 0;
    // The store counts the lease from when the call arrives.
    const askedMs = clock.monotonicMs();
    const lease = await store.grantLease(LEASE_MS, callWithin(clock, CALL_TIMEOUT_MS, signal));
    if (lease.err) {
      this.log.warn('The store gave no lease', { share, reason: lease.val.message });
      await clock.sleep(REFUSED_MS, signal);
      return undefined;
    }
    const value = encodeOwner(this.options);
    const outcome = await store.commit(
      {
        expectations: [{ key, revision: expected }],
        writes: [{ key, value, leaseId: lease.val }],
        removals: [],
      },
      callWithin(clock, CALL_TIMEOUT_MS, signal),
    );
    if (outcome.ok && outcome.val.kind === 'committed') {
      this.confirmedMs = askedMs;
      const { revision: fencingToken } = outcome.val;
      this.log.info('Elected', { share, fencingToken, leaseId: lease.val });
      this.options.onElected();
      return { fencingToken, leaseId: lease.val };
    }
    this.log.info('Another entry was elected, or the store did not answer', {
      share,
      outcome: outcome.ok ? outcome.val.kind : outcome.val.message,
    });
    await store.revokeLease(lease.val, callWithin(clock, CALL_TIMEOUT_MS));
    await clock.sleep(CALL_TIMEOUT_MS / 2, signal);
    return undefined;
  }

  private async serveTerm({ fencingToken, leaseId }: Victory, signal: AbortSignal): Promise<void> {
    const { share } = this.options;
    const ended = new AbortController();
    // Every worker, call and loop of the term listens.
    setMaxListeners(0, ended.signal);
    let handover: Promise<void> | undefined;
    let givenBackMs = Number.POSITIVE_INFINITY;
    const stop = (): void => {
      givenBackMs = Math.min(givenBackMs, this.options.clock.monotonicMs());
      handover ??= this.handOver(leaseId, ended);
    };
    this.endTerm = stop;
    onAbort(signal, stop);
    // A stop may have come while the store was asked.
    if (signal.aborted) stop();
    const depose = (reason: string): void => {
      if (ended.signal.aborted) return;
      this.log.warn('The term ends', { share, fencingToken, reason });
      ended.abort();
    };
    const term: Term = {
      fencingToken,
      signal: ended.signal,
      // The store may have taken the lease back although its answer was lost.
      certainUntilMs: () => Math.min(this.confirmedMs + LEASE_MS - LEASE_MARGIN_MS, givenBackMs),
      unconfirmedMs: () => this.options.clock.monotonicMs() - this.confirmedMs,
      depose,
    };
    await Promise.all([this.renew(leaseId, term), this.expire(term), this.options.serve(term)]);
    offAbort(signal, stop);
    this.endTerm = undefined;
    if (handover) await handover;
    else await this.giveBack(leaseId);
  }

  /** A stopping owner goes on until the store has taken its lease back, or there is no time left. */
  private async handOver(leaseId: string, ended: AbortController): Promise<void> {
    const { clock, handoverMs } = this.options;
    const untilMs = clock.monotonicMs() + handoverMs;
    while (!ended.signal.aborted && clock.monotonicMs() < untilMs) {
      if (await this.giveBack(leaseId)) break;
      await clock.sleep(HANDOVER_RETRY_MS, ended.signal);
    }
    ended.abort();
  }

  private async giveBack(leaseId: string): Promise<boolean> {
    const { share, store, clock } = this.options;
    const freed = await store.revokeLease(leaseId, callWithin(clock, CALL_TIMEOUT_MS));
    this.log.info('The lease was given back', { share, leaseId, answered: freed.ok });
    return freed.ok;
  }

  private async renew(leaseId: string, term: Term): Promise<void> {
    const { store, clock } = this.options;
    // The election itself may have taken long.
    let waitMs = Math.max(0, RENEWAL_MS - term.unconfirmedMs());
    while (!term.signal.aborted) {
      await clock.sleep(waitMs, term.signal);
      waitMs = RENEWAL_MS;
      if (term.signal.aborted) return;
      const sentMs = clock.monotonicMs();
      const call = callWithin(clock, CALL_TIMEOUT_MS, term.signal);
      const renewed = await store.renewLease(leaseId, call);
      if (renewed.ok && renewed.val) this.confirmedMs = sentMs;
      if (renewed.ok && !renewed.val) {
        // The key went with the lease, so a rival may have been elected already.
        term.depose('the lease has ended');
      }
    }
  }

  /** Ends a term that is unconfirmed for too long, however long calls to the store take. */
  private async expire(term: Term): Promise<void> {
    while (!term.signal.aborted) {
      const unconfirmedMs = term.unconfirmedMs();
      if (unconfirmedMs > LONGEST_UNCONFIRMED_MS) {
        term.depose(`the lease is unconfirmed for ${Math.round(unconfirmedMs)} ms`);
        return;
      }
      await this.options.clock.sleep(LONGEST_UNCONFIRMED_MS - unconfirmedMs + 1, term.signal);
    }
  }
}
