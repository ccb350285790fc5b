/**
 * Makes a unary gRPC call with the deadline and cancellation of a call.
 */
import { Metadata, type CallOptions, type ClientUnaryCall, type ServiceError } from '@grpc/grpc-js';
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { fromServiceError } from './grpcFailure.js';

/** A method of a generated client, bound to it. */
export type UnaryMethod<Request, Response> = (
  request: Request,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, response: Response) => void,
) => ClientUnaryCall;

/** Who is called, for which step. */
export interface CallTarget {
  readonly step: string;
  readonly peer: string;
}

/**
 * Calls a peer.
 *
 * @param method - bound method of a generated client
 * @param request - the request
 * @param target - step and peer, for failures
 * @param call - deadline and cancellation
 * @param clock - the clock that the deadline was set on
 * @returns the response or what went wrong
 */
export const callUnary = <Request, Response>(
  method: UnaryMethod<Request, Response>,
  request: Request,
  target: CallTarget,
  call: Call,
  clock: Clock,
): Promise<Result<Response, Failure>> => {
  const leftMs = remainingMs(clock, call);
  if (leftMs === 0 || call.signal.aborted) {
    const code = leftMs === 0 ? 'deadline' : 'cancelled';
    const message = 'the call had ended before it was sent';
    return Promise.resolve(Err(new Failure({ ...target, code, effect: 'not-run', message })));
  }
  return new Promise((resolve) => {
    const options = { deadline: clock.wallMs() + leftMs };
    let sent: ClientUnaryCall | undefined;
    const cancel = (): void => sent?.cancel();
    sent = method(request, new Metadata(), options, (error, response) => {
      call.signal.removeEventListener('abort', cancel);
      resolve(error ? Err(fromServiceError(error, target.step, target.peer)) : Ok(response));
    });
    call.signal.addEventListener('abort', cancel);
  });
};
