/**
 * Decides which resources this entry should own, given the live entries.
 */
import type { Clock } from '../time/clock.js';
import type { EntryDirectory } from './entryDirectory.js';
import { rankMembers } from './rendezvous.js';

/** How long an entry must be known before it gets resources, in milliseconds. */
const MEMBER_SETTLE_MS = 1000;

/**
 * Additional wait per rank before an entry acquires a resource without an owner, in milliseconds.
 */
const RANK_DELAY_MS = 1500;

/**
 * Minimum time for which an entry keeps a resource whose preferred owner is another, in
 * milliseconds.
 */
const MINIMUM_SUBSTITUTE_HOLD_MS = 30_000;

/** Preference of this entry to acquire or hand over resources. */
export class OwnershipPreference {
  private readonly rankings = new Map<string, readonly string[]>();

  /** Monotonic time at which each resource was first seen without an owner, in milliseconds. */
  private readonly unownedSinceMs = new Map<string, number>();

  /** Monotonic time until which a resource acquired as a substitute is kept, in milliseconds. */
  private readonly keepUntilMs = new Map<string, number>();

  /**
   * @param clock - for delays
   * @param directory - the live entries
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
   * Checks whether this entry is the preferred owner of a resource.
   *
   * @param resource - name of the resource
   * @returns true if it ranks first
   */
  isPreferred(resource: string): boolean {
    return this.rankOf(resource) === 0;
  }

  /**
   * Checks whether this entry should now acquire a resource without an owner. The preferred entry
   * acquires at once; each lower rank waits longer.
   *
   * @param resource - name of the resource
   * @returns true if it should acquire now
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
   * Records that another entry owns a resource.
   *
   * @param resource - name of the resource
   */
  recordOwner(resource: string): void {
    this.unownedSinceMs.delete(resource);
  }

  /**
   * Records that this entry acquired a resource.
   *
   * @param resource - name of the resource
   */
  recordAcquisition(resource: string): void {
    this.unownedSinceMs.delete(resource);
    this.keepUntilMs.delete(resource);
    if (this.isPreferred(resource)) return;
    this.keepUntilMs.set(resource, this.clock.monotonicMs() + MINIMUM_SUBSTITUTE_HOLD_MS);
  }

  /**
   * Checks whether an owned resource should be handed over to its preferred owner, which must have
   * been known for a while.
   *
   * @param resource - name of the resource
   * @returns true if it should be handed over
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
