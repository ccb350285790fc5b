/**
 * Claims shares that this entry would serve better than their owner does.
 *
 * An owner in the data centre of its workers goes on when that data centre is cut off, and one on a
 * faster VM keeps up with bursts. The current owner hands the share over to an entry that claims it
 * and does not own a share of its own data centre yet.
 */
import { rendezvousScore } from '../../membership/rendezvous.js';
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import type { ShareLayout } from '../model/shareLayout.js';
import { keysOfShare } from '../store/jobKeys.js';
import { encodeClaim, type OwnerRecord, type ShareDirectory } from '../store/shareDirectory.js';

/** Time between two checks of the owners of shares, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/**
 * How long this entry must be the better owner before it claims a share, in milliseconds. The
 * hysteresis keeps shares from moving back and forth.
 */
const MIN_BETTER_MS = 3_000;

/**
 * How many times faster than the owner's VM this one must be to claim a share: a move costs a
 * takeover.
 */
const MIN_SPEED_RATIO = 2;

/**
 * Longest further delay of a claim, in milliseconds: keeps entries from claiming at the same time.
 */
const MAX_CLAIM_DELAY_MS = 1_500;

/** Time to live of a claim, in milliseconds. */
const CLAIM_LEASE_MS = 4_000;

/** Timeout of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 600;

/** Settings and collaborators of `ShareClaims`. */
export interface ShareClaimsOptions {
  readonly store: TransactionStore;
  readonly shares: ShareDirectory;
  readonly layout: ShareLayout;
  readonly clock: Clock;
  /** Name of this entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** CPU of the entry's VM, as a fraction of a core of usual speed. */
  readonly processorShare: number;
  /** Returns whether the entry owns a share of its data centre, or was elected for one. */
  readonly isBusy: () => boolean;
}

/** Claims shares on behalf of one entry. */
export class ShareClaims {
  private readonly log = partLog('shares');

  /**
   * Monotonic time since when this entry would be the better owner, in milliseconds, by share id.
   */
  private readonly betterSinceMs = new Map<string, number>();

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: ShareClaimsOptions) {}

  /**
   * Claims shares until the signal is aborted.
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

  /** Entries on faster VMs claim earlier. */
  private claimDelayMs(share: string): number {
    const { entry, processorShare, shares } = this.options;
    const slowness = 1 - shares.relativeSpeedOf(processorShare);
    return (slowness + 1 - rendezvousScore(share, entry)) * (MAX_CLAIM_DELAY_MS / 2);
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
    this.log.info('A share is claimed', {
      share,
      owner: owner.entry,
      ownerDataCentre: owner.dataCentre,
      ownerProcessorShare: owner.processorShare,
      outcome: outcome.ok ? outcome.val.kind : outcome.val.message,
    });
  }
}
