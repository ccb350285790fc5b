/**
 * When this process first saw that the store had reached a revision. It bounds the age of what was written
 * before, also of what other processes wrote.
 */
import type { Clock } from '../../time/clock.js';

/** Time between two revisions that are kept, in milliseconds. */
const SPACING_MS = 100;

/** Most revisions that are kept: more than the longest wait for leases needs. */
const MAX_KEPT = 400;

interface SeenRevision {
  readonly revision: number;
  /** Monotonic time in milliseconds. */
  readonly seenMs: number;
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
   * Notes that the store has reached a revision.
   *
   * @param revision - the revision
   */
  add(revision: number): void {
    const newest = this.seen.at(-1);
    if (newest && revision <= newest.revision) return;
    const seenMs = this.clock.monotonicMs();
    const before = this.seen.at(-2);
    // A later time for the same revisions is still right: they had been written by then.
    if (before && seenMs < before.seenMs + SPACING_MS) this.seen.pop();
    this.seen.push({ revision, seenMs });
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
}
