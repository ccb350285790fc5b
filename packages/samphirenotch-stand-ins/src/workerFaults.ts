/**
 * Switches for what can go wrong at a worker stand-in.
 */

/** Faults in force; all off to begin with. */
export interface WorkerFaults {
  /** Calls and requests are taken in and never answered; nothing takes effect. */
  silent: boolean;
  /** Every start and every request fails. */
  failEverything: boolean;
  /** Extra time before an answer is sent, after the effect, in milliseconds. */
  answerDelayMs: number;
  /** Number of answers to come that are lost after the effect. */
  loseAnswers: number;
  /** Answers carry the id of another request. */
  foreignAnswers: boolean;
  /** Bodies of answers break off half way. */
  cutAnswers: boolean;
  /** Commands of older epochs are taken, as a platform with a smaller offer would. */
  acceptOlderEpochs: boolean;
  leaving: boolean;
}

/**
 * Makes a set of faults with everything switched off.
 *
 * @returns the faults
 */
export const noWorkerFaults = (): WorkerFaults => ({
  silent: false,
  failEverything: false,
  answerDelayMs: 0,
  loseAnswers: 0,
  foreignAnswers: false,
  cutAnswers: false,
  acceptOlderEpochs: false,
  leaving: false,
});
