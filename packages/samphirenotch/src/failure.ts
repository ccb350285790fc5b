/**
 * The failure that every part of the scheduler reports: where it arose, and what became of the work.
 */

/** Whether the work that a failed call asked for may have been done. */
export type Effect = 'not-run' | 'unknown';

/** Every reason for which a call fails. */
export const FAILURE_CODES = [
  'invalid',
  'not-found',
  'conflict',
  'overloaded',
  'deadline',
  'cancelled',
  'unavailable',
  'stale-epoch',
  'not-owner',
  'internal',
] as const;

/** Why a call failed. */
export type FailureCode = (typeof FAILURE_CODES)[number];

/** What a failure tells. */
export interface FailureDetail {
  readonly code: FailureCode;
  /** The step at which the call failed, for instance `worker.start`. */
  readonly step: string;
  /** The peer that the step was speaking to, as an address or a name. */
  readonly peer: string;
  /** `not-run` only with proof that the work was not done and will not be. */
  readonly effect: Effect;
  readonly message: string;
  /** When it makes sense to ask again, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** A failed step. */
export class Failure extends Error {
  readonly code: FailureCode;

  readonly step: string;

  readonly peer: string;

  readonly effect: Effect;

  readonly retryAfterMs: number | undefined;

  /** The message without step and peer. */
  readonly reason: string;

  /**
   * @param detail - what went wrong and where
   */
  constructor(detail: FailureDetail) {
    super(`${detail.step} at ${detail.peer}: ${detail.message}`);
    this.name = 'Failure';
    this.code = detail.code;
    this.step = detail.step;
    this.peer = detail.peer;
    this.effect = detail.effect;
    this.reason = detail.message;
    this.retryAfterMs = detail.retryAfterMs;
  }
}
