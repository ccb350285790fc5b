/**
 * Where parts of a configuration's content come from.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

/** A source of parts. What it hands out is not trusted: the digest is checked by the taker. */
export interface PartSource {
  /** Finds a part; nothing if the source does not have it. */
  part(digest: string, call: Call): Promise<Result<string | undefined, Failure>>;
}
