/**
 * The shares of the site as known to an entry: layout, owners, claims and waiting jobs.
 */
import { partLog } from '../../observability/log.js';
import { ShareLayout } from '../model/shareLayout.js';

import { LAYOUT_KEY, parseShareKey } from './jobKeys.js';

/** The owner of a share. */
export interface OwnerRecord {
  readonly entry: string;
  /** Id of the process, by which a restarted entry recognises a lease of its previous process. */
  readonly process: string;
  /** Processor of its VM, as a fraction of a core of standard speed. */
  readonly processorShare: number;
  readonly dataCentre: string;
  /** Store revision at which it acquired the share. */
  readonly revision: number;
}

/** Jobs of a share of which no task has started. */
export interface WaitingJobs {
  /** Store revision up to which accepted jobs are covered. */
  readonly revision: number;
  readonly ids: ReadonlySet<string>;
}

/** Most changes of the owner of a share that are remembered. */
const MAX_OWNER_CHANGES = 32;

const NONE_WAITING: WaitingJobs = { revision: 0, ids: new Set() };

const decodeWaiting = (value: string): WaitingJobs => {
  const [revision = '0', ...ids] = value.split(' ');
  return { revision: Number(revision), ids: new Set(ids.filter((id) => id !== '')) };
};

const decodeOwner = (value: string, revision: number): OwnerRecord => {
  const [entry = '', process = '', share = '0', dataCentre = ''] = value.split(' ');
  return {
    entry,
    process,
    processorShare: Number(share),
    dataCentre: decodeURIComponent(dataCentre),
    revision,
  };
};

/**
 * Encodes the owner of a share.
 *
 * @param owner - the owner
 * @returns text for the store
 */
export const encodeOwner = ({
  entry,
  process,
  processorShare,
  dataCentre,
}: Omit<OwnerRecord, 'revision'>): string =>
  `${entry} ${process} ${processorShare} ${encodeURIComponent(dataCentre)}`;

/** Request by an entry that the owner of a share hands it over. */
export interface ShareClaim {
  readonly entry: string;
  /** Fencing token of the term that is to end. */
  readonly fencingToken: number;
}

/**
 * Encodes a claim.
 *
 * @param claim - the claim
 * @returns text for the store
 */
export const encodeClaim = ({ fencingToken, entry }: ShareClaim): string =>
  `${fencingToken} ${entry}`;

const decodeClaim = (value: string): ShareClaim => {
  const [token = '0', entry = ''] = value.split(' ');
  return { entry, fencingToken: Number(token) };
};

/** Holds the layout, owners, claims and waiting jobs of shares. */
export class ShareDirectory {
  private readonly log = partLog('shares');

  private knownLayout: ShareLayout | undefined;

  private readonly owners = new Map<string, OwnerRecord>();

  /** Store revisions at which the owner key of a share has changed, oldest first. */
  private readonly ownerChanges = new Map<string, readonly number[]>();

  private readonly waitingByShare = new Map<string, WaitingJobs>();

  private readonly claims = new Map<string, ShareClaim>();

  private fastestProcessorShare = 0;

  private changeCount = 0;

  /** @returns the shares of the site; undefined until they are known */
  get layout(): ShareLayout | undefined {
    return this.knownLayout;
  }

  /** @returns counter that grows with each change of the layout, an owner or a claim */
  get version(): number {
    return this.changeCount;
  }

  /**
   * Compares a VM with that of the fastest owner so far, or with one standard core before the
   * first.
   *
   * @param processorShare - processor of the VM, as a fraction of a core of standard speed
   * @returns relative speed from 0 to 1; 1 for a VM that is as fast or faster
   */
  relativeSpeedOf(processorShare: number): number {
    return Math.min(1, processorShare / (this.fastestProcessorShare || 1));
  }

  /**
   * Returns the owner of a share.
   *
   * @param share - id of the share
   * @returns the owner's record, or undefined while there is none
   */
  owner(share: string): OwnerRecord | undefined {
    return this.owners.get(share);
  }

  /**
   * Looks up by when an owner had lost a share.
   *
   * @param share - id of the share
   * @param fencingToken - token of the owner's term
   * @returns store revision at which the share had another owner or none; undefined if that is not known
   */
  lossOf(share: string, fencingToken: number): number | undefined {
    return this.ownerChanges.get(share)?.find((revision) => revision > fencingToken);
  }

  /**
   * Returns the waiting jobs of a share, as last published by its owner.
   *
   * @param share - id of the share
   * @returns the jobs
   */
  waitingJobsOf(share: string): WaitingJobs {
    return this.waitingByShare.get(share) ?? NONE_WAITING;
  }

  /**
   * Returns the claim on a share.
   *
   * @param share - id of the share
   * @returns the claim; undefined if there is none
   */
  claimOf(share: string): ShareClaim | undefined {
    return this.claims.get(share);
  }

  /** Removes owners and claims, before those of a new listing are applied. */
  clearOwners(): void {
    this.owners.clear();
    this.claims.clear();
    this.changeCount += 1;
  }

  /**
   * Applies a change of the layout.
   *
   * @param value - text from the store; undefined if it was removed, which has no effect
   */
  applyLayout(value: string | undefined): void {
    if (value === undefined || this.knownLayout?.encode() === value) return;
    if (this.knownLayout) {
      this.log.error('The layout of shares has changed; keeping the former one', {
        key: LAYOUT_KEY,
      });
      return;
    }
    try {
      this.knownLayout = ShareLayout.decode(value);
      this.changeCount += 1;
      this.log.info('The shares are known', {
        shares: this.knownLayout.shares.map(({ id }) => id).join(' '),
      });
    } catch (error) {
      this.log.error('Cannot decode the layout of shares', { reason: String(error) });
    }
  }

  /**
   * Applies a change of a key of a share.
   *
   * @param key - the key
   * @param value - its text; undefined if it was removed
   * @param revision - store revision of the change
   * @returns id of the share if its owner has changed; undefined otherwise
   */
  applyShareKey(key: string, value: string | undefined, revision: number): string | undefined {
    const read = parseShareKey(key);
    if (!read) return undefined;
    const { share, kind } = read;
    if (kind === 'waiting') {
      if (value !== undefined) this.waitingByShare.set(share, decodeWaiting(value));
      return undefined;
    }
    this.changeCount += 1;
    if (kind === 'claim') {
      if (value === undefined) this.claims.delete(share);
      else this.claims.set(share, decodeClaim(value));
      return undefined;
    }
    this.noteOwnerChange(share, revision);
    if (value === undefined) this.owners.delete(share);
    else this.setOwner(share, decodeOwner(value, revision));
    return share;
  }

  private noteOwnerChange(share: string, revision: number): void {
    const before = this.ownerChanges.get(share) ?? [];
    if (revision <= (before.at(-1) ?? 0)) return;
    this.ownerChanges.set(share, [...before, revision].slice(-MAX_OWNER_CHANGES));
  }

  private setOwner(share: string, owner: OwnerRecord): void {
    this.owners.set(share, owner);
    this.fastestProcessorShare = Math.max(this.fastestProcessorShare, owner.processorShare);
  }
}
