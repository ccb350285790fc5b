/**
 * The room of a site over time, from what the owners of its shares have logged.
 */
import type { RoomSighting } from './jobHistory.js';

/** Age up to which a sighting stands for the share, in milliseconds; owners log one a second. */
const VALID_MS = 3_000;

const MS_PER_S = 1_000;

/** Sums over shares, in thousandths of a core. */
export type RoomSums = Readonly<Record<string, number>>;

/** One second of a site. */
export interface RoomSecond {
  readonly second: number;
  readonly shares: number;
  readonly room: RoomSums;
}

/** Answers what room there was at a time. */
export class RoomTimeline {
  private readonly byShare = new Map<string, readonly RoomSighting[]>();

  /**
   * @param sightings - what shares have told
   */
  constructor(private readonly sightings: readonly RoomSighting[]) {
    sightings.forEach((sighting) =>
      this.byShare.set(sighting.share, [...(this.byShare.get(sighting.share) ?? []), sighting]),
    );
    this.byShare.forEach((all, share) =>
      this.byShare.set(
        share,
        [...all].sort((one, other) => one.atMs - other.atMs),
      ),
    );
  }

  /**
   * Adds up the newest sightings of all shares.
   *
   * @param atMs - time in milliseconds
   * @returns the sums, and the number of shares that had told something a moment ago
   */
  at(atMs: number): { readonly shares: number; readonly room: RoomSums } {
    const newest = [...this.byShare.values()].flatMap((all) => {
      const found = all.findLast((each) => each.atMs <= atMs);
      return found && found.atMs > atMs - VALID_MS ? [found] : [];
    });
    const room: Record<string, number> = {};
    newest.forEach((sighting) =>
      Object.entries(sighting.room).forEach(([name, value]) => {
        room[name] = (room[name] ?? 0) + value;
      }),
    );
    return { shares: newest.length, room };
  }

  /**
   * Tells whether more was free than what jobs that could be in time waited for; late ones always wait.
   *
   * @param atMs - time in milliseconds
   * @returns undefined if nothing was told
   */
  hadRoom(atMs: number): boolean | undefined {
    const { shares, room } = this.at(atMs);
    return shares === 0 ? undefined : (room.free ?? 0) > (room.waitingInTime ?? 0);
  }

  /** @returns the sums at the end of each second in which something was told */
  bySecond(): readonly RoomSecond[] {
    const seconds = new Set(this.sightings.map(({ atMs }) => Math.floor(atMs / MS_PER_S)));
    return [...seconds]
      .sort((one, other) => one - other)
      .map((second) => ({ second, ...this.at((second + 1) * MS_PER_S - 1) }));
  }
}
