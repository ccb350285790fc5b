/**
 * The shares of the site as an entry sees them: who owns each, and which jobs wait.
 */
import { partLog } from '../../observability/log.js';
import { ShareLayout } from '../model/shareLayout.js';

import { LAYOUT_KEY, parseShareKey } from './jobKeys.js';

/** Who owns a share. */
export interface OwnerRecord {
  readonly entry: string;
  /** Names the process, so that a restarted entry knows a lease of its former life. */
  readonly process: string;
  /** What its VM has of a core of the usual speed. */
  readonly processorShare: number;
  readonly dataCentre: string;
  readonly revision: number;
}

/** Jobs of a share that no task was started of. */
export interface WaitingJobs {
  /** Revision up to which all accepted jobs are told of. */
  readonly revision: number;
  readonly ids: ReadonlySet<string>;
}

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
 * Writes who owns a share.
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

/** An entry that asks the owner of a share for it. */
export interface ShareClaim {
  readonly entry: string;
  /** The term that it asks to end. */
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

/** Holds layout, owners and waiting jobs. */
export class ShareDirectory {
  private readonly log = partLog('shares');

  private knownLayout: ShareLayout | undefined;

  private readonly owners = new Map<string, OwnerRecord>();

  private readonly waitingByShare = new Map<string, WaitingJobs>();

  private readonly claims = new Map<string, ShareClaim>();

  private fastestProcessorShare = 0;

  private changeCount = 0;

  /** @returns the shares of the site; undefined until they are known */
  get layout(): ShareLayout | undefined {
    return this.knownLayout;
  }

  /** @returns another number whenever the layout, an owner or a claim has changed */
  get version(): number {
    return this.changeCount;
  }

  /**
   * Compares a VM with that of the fastest owner so far, or with a whole core before the first one.
   *
   * @param processorShare - what the VM has of a core of the usual speed
   * @returns from 0 to 1, which is as fast or faster
   */
  relativeSpeedOf(processorShare: number): number {
    return Math.min(1, processorShare / (this.fastestProcessorShare || 1));
  }

  /**
   * Tells who owns a share.
   *
   * @param share - id of the share
   * @returns the owner's record, or undefined while there is none
   */
  owner(share: string): OwnerRecord | undefined {
    return this.owners.get(share);
  }

  /**
   * Tells which jobs of a share wait, as its owner told last.
   *
   * @param share - id of the share
   * @returns the jobs
   */
  waitingJobsOf(share: string): WaitingJobs {
    return this.waitingByShare.get(share) ?? NONE_WAITING;
  }

  /**
   * Tells which entry asks the owner of a share for it.
   *
   * @param share - id of the share
   * @returns the claim; undefined if there is none
   */
  claimOf(share: string): ShareClaim | undefined {
    return this.claims.get(share);
  }

  /** Forgets owners and claims: a listing follows. */
  clearOwners(): void {
    this.owners.clear();
    this.claims.clear();
    this.changeCount += 1;
  }

  /**
   * Takes a change of the layout.
   *
   * @param value - text from the store; undefined if it was removed, which changes nothing
   */
  applyLayout(value: string | undefined): void {
    if (value === undefined || this.knownLayout?.encode() === value) return;
    if (this.knownLayout) {
      this.log.error('The layout of shares has changed; the former one stays', { key: LAYOUT_KEY });
      return;
    }
    try {
      this.knownLayout = ShareLayout.decode(value);
      this.changeCount += 1;
      this.log.info('The shares are known', {
        shares: this.knownLayout.shares.map(({ id }) => id).join(' '),
      });
    } catch (error) {
      this.log.error('The layout of shares cannot be read', { reason: String(error) });
    }
  }

  /**
   * Takes a change of a key of a share.
   *
   * @param key - the key
   * @param value - its text; undefined if it was removed
   * @param revision - revision of the change
   * @returns the share whose owner has changed; undefined if none has
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
    if (value === undefined) this.owners.delete(share);
    else this.setOwner(share, decodeOwner(value, revision));
    return share;
  }

  private setOwner(share: string, owner: OwnerRecord): void {
    this.owners.set(share, owner);
    this.fastestProcessorShare = Math.max(this.fastestProcessorShare, owner.processorShare);
  }
}
