/**
 * The confirmed outcome of an attempt.
 */
import { NEVER_STARTED, type AttemptReport } from '../infrastructure/worker.js';
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';

/**
 * Confirmed outcome of an attempt: its worker reported its state (`reported`), or it is not running
 * and can never start (`gone`).
 */
export type AttemptOutcome =
  | { readonly kind: 'reported'; readonly report: AttemptReport }
  | { readonly kind: 'gone'; readonly neverStarted: boolean };

const WORKER_STOP_STEP = 'worker.stop';

/**
 * Derives the outcome of an attempt from the answer to a stop call. A worker that does not know the
 * attempt never starts it after the stop, but it may have run it before it lost its state.
 *
 * @param answer - result of the stop call
 * @returns the outcome, or nothing if the answer does not confirm one
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
