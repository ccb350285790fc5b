/**
 * The refusal of a request whose tenant is over its own limit.
 */
import { Failure } from '../failure.js';

/** A tenant over its limit, while the service itself may have room. */
export class TenantOverLimit extends Failure {
  /**
   * @param entry - name of this entry
   * @param message - which limit
   * @param retryAfterMs - when to come back, in milliseconds from now
   */
  constructor(entry: string, message: string, retryAfterMs: number) {
    const detail = { code: 'overloaded', step: 'requests.limit', peer: entry } as const;
    super({ ...detail, effect: 'not-run', message, retryAfterMs });
  }
}
