/**
 * Why a queued job does not run yet.
 */

/** What a queued job waits for. */
export type WaitKind =
  | 'next-round'
  | 'store'
  | 'quota'
  | 'pacing'
  | 'retry'
  | 'no-room-now'
  | 'never-fits'
  | 'data-centre-out'
  | 'configuration-stale'
  | 'unreachable';

/** Why a queued job waits, and which limit stops it. */
export interface WaitReason {
  readonly kind: WaitKind;
  readonly text: string;
  /** Name of the object that has to change, if one does. */
  readonly limit?: string;
}
