/**
 * Keeps the newest accepted configuration that was heard of, from the store or from peers.
 */
import { partLog } from '../observability/log.js';

/** News that a configuration was the accepted one. */
export interface Sighting {
  readonly version: number;
  readonly digest: string;
  /** Monotonic time at which it was surely the newest accepted one; `-Infinity` if not known. */
  readonly confirmedAtMs: number;
}

/** What became of a sighting. */
export type SightingOutcome = 'newer' | 'same' | 'older' | 'refused';

const log = partLog('configuration');

/** The newest sighting. */
export class Sightings {
  private newestSighting: Sighting | undefined;

  private peersWithNewest = new Set<string>();

  /** @returns the newest accepted configuration heard of */
  newest(): Sighting | undefined {
    return this.newestSighting;
  }

  /** @returns ids of peers that said they have the newest one in force */
  holders(): readonly string[] {
    return [...this.peersWithNewest];
  }

  /**
   * Takes a sighting in. The first digest seen of a version is the only one ever accepted for it.
   *
   * @param sighting - what was heard
   * @param source - `store`, or the id of the peer
   * @param isHolder - whether the source can be asked for the content as a peer
   * @returns how it compares with what was known
   */
  observe(sighting: Sighting, source: string, isHolder: boolean): SightingOutcome {
    const known = this.newestSighting;
    if (known && sighting.version < known.version) return 'older';
    if (known && sighting.version === known.version && sighting.digest !== known.digest) {
      this.refuse(sighting, known, source);
      return 'refused';
    }
    const isNewer = !known || sighting.version > known.version;
    if (isNewer) this.peersWithNewest = new Set();
    if (isHolder) this.peersWithNewest.add(source);
    const confirmedAtMs = isNewer
      ? sighting.confirmedAtMs
      : Math.max(known.confirmedAtMs, sighting.confirmedAtMs);
    this.newestSighting = { ...sighting, confirmedAtMs };
    return isNewer ? 'newer' : 'same';
  }

  private refuse(sighting: Sighting, known: Sighting, source: string): void {
    log.error('Refused a configuration whose digest differs from the one known for its version.', {
      source,
      version: sighting.version,
      digest: sighting.digest,
      knownDigest: known.digest,
    });
  }
}
