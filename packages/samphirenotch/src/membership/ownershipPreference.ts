/**
 * Which resources this entry should own, seen from the members that live.
 */
import type { Clock } from '../time/clock.js';
import type { EntryDirectory } from './entryDirectory.js';
import { rankMembers } from './rendezvous.js';

/** How long a member is known before resources are handed over to it, in milliseconds. */
const MEMBER_SETTLE_MS = 1000;

/** How much longer each next member waits before it takes a resource that nobody owns. */
const RANK_DELAY_MS = 1500;

/** How long a resource stays that was taken in place of the preferred member. */
const MINIMUM_SUBSTITUTE_HOLD_MS = 30_000;

/** The wish of one entry to own resources. */
export class OwnershipPreference {
  private readonly rankings = new Map<string, readonly string[]>();

  private readonly unownedSinceMs = new Map<string, number>();

  private readonly keepUntilMs = new Map<string, number>();

  /**
   * @param clock - for delays
   * @param directory - members
   * @param selfId - id of this entry
   */
  constructor(
    private readonly clock: Clock,
    private readonly directory: EntryDirectory,
    private readonly selfId: string,
  ) {
    directory.onChange(() => this.rankings.clear());
  }

  /**
   * Tells whether this entry comes first for a resource.
   *
   * @param resource - the resource
   * @returns true if it does
   */
  isPreferred(resource: string): boolean {
    return this.rankOf(resource) === 0;
  }

  /**
   * Tells whether this entry should take a resource that nobody owns. Others than the preferred one
   * wait in turn.
   *
   * @param resource - the resource
   * @returns true if it should now
   */
  mayAcquire(resource: string): boolean {
    const nowMs = this.clock.monotonicMs();
    const rank = this.rankOf(resource);
    if (rank < 0 || this.knownForMs(this.selfId) < MEMBER_SETTLE_MS) return false;
    const sinceMs = this.unownedSinceMs.get(resource) ?? nowMs;
    this.unownedSinceMs.set(resource, sinceMs);
    return nowMs >= sinceMs + rank * RANK_DELAY_MS;
  }

  /**
   * Notes that a resource has an owner.
   *
   * @param resource - the resource
   */
  recordOwner(resource: string): void {
    this.unownedSinceMs.delete(resource);
  }

  /**
   * Notes that this entry took a resource.
   *
   * @param resource - the resource
   */
  recordAcquisition(resource: string): void {
    this.unownedSinceMs.delete(resource);
    this.keepUntilMs.delete(resource);
    if (this.isPreferred(resource)) return;
    this.keepUntilMs.set(resource, this.clock.monotonicMs() + MINIMUM_SUBSTITUTE_HOLD_MS);
  }

  /**
   * Tells whether an owned resource should go to a member that comes first and has settled.
   *
   * @param resource - the resource
   * @returns true if it should
   */
  shouldHandOver(resource: string): boolean {
    if (this.clock.monotonicMs() < (this.keepUntilMs.get(resource) ?? 0)) return false;
    const [first] = this.rankingOf(resource);
    return (
      first !== undefined && first !== this.selfId && this.knownForMs(first) >= MEMBER_SETTLE_MS
    );
  }

  private rankOf(resource: string): number {
    return this.rankingOf(resource).indexOf(this.selfId);
  }

  private rankingOf(resource: string): readonly string[] {
    const cached = this.rankings.get(resource);
    if (cached) return cached;
    const members = this.directory.entries().filter(({ leaving }) => !leaving);
    const ranking = rankMembers(resource, members);
    this.rankings.set(resource, ranking);
    return ranking;
  }

  private knownForMs(id: string): number {
    const entry = this.directory.entries().find((each) => each.id === id);
    return entry ? this.clock.monotonicMs() - entry.firstSeenMs : 0;
  }
}
