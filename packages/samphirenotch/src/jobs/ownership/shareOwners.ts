/**
 * The shares that an entry owns: it is a candidate for every share of the site, and for those of
 * its own data centre first.
 */
import pLimit from 'p-limit';

import { rendezvousScore } from '../../membership/rendezvous.js';
import { partLog } from '../../observability/log.js';

import type { Share, ShareLayout } from '../model/shareLayout.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { Term } from '../store/term.js';
import { JobOwner, type JobOwnerOptions } from './jobOwner.js';
import { LayoutInitializer } from './layoutInitializer.js';
import { OwnerElection } from './ownerElection.js';
import { ShareClaims } from './shareClaims.js';

/** Delay of candidates from another data centre than the share's, in milliseconds. */
const REMOTE_CANDIDATE_DELAY_MS = 500;

/**
 * Spread of the delays of such candidates, in milliseconds: not all should call the store at once.
 */
const REMOTE_CANDIDATE_SPREAD_MS = 300;

/** Delay of a candidate for each share that it owns already, in milliseconds. */
const DELAY_PER_OWNED_SHARE_MS = 800;

/** Delay of candidates for a share that another entry claims, in milliseconds. */
const CLAIMED_SHARE_DELAY_MS = 1_000;

/**
 * Shortest term after which a share is handed over to the entry that claims it, in milliseconds.
 */
const MIN_TERM_MS = 2_000;

/** Settings and collaborators of `ShareOwners`. */
export interface ShareOwnersOptions extends Omit<JobOwnerOptions, 'share' | 'layout'> {
  readonly replica: JobReplica;
  /** Name of this entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** All data centres of the site; undefined if they are not known. */
  readonly siteDataCentres?: ReadonlySet<string> | undefined;
  /** How long a stopping owner goes on while the store does not confirm the revocation, in ms. */
  readonly handoverMs: number;
  /** CPU of the entry's VM, as a fraction of a core of usual speed. */
  readonly processorShare: number;
  /** Time for workers to register before the site is first divided into shares, in milliseconds. */
  readonly layoutSettleMs: number;
}

/** Runs the elections and terms of one entry, one per share. */
export class ShareOwners {
  private readonly log = partLog('shares');

  private readonly owners = new Map<string, JobOwner>();

  /** Monotonic time of the election, in milliseconds, by id of the shares that this entry owns. */
  private readonly heldSinceMs = new Map<string, number>();

  /** Serializes attempts, so that each one sees whether the one before was elected. */
  private readonly attemptLimit = pLimit(1);

  private elections: readonly OwnerElection[] = [];

  /** Version of the owner records when the elections were last notified. */
  private seenVersion = -1;

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: ShareOwnersOptions) {}

  /** @returns the owners of the terms in progress in this process */
  all(): readonly JobOwner[] {
    return [...this.owners.values()];
  }

  /** Checks the replica again after a change. */
  notify(): void {
    const { version } = this.options.replica.shares;
    // Jobs change all the time, owners hardly ever.
    if (version !== this.seenVersion) this.elections.forEach((election) => election.notify());
    this.seenVersion = version;
    this.resignClaimedShares();
  }

  /**
   * Takes part in the elections of all shares and serves the terms won; revokes the leases at the
   * end.
   *
   * @param signal - ends elections and terms
   */
  async run(signal: AbortSignal): Promise<void> {
    const { replica } = this.options;
    const { shares } = replica;
    await new LayoutInitializer({
      ...this.options,
      shares,
      settleMs: this.options.layoutSettleMs,
      isRead: () => replica.revision() > 0,
    }).run(signal);
    const { layout } = shares;
    if (!layout) return;
    this.elections = layout.shares.map((share) => this.electionFor(share, layout));
    const claims = new ShareClaims({
      ...this.options,
      shares,
      layout,
      isBusy: () =>
        layout.shares.some((share) => this.isLocal(share) && this.heldSinceMs.has(share.id)),
    });
    await Promise.all([
      claims.run(signal),
      ...this.elections.map((election) => election.run(signal)),
    ]);
  }

  /** Hands shares over to the entries that claim them. */
  private resignClaimedShares(): void {
    const { replica, entry, clock } = this.options;
    replica.shares.layout?.shares.forEach(({ id }) => {
      const claim = replica.shares.claimOf(id);
      const owner = replica.shares.owner(id);
      if (!claim || claim.entry === entry || claim.fencingToken !== owner?.revision) return;
      const sinceMs = this.heldSinceMs.get(id);
      if (sinceMs === undefined || clock.monotonicMs() < sinceMs + MIN_TERM_MS) return;
      this.elections
        .find((election) => election.share === id)
        ?.resign(`${claim.entry} asks for it`);
    });
  }

  private isLocal({ dataCentres }: Share): boolean {
    return dataCentres.length === 0 || dataCentres.includes(this.options.dataCentre);
  }

  private electionFor(share: Share, layout: ShareLayout): OwnerElection {
    return new OwnerElection({
      ...this.options,
      share: share.id,
      candidacyDelayMs: () => this.delayBeforeCandidacyMs(share),
      runExclusively: (attempt) => this.attemptLimit(attempt),
      onElected: () => this.heldSinceMs.set(share.id, this.options.clock.monotonicMs()),
      prepareHandover: async (whenRenewed) =>
        this.owners.get(share.id)?.prepareHandover(whenRenewed),
      serve: (term) => this.serve(share, layout, term),
    });
  }

  private delayBeforeCandidacyMs(share: Share): number {
    const { entry, replica } = this.options;
    const claim = replica.shares.claimOf(share.id);
    if (claim?.entry === entry) return 0;
    const claimedMs = claim === undefined ? 0 : CLAIMED_SHARE_DELAY_MS;
    const busyMs = claimedMs + DELAY_PER_OWNED_SHARE_MS * this.heldSinceMs.size;
    if (this.isLocal(share)) return busyMs;
    return (
      busyMs +
      REMOTE_CANDIDATE_DELAY_MS +
      (1 - rendezvousScore(share.id, entry)) * REMOTE_CANDIDATE_SPREAD_MS
    );
  }

  private async serve(share: Share, layout: ShareLayout, term: Term): Promise<void> {
    const owner = new JobOwner({ ...this.options, share, layout }, term);
    this.owners.set(share.id, owner);
    try {
      await owner.serve();
    } finally {
      this.owners.delete(share.id);
      this.heldSinceMs.delete(share.id);
      this.log.info('This entry no longer owns the share', { share: share.id });
    }
  }
}
