/**
 * Which workers belong together: a share has one owner, which decides for its workers alone.
 */
import { z } from 'zod';

/** Workers of a data centre, or some of its racks. */
export interface Share {
  /** Names the share in keys of the store. */
  readonly id: string;
  /** Its only data centre; none for a share that is the whole site. */
  readonly dataCentres: readonly string[];
}

/** What a worker's share depends on. */
export interface WorkerLocation {
  readonly id: string;
  readonly dataCentre: string;
  /** Its rack is the last one. */
  readonly labels: readonly string[];
}

const LAYOUT = z.object({
  shares: z.array(z.object({ id: z.string().min(1), dataCentres: z.array(z.string()) })),
});

/** Id of the share of a site that is not divided. */
export const WHOLE_SITE_SHARE_ID = 'site';

/** Name of a data centre as part of a key. */
const toShareId = (dataCentre: string): string => encodeURIComponent(dataCentre);

const sumOfCharCodes = (text: string): number =>
  [...text].reduce((sum, character) => sum + character.charCodeAt(0), 0);

/** The shares of a site. They do not change while the site lives. */
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
   * Makes the layout of a site that is not divided.
   *
   * @returns the layout
   */
  static undivided(): ShareLayout {
    return new ShareLayout([{ id: WHOLE_SITE_SHARE_ID, dataCentres: [] }]);
  }

  /**
   * Makes a layout in which each data centre has shares of its own.
   *
   * @param parts - how many shares each data centre has, by its name
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
   * Reads a layout.
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
   * Finds the share of a worker: racks stay together. Data centres that the layout does not name belong
   * to the first share.
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
   * Finds the home of a job. One that was accepted before the shares were known, or whose home is not
   * among them, gets one by its id.
   *
   * @param home - id of the home as it was accepted
   * @param jobId - the job
   * @returns the share
   */
  homeOf(home: string, jobId: string): Share {
    const named = this.shares.find((share) => share.id === home);
    return named ?? this.shares[sumOfCharCodes(jobId) % this.shares.length] ?? this.shares[0];
  }
}
