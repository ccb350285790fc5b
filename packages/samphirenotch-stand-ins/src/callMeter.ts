/**
 * Counts calls to the platform stand-in and enforces its rate ceilings.
 */

/** Calls seen so far; a waiting watch counts as one. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly refused: number;
}

/** Calls that the store takes in a second. */
export interface RateCeilings {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

const MS_PER_SECOND = 1000;

/** A kind of call. */
export type CallKind = 'read' | 'write' | 'watch';

/** Counts calls within windows of a second. */
export class CallMeter {
  private reads = 0;

  private writes = 0;

  private watches = 0;

  private refused = 0;

  private windowStartMs = 0;

  private windowReads = 0;

  private windowWrites = 0;

  /**
   * @param ceilings - calls that are let through in a second
   */
  constructor(private readonly ceilings: RateCeilings) {}

  /**
   * Counts a call.
   *
   * @param kind - the kind of call; a watch is counted as a read
   * @param nowMs - monotonic time in milliseconds
   * @returns milliseconds to wait if the call is over the ceiling, else 0
   */
  admit(kind: CallKind, nowMs: number): number {
    if (nowMs - this.windowStartMs >= MS_PER_SECOND) this.openWindow(nowMs);
    if (this.isOver(kind)) {
      this.refused += 1;
      return Math.max(1, this.windowStartMs + MS_PER_SECOND - nowMs);
    }
    this.count(kind);
    return 0;
  }

  /** @returns the counts so far */
  counts(): CallCounts {
    const { reads, writes, watches, refused } = this;
    return { reads, writes, watches, refused };
  }

  private openWindow(nowMs: number): void {
    this.windowStartMs = nowMs;
    this.windowReads = 0;
    this.windowWrites = 0;
  }

  private isOver(kind: CallKind): boolean {
    if (kind === 'write') return this.windowWrites >= this.ceilings.writesPerSecond;
    return this.windowReads >= this.ceilings.readsPerSecond;
  }

  private count(kind: CallKind): void {
    if (kind === 'write') {
      this.writes += 1;
      this.windowWrites += 1;
      return;
    }
    this.windowReads += 1;
    if (kind === 'watch') this.watches += 1;
    else this.reads += 1;
  }
}
