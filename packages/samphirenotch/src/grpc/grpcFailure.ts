/**
 * Carries failures between entries: as a gRPC status with the details in its metadata.
 */
import { Metadata, status, type ServiceError } from '@grpc/grpc-js';
import { z } from 'zod';
import { Failure, FAILURE_CODES, type FailureCode } from '../failure.js';

const DETAIL_KEY = 'samphirenotch-failure';

const DETAIL = z.object({
  code: z.enum(FAILURE_CODES),
  step: z.string(),
  peer: z.string(),
  effect: z.enum(['not-run', 'unknown']),
  message: z.string(),
  retryAfterMs: z.number().optional(),
});

const STATUS_OF: Readonly<Record<FailureCode, status>> = {
  invalid: status.INVALID_ARGUMENT,
  'not-found': status.NOT_FOUND,
  conflict: status.ABORTED,
  overloaded: status.RESOURCE_EXHAUSTED,
  deadline: status.DEADLINE_EXCEEDED,
  cancelled: status.CANCELLED,
  unavailable: status.UNAVAILABLE,
  'stale-epoch': status.FAILED_PRECONDITION,
  'not-owner': status.FAILED_PRECONDITION,
  internal: status.INTERNAL,
};

/**
 * Turns a failure into the status that a gRPC handler answers with.
 *
 * @param failure - the failure
 * @returns the status
 */
export const toStatus = (failure: Failure): Partial<ServiceError> => {
  const metadata = new Metadata();
  const { code, step, peer, effect, reason, retryAfterMs } = failure;
  const detail = { code, step, peer, effect, message: reason, retryAfterMs };
  metadata.set(DETAIL_KEY, encodeURIComponent(JSON.stringify(detail)));
  return { code: STATUS_OF[code], details: reason, metadata };
};

const codeOf = (error: ServiceError): FailureCode => {
  if (error.code === status.DEADLINE_EXCEEDED) return 'deadline';
  if (error.code === status.CANCELLED) return 'cancelled';
  return 'unavailable';
};

const readDetail = (error: ServiceError): Failure | undefined => {
  const [raw] = error.metadata?.get(DETAIL_KEY) ?? [];
  if (typeof raw !== 'string') return undefined;
  try {
    return new Failure(DETAIL.parse(JSON.parse(decodeURIComponent(raw))));
  } catch {
    return undefined;
  }
};

/**
 * Turns a failed gRPC call into a failure. Without details from the peer the effect is unknown.
 *
 * @param error - what the gRPC client reported
 * @param step - the step that made the call
 * @param peer - the peer called
 * @returns the failure
 */
export const fromServiceError = (error: ServiceError, step: string, peer: string): Failure =>
  readDetail(error) ??
  new Failure({ code: codeOf(error), step, peer, effect: 'unknown', message: error.message });
