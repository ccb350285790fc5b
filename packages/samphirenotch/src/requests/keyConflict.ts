/**
 * The failure of a request whose idempotency key was used before.
 */
import { Failure } from '../failure.js';

/** What is known of the earlier run. */
export type EarlierRun = 'running' | 'answered' | 'unknown' | 'other-request';

const RETRY_AFTER_MS = 1_000;

const MESSAGES: Readonly<Record<EarlierRun, string>> = {
  running: 'A request with this key is in progress.',
  answered: 'A request with this key has run; its answer is no longer kept.',
  unknown: 'A request with this key may have run; its outcome is not known.',
  'other-request': 'The key was used for another request.',
};

/** A key that was used before. */
export class KeyConflict extends Failure {
  /**
   * @param earlier - what is known of the earlier run
   * @param entry - name of this entry
   */
  constructor(
    readonly earlier: EarlierRun,
    entry: string,
  ) {
    super({
      code: earlier === 'other-request' ? 'invalid' : 'conflict',
      step: 'requests.claim',
      peer: entry,
      effect: earlier === 'other-request' ? 'not-run' : 'unknown',
      message: MESSAGES[earlier],
      ...(earlier === 'running' ? { retryAfterMs: RETRY_AFTER_MS } : {}),
    });
  }
}
