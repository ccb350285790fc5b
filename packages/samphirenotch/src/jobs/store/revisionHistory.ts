/**
 * When this process saw that the store had reached a revision, and that it had not gone beyond it. Both bound
 * the age of what is written, also by other processes.
 */
import type { Clock } from '../../time/clock.js';

/** Time between two revisions that are kept, in milliseconds. */
const SPACING_MS = 100;

/** Most revisions that are kept: more than the longest wait for leases needs. */
const MAX_KEPT = 400;

interface SeenRevision {
  readonly revision: number;
  /** Monotonic time of the first answer of that revision, in milliseconds. */
  readonly seenMs: number;
  /** Monotonic time at which the newest call with an answer of that revision was sent, in milliseconds. */
  readonly askedMs: number;
}

/** A sample of the revisions that this process has seen. */
export class RevisionHistory {
  /** Oldest first. */
  private seen: SeenRevision[] = [];

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Notes an answer of the store that shows its revision.
   *
   * @param revision - the revision
   * @param askedMs - monotonic time at which the call was sent, in milliseconds
   */
  add(revision: number, askedMs: number): void {
    const newest = this.seen.at(-1);
    if (newest && revision <= newest.revision) {
      if (revision === newest.revision && askedMs > newest.askedMs)
        this.seen.splice(-1, 1, { ...newest, askedMs });
      return;
    }
    const seenMs = this.clock.monotonicMs();
    const before = this.seen.at(-2);
    // A later time for the same revisions is still right: they had been written by then.
    if (before && seenMs < before.seenMs + SPACING_MS) this.seen.pop();
    this.seen.push({ revision, seenMs, askedMs });
    if (this.seen.length > MAX_KEPT) this.seen.shift();
  }

  /**
   * Returns a time by which a revision had been written.
   *
   * @param revision - a revision that the store has reached
   * @returns monotonic time in milliseconds, not later than now
   */
  writtenByMs(revision: number): number {
    const first = this.seen.find((each) => each.revision >= revision);
    return first?.seenMs ?? this.clock.monotonicMs();
  }

  /**
   * Returns a time at which no later revision had been written.
   *
   * @param revision - a revision
   * @returns monotonic time in milliseconds; negative infinity if none is known
   */
  notBeyondMs(revision: number): number {
    const last = this.seen.findLast((each) => each.revision <= revision);
    return last?.askedMs ?? Number.NEGATIVE_INFINITY;
  }
}
