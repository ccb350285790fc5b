/**
 * Switches for what can go wrong at the platform stand-in.
 */

/** Faults in force; all off to begin with. */
export interface StoreFaults {
  /** No call is answered, and none takes effect. */
  down: boolean;
  /** Extra time before each call takes effect, in milliseconds. */
  delayMs: number;
  /** Number of writes to come that take effect while their answers are lost. */
  loseAnswers: number;
}

/**
 * Makes a set of faults with everything switched off.
 *
 * @returns the faults
 */
export const noStoreFaults = (): StoreFaults => ({ down: false, delayMs: 0, loseAnswers: 0 });
