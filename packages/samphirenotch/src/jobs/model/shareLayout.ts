/**
 * Division of a site into shares: groups of workers, each scheduled by a single owner.
 */
import { z } from 'zod';

/** A share: the workers of a data centre or of some of its racks, or of the whole site. */
export interface Share {
  /** Part of the share's keys in the store. */
  readonly id: string;
  /** Its only data centre; empty for a share that is the whole site. */
  readonly dataCentres: readonly string[];
}

/** Properties of a worker that determine its share. */
export interface WorkerLocation {
  readonly id: string;
  readonly dataCentre: string;
  /** Labels of the worker; the last one is its rack. */
  readonly labels: readonly string[];
}

const LAYOUT = z.object({
  shares: z.array(z.object({ id: z.string().min(1), dataCentres: z.array(z.string()) })),
});

/** Id of the share of a site that is not divided. */
export const WHOLE_SITE_SHARE_ID = 'site';

/** Escapes the name of a data centre for use in a key. */
const toShareId = (dataCentre: string): string => encodeURIComponent(dataCentre);

const sumOfCharCodes = (text: string): number =>
  [...text].reduce((sum, character) => sum + character.charCodeAt(0), 0);

/** The shares of a site. They never change once they are stored. */
export class ShareLayout {
  private readonly byDataCentre = new Map<string, [Share, ...Share[]]>();

  /**
   * @param shares - all shares, at least one
   */
  constructor(readonly shares: readonly [Share, ...Share[]]) {
    shares.forEach((share) => {
      const [name = ''] = share.dataCentres;
      this.byDataCentre.set(name, [share, ...(this.byDataCentre.get(name) ?? [])]);
    });
  }

  /**
   * Creates the layout of a site that is not divided.
   *
   * @returns the layout
   */
  static undivided(): ShareLayout {
    return new ShareLayout([{ id: WHOLE_SITE_SHARE_ID, dataCentres: [] }]);
  }

  /**
   * Creates a layout in which each data centre has its own shares.
   *
   * @param parts - number of shares by name of the data centre
   * @returns the layout
   */
  static byDataCentre(parts: ReadonlyMap<string, number>): ShareLayout {
    const [first, ...others] = [...parts.keys()].sort().flatMap((name) => {
      const count = Math.max(1, parts.get(name) ?? 1);
      return Array.from({ length: count }, (_, part) => ({
        id: count === 1 ? toShareId(name) : `${toShareId(name)}.${part + 1}`,
        dataCentres: [name],
      }));
    });
    return first ? new ShareLayout([first, ...others]) : ShareLayout.undivided();
  }

  /**
   * Decodes a layout.
   *
   * @param text - text from the store
   * @returns the layout
   * @throws if the text was not written by `encode`
   */
  static decode(text: string): ShareLayout {
    const { shares } = LAYOUT.parse(JSON.parse(text));
    const [first, ...others] = shares;
    if (!first) throw new Error('a site has at least one share');
    return new ShareLayout([first, ...others]);
  }

  /** @returns text for the store */
  encode(): string {
    return JSON.stringify({ shares: this.shares });
  }

  /**
   * Finds the share of a worker. Workers of one rack are always in the same share. Data centres
   * that the layout does not contain belong to the first share.
   *
   * @param worker - the worker
   * @returns the share
   */
  shareOfWorker({ id, dataCentre, labels }: WorkerLocation): Share {
    const [first, ...others] = this.byDataCentre.get(dataCentre) ?? [this.shares[0]];
    if (others.length === 0) return first;
    const shares = [first, ...others];
    return shares[sumOfCharCodes(labels.at(-1) ?? id) % shares.length] ?? first;
  }

  /**
   * Finds the home of a job. If the job names no share of this layout, e.g. because it was accepted
   * before the layout was known, its home is derived from a hash of its id.
   *
   * @param home - id of the home as stored with the job
   * @param jobId - id of the job
   * @returns the home share
   */
  homeOf(home: string, jobId: string): Share {
    const named = this.shares.find((share) => share.id === home);
    return named ?? this.shares[sumOfCharCodes(jobId) % this.shares.length] ?? this.shares[0];
  }
}
