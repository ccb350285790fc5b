/**
 * What an entry owns: it stands for election for every share of the site, its own data centre's first.
 */
import pLimit from 'p-limit';

import { preferenceOf } from '../../membership/rendezvous.js';
import { partLog } from '../../observability/log.js';

import type { Share, ShareLayout } from '../model/shareLayout.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { Term } from '../store/term.js';
import { JobOwner, type JobOwnerOptions } from './jobOwner.js';
import { LayoutInitializer } from './layoutInitializer.js';
import { OwnerElection } from './ownerElection.js';
import { ShareClaims } from './shareClaims.js';

/** How much later entries of other data centres stand for a share, in milliseconds. */
const REMOTE_CANDIDATE_DELAY_MS = 500;

/** Spread of such entries, in milliseconds: not all are to ask the store at once. */
const REMOTE_CANDIDATE_SPREAD_MS = 300;

/** How much later an entry stands for each share that it owns already, in milliseconds. */
const DELAY_PER_OWNED_SHARE_MS = 800;

/** How much later entries stand for a share that another one asks for, in milliseconds. */
const CLAIMED_SHARE_DELAY_MS = 1_000;

/** Least time that a share is owned before it is handed on, in milliseconds. */
const MIN_TERM_MS = 2_000;

/** What an entry needs to own shares. */
export interface ShareOwnersOptions extends Omit<JobOwnerOptions, 'share' | 'layout'> {
  readonly replica: JobReplica;
  /** Name of the entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** How long a stopping owner goes on while the store does not take its lease back. */
  readonly handoverMs: number;
  /** Share of a core that the entry's VM has. */
  readonly processorShare: number;
  /** Time for workers to list themselves before the site is divided for the first time. */
  readonly layoutSettleMs: number;
}

/** Elections and terms of one entry. */
export class ShareOwners {
  private readonly log = partLog('shares');

  private readonly owners = new Map<string, JobOwner>();

  /** Shares that it has been elected for, or owns, with the monotonic time since when. */
  private readonly heldSinceMs = new Map<string, number>();

  /** An attempt that waits for another one sees what that has won. */
  private readonly attemptLimit = pLimit(1);

  private elections: readonly OwnerElection[] = [];

  /** What was known of owners when elections looked last. */
  private seenVersion = -1;

  /**
   * @param options - store, workers and entry
   */
  constructor(private readonly options: ShareOwnersOptions) {}

  /** @returns the owners in this process */
  all(): readonly JobOwner[] {
    return [...this.owners.values()];
  }

  /** Looks at the replica anew. */
  notify(): void {
    const { version } = this.options.replica.shares;
    // News of jobs come all the time, those of owners hardly ever.
    if (version !== this.seenVersion) this.elections.forEach((election) => election.notify());
    this.seenVersion = version;
    this.resignClaimedShares();
  }

  /**
   * Owns what it is elected for until told to stop; gives it back at the end.
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

  /** Gives shares to entries that ask for them. */
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
      (1 - preferenceOf(share.id, entry)) * REMOTE_CANDIDATE_SPREAD_MS
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
      this.log.info('A share is owned here no more', { share: share.id });
    }
  }
}
