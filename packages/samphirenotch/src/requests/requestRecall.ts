/**
 * Asks a worker what became of a request whose connection broke.
 */
import { Failure } from '../failure.js';
import type { RequestStatus, Worker } from '../infrastructure/worker.js';
import { callWithin, remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';

/** Time for the worker to answer, in milliseconds. */
const RECALL_TIMEOUT_MS = 300;

const SENTENCES: Readonly<Record<RequestStatus, string>> = {
  // No proof: the request may still be under way to the worker.
  'never-seen': 'The worker had not seen it yet.',
  running: 'The worker was running it.',
  finished: 'The worker has finished it.',
};

/**
 * Adds to a failure of unknown effect what the worker remembers. The effect stays unknown.
 *
 * @param failure - how the send failed
 * @param worker - the worker that it went to
 * @param sendId - id of the send
 * @param clock - clock of the call
 * @param call - call of the request
 * @returns the failure, with what the worker said if it was asked and answered
 */
export const recallAfter = async (
  failure: Failure,
  worker: Worker,
  sendId: string,
  clock: Clock,
  call: Call,
): Promise<Failure> => {
  const isOver = call.signal.aborted || remainingMs(clock, call) === 0;
  if (failure.effect === 'not-run' || isOver || !worker.guarantees.supportsRecall) return failure;
  const timeoutMs = Math.min(RECALL_TIMEOUT_MS, remainingMs(clock, call));
  const recalled = await worker.recall(sendId, callWithin(clock, timeoutMs, call.signal));
  if (recalled.err) return failure;
  const { code, step, peer, effect, reason } = failure;
  const message = `${reason} ${SENTENCES[recalled.val]}`;
  return new Failure({ code, step, peer, effect, message });
};
