/**
 * A request to a service and its answer, as the parts of this folder pass them on.
 */
import type { Readable } from 'node:stream';
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { RequestBody } from './requestBody.js';

/** Headers by lower-case name. */
export type Headers = Readonly<Record<string, string>>;

/** A checked request of a caller. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly service: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly method: string;
  /** Path and query below the service. */
  readonly path: string;
  readonly headers: Headers;
  /** It may be sent more than once. */
  readonly idempotent: boolean;
  /** Key of the caller, kept only for a request that is not idempotent. */
  readonly idempotencyKey?: string;
  readonly body: RequestBody;
  /** It came from a peer and must not be forwarded again. */
  readonly forwarded: boolean;
}

/** An answer. Its body ends normally only if it is whole; otherwise it is destroyed with a failure. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Readable;
  /** The answer of an earlier run under the same idempotency key. */
  readonly replayed?: boolean;
}

/** Outcome of a request: an answer, or a failure that tells whether it may have run. */
export type ServiceOutcome = Result<ServiceAnswer, Failure>;

/** Something that answers requests. */
export interface RequestTarget {
  /**
   * Runs a request.
   *
   * @param request - the request
   * @param call - deadline of the answer's head, and cancellation
   * @returns the outcome
   */
  route(request: ServiceRequest, call: Call): Promise<ServiceOutcome>;
}
