/**
 * Asks for shares that this entry serves better than their owner does.
 *
 * An owner in the data centre of its workers goes on when the data centre is cut off, and one on a faster VM
 * keeps up with bursts. One that has stood in hands over to an entry that asks for it and owns none of its
 * own data centre yet.
 */
import { preferenceOf } from '../../membership/rendezvous.js';
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import type { ShareLayout } from '../model/shareLayout.js';
import { keysOfShare } from '../store/jobKeys.js';
import { encodeClaim, type OwnerRecord, type ShareDirectory } from '../store/shareDirectory.js';

/** Time between two looks at who owns what, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** How long an owner is left alone, in milliseconds: shares are not to move by turns. */
const MIN_BETTER_MS = 3_000;

/** How many times as fast as the owner's a VM has to be for a share to move to it: a move costs a takeover. */
const MIN_SPEED_RATIO = 2;

/** Spread of entries that could ask at the same time, in milliseconds. */
const MAX_CLAIM_DELAY_MS = 1_500;

/** How long a claim lasts, in milliseconds. */
const CLAIM_LEASE_MS = 4_000;

/** Time for one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 600;

/** What claims need. */
export interface ShareClaimsOptions {
  readonly store: TransactionStore;
  readonly shares: ShareDirectory;
  readonly layout: ShareLayout;
  readonly clock: Clock;
  /** Name of the entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** Share of a core that the entry's VM has. */
  readonly processorShare: number;
  /** Tells whether the entry owns a share of its data centre, or has been elected for one. */
  readonly isBusy: () => boolean;
}

/** Claims of one entry. */
export class ShareClaims {
  private readonly log = partLog('shares');

  /** Since when shares would be better served here, in monotonic milliseconds. */
  private readonly betterSinceMs = new Map<string, number>();

  /**
   * @param options - store and entry
   */
  constructor(private readonly options: ShareClaimsOptions) {}

  /**
   * Claims shares until told to stop.
   *
   * @param signal - ends it
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, layout, dataCentre } = this.options;
    const localShares = layout.shares.filter(
      ({ dataCentres }) => dataCentres.length === 0 || dataCentres.includes(dataCentre),
    );
    while (!signal.aborted && localShares.length > 0) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      for (const { id } of localShares) if (!signal.aborted) await this.check(id, signal);
    }
  }

  private async check(share: string, signal: AbortSignal): Promise<void> {
    const { shares, clock, isBusy } = this.options;
    const owner = shares.owner(share);
    if (!owner || !this.isBetterServedHere(share, owner) || isBusy()) {
      this.betterSinceMs.delete(share);
      return;
    }
    const nowMs = clock.monotonicMs();
    const sinceMs = this.betterSinceMs.get(share) ?? nowMs;
    this.betterSinceMs.set(share, sinceMs);
    if (nowMs < sinceMs + MIN_BETTER_MS + this.claimDelayMs(share) || shares.claimOf(share)) return;
    await this.claim(share, owner, signal);
  }

  private isBetterServedHere(share: string, owner: OwnerRecord): boolean {
    const { layout, dataCentre, processorShare } = this.options;
    const coversSite = layout.shares.some(({ id, dataCentres }) => id === share && !dataCentres[0]);
    if (!coversSite && owner.dataCentre !== dataCentre) return true;
    return processorShare >= MIN_SPEED_RATIO * owner.processorShare;
  }

  /** Entries on fast VMs ask first. */
  private claimDelayMs(share: string): number {
    const { entry, processorShare, shares } = this.options;
    const slowness = 1 - shares.relativeSpeedOf(processorShare);
    return (slowness + 1 - preferenceOf(share, entry)) * (MAX_CLAIM_DELAY_MS / 2);
  }

  private async claim(share: string, owner: OwnerRecord, signal: AbortSignal): Promise<void> {
    const { store, clock, entry } = this.options;
    const call = () => callWithin(clock, CALL_TIMEOUT_MS, signal);
    const lease = await store.grantLease(CLAIM_LEASE_MS, call());
    if (lease.err) return;
    const keys = keysOfShare(share);
    const claim = { entry, fencingToken: owner.revision };
    const outcome = await store.commit(
      {
        expectations: [
          { key: keys.owner, revision: owner.revision },
          { key: keys.claim, revision: 0 },
        ],
        writes: [{ key: keys.claim, value: encodeClaim(claim), leaseId: lease.val }],
        removals: [],
      },
      call(),
    );
    this.betterSinceMs.delete(share);
    this.log.info('A share is asked for', {
      share,
      owner: owner.entry,
      ownerDataCentre: owner.dataCentre,
      ownerProcessorShare: owner.processorShare,
      outcome: outcome.ok ? outcome.val.kind : outcome.val.message,
    });
  }
}
