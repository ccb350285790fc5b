/**
 * Claims that wait to be stored.
 */
import type { Failure } from '../failure.js';
import { Err, type Result } from '../results.js';
import type { KeyClaim, KeyDecision } from './keyAuthority.js';
import type { KeyRecord } from './keySegment.js';

/** A claim that waits. */
export interface PendingClaim {
  readonly claim: KeyClaim;
  readonly record: Extract<KeyRecord, { kind: 'claim' }>;
  /** Monotonic time until which the run may be in progress, in milliseconds. */
  readonly runsUntilMs: number;
  readonly settle: (result: Result<KeyDecision, Failure>) => void;
  readonly result: Promise<Result<KeyDecision, Failure>>;
}

/** Claims by key; one for each. */
export class PendingClaims {
  private readonly byKey = new Map<string, PendingClaim>();

  /** Tokens of claims that were given up. */
  private readonly withdrawn = new Set<string>();

  /** Claims that wait. */
  get size(): number {
    return this.byKey.size;
  }

  /** @returns the claims in the order of their arrival */
  all(): readonly PendingClaim[] {
    return [...this.byKey.values()];
  }

  /**
   * Finds the claim of a key.
   *
   * @param key - digest of the key
   * @returns the claim, if one waits
   */
  find(key: string): PendingClaim | undefined {
    return this.byKey.get(key);
  }

  /**
   * Adds a claim.
   *
   * @param claim - the claim
   * @param atMs - wall-clock time, in milliseconds
   * @param runsUntilMs - monotonic time until which the run may be in progress, in milliseconds
   * @returns the claim that waits
   */
  add(claim: KeyClaim, atMs: number, runsUntilMs: number): PendingClaim {
    const { key, token, fingerprint } = claim;
    let settle: PendingClaim['settle'] = () => {};
    const result = new Promise<Result<KeyDecision, Failure>>((resolve) => {
      settle = resolve;
    });
    const record = { kind: 'claim', key, token, fingerprint, atMs } as const;
    const pending: PendingClaim = { claim, record, runsUntilMs, settle, result };
    this.byKey.set(key, pending);
    return pending;
  }

  /**
   * Gives a claim up: nobody will run under it.
   *
   * @param key - digest of the key
   * @param token - the run
   * @returns false if no such claim waits
   */
  withdraw(key: string, token: string): boolean {
    if (this.byKey.get(key)?.claim.token !== token) return false;
    this.withdrawn.add(token);
    return true;
  }

  /**
   * Asks for a claim again that may have been given up.
   *
   * @param token - the run
   */
  renew(token: string): void {
    this.withdrawn.delete(token);
  }

  /**
   * Ends the wait of a claim.
   *
   * @param pending - the claim
   * @returns true if it was given up meanwhile
   */
  remove({ claim }: PendingClaim): boolean {
    this.byKey.delete(claim.key);
    return this.withdrawn.delete(claim.token);
  }

  /**
   * Ends the wait of all claims.
   *
   * @param failure - why none is granted
   */
  refuseAll(failure: Failure): void {
    for (const pending of this.all()) {
      this.remove(pending);
      pending.settle(Err(failure));
    }
  }
}
