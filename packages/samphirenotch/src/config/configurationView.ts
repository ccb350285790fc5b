/**
 * The configuration in force, as the rest of the scheduler sees it.
 */
import type { ConfigurationSet } from './objects.js';

/** Reads the configuration in force. */
export interface ConfigurationView {
  /** The set in force, or nothing before the first one is known. */
  current(): ConfigurationSet | undefined;
  /**
   * Age of the last proof that no newer accepted configuration existed: the time since the store
   * read that gave the proof was sent, wherever it was made, by the monotonic clock.
   *
   * @returns milliseconds, `Infinity` if never confirmed
   */
  confirmedAgeMs(): number;
  /** Calls back after each change, with the new set. */
  onChange(listener: (set: ConfigurationSet) => void): void;
}
