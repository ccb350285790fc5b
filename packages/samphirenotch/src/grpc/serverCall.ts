/**
 * Takes deadline and cancellation of a received gRPC call on.
 */
import type { ServerUnaryCall } from '@grpc/grpc-js';
import { callWithin, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';

/** How long a call may take whose caller set no deadline, in milliseconds. */
const LONGEST_CALL_MS = 60_000;

/**
 * Makes a call that ends when the received one does.
 *
 * @param received - what the gRPC server received
 * @param clock - the clock that the deadline is set on
 * @returns the call to pass down
 */
export const serverCall = <Request, Response>(
  received: ServerUnaryCall<Request, Response>,
  clock: Clock,
): Call => {
  const controller = new AbortController();
  received.on('cancelled', () => controller.abort());
  const deadline = received.getDeadline();
  const endMs = deadline instanceof Date ? deadline.getTime() : deadline;
  const leftMs = Math.max(0, endMs - clock.wallMs());
  return callWithin(clock, Math.min(leftMs, LONGEST_CALL_MS), controller.signal);
};
