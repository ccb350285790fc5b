/**
 * Who decides whether a request with an idempotency key may run.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Headers } from './serviceRequest.js';

/** A claim of a key for one run. */
export interface KeyClaim {
  readonly partition: number;
  /** Digest of tenant, service and key. */
  readonly key: string;
  /** Names the run. A claim repeated with the same token is the same claim. */
  readonly token: string;
  /** Digest of what the request asks for. */
  readonly fingerprint: string;
}

/** An answer that is kept for a caller that asks again. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Buffer;
}

/** The decision on a claim. Only `granted` permits a run, and one run only. */
export type KeyDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'running' }
  | { readonly kind: 'answered'; readonly answer?: KeptAnswer }
  | { readonly kind: 'outcome-unknown' }
  | { readonly kind: 'other-request' };

/** What became of a granted run. `not-run` gives the key back. */
export type KeyOutcome = 'answered' | 'not-run' | 'unknown';

/** The end of a granted run. */
export interface KeySettlement {
  readonly partition: number;
  readonly key: string;
  readonly token: string;
  readonly outcome: KeyOutcome;
  readonly answer?: KeptAnswer;
}

/** Decides on keys. */
export interface KeyAuthority {
  /**
   * Asks for permission to run a request.
   *
   * @param claim - the claim
   * @param call - deadline of the request
   * @returns the decision; a failure means that no permission was given
   */
  claim(claim: KeyClaim, call: Call): Promise<Result<KeyDecision, Failure>>;

  /**
   * Tells what became of a granted run.
   *
   * @param settlement - the end of the run
   * @returns a failure if the partition is not owned here
   */
  settle(settlement: KeySettlement): Result<void, Failure>;
}
