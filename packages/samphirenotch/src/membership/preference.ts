/**
 * Which resources this entry should own, seen from the members that live.
 */
import type { Clock } from '../time/clock.js';
import type { EntryDirectory } from './entryDirectory.js';
import { rankMembers } from './rendezvous.js';

/** How long a member is known before resources are handed over to it, in milliseconds. */
const SETTLE_MS = 1000;

/** How much longer each next member waits before it takes a resource that nobody owns. */
const RANK_DELAY_MS = 1500;

/** How long a resource stays that was taken in place of the preferred member. */
const STAND_IN_MS = 30_000;

/** The wish of one entry to own resources. */
export class Preference {
  private readonly ranks = new Map<string, readonly string[]>();

  private readonly orphanedAtMs = new Map<string, number>();

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
    directory.onChange(() => this.ranks.clear());
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
    if (rank < 0 || this.ageMs(this.selfId) < SETTLE_MS) return false;
    const since = this.orphanedAtMs.get(resource) ?? nowMs;
    this.orphanedAtMs.set(resource, since);
    return nowMs >= since + rank * RANK_DELAY_MS;
  }

  /**
   * Notes that a resource has an owner.
   *
   * @param resource - the resource
   */
  sawOwner(resource: string): void {
    this.orphanedAtMs.delete(resource);
  }

  /**
   * Notes that this entry took a resource.
   *
   * @param resource - the resource
   */
  acquired(resource: string): void {
    this.orphanedAtMs.delete(resource);
    this.keepUntilMs.delete(resource);
    if (this.isPreferred(resource)) return;
    this.keepUntilMs.set(resource, this.clock.monotonicMs() + STAND_IN_MS);
  }

  /**
   * Tells whether an owned resource should go to a member that comes first and has settled.
   *
   * @param resource - the resource
   * @returns true if it should
   */
  shouldHandOver(resource: string): boolean {
    if (this.clock.monotonicMs() < (this.keepUntilMs.get(resource) ?? 0)) return false;
    const [first] = this.rankedOf(resource);
    return first !== undefined && first !== this.selfId && this.ageMs(first) >= SETTLE_MS;
  }

  private rankOf(resource: string): number {
    return this.rankedOf(resource).indexOf(this.selfId);
  }

  private rankedOf(resource: string): readonly string[] {
    const known = this.ranks.get(resource);
    if (known) return known;
    const members = this.directory.entries().filter(({ leaving }) => !leaving);
    const ranked = rankMembers(resource, members);
    this.ranks.set(resource, ranked);
    return ranked;
  }

  private ageMs(id: string): number {
    const entry = this.directory.entries().find((each) => each.id === id);
    return entry ? this.clock.monotonicMs() - entry.firstSeenMs : 0;
  }
}
