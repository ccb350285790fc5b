/**
 * What became of an attempt, with proof.
 */
import { NEVER_STARTED, type AttemptReport } from '../infrastructure/worker.js';
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';

/** What became of an attempt. `gone` is proof that it does not run and never will. */
export type AttemptOutcome =
  | { readonly kind: 'reported'; readonly report: AttemptReport }
  | { readonly kind: 'gone'; readonly neverStarted: boolean };

const WORKER_STOP_STEP = 'worker.stop';

/**
 * Reads the answer to a stop. A worker that does not know the attempt never starts it afterwards,
 * but may have run it before it lost its memory.
 *
 * @param answer - what the stop returned
 * @returns the fate, or nothing if the answer proves none
 */
export const outcomeOfStop = (
  answer: Result<AttemptReport, Failure>,
): AttemptOutcome | undefined => {
  if (answer.err) {
    const isUnknown = answer.val.code === 'not-found' && answer.val.step === WORKER_STOP_STEP;
    return isUnknown ? { kind: 'gone', neverStarted: false } : undefined;
  }
  const report = answer.val;
  if (report.phase === 'running') return undefined;
  if (report.detail === NEVER_STARTED) return { kind: 'gone', neverStarted: true };
  return { kind: 'reported', report };
};
