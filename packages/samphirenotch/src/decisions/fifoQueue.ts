/**
 * Baseline queue: first in, first out, with a fixed limit of waiting requests.
 */
import type {
  AdmissionDecision,
  AdmissionQueue,
  AdmissionRequest,
  ShedRequest,
} from './admission.js';

const RETRY_AFTER_MS = 1_000;

/** Queue in order of arrival with a fixed limit. */
export class FifoQueue implements AdmissionQueue {
  private readonly limit: number;

  private readonly waiting = new Map<string, AdmissionRequest>();

  /**
   * @param limit - maximum number of waiting requests
   */
  constructor(limit: number) {
    this.limit = limit;
  }

  /**
   * Admits a request unless the queue is full.
   *
   * @param request - request to admit
   * @returns whether it was admitted
   */
  offer(request: AdmissionRequest): AdmissionDecision {
    if (this.waiting.size >= this.limit) {
      return { kind: 'refused', retryAfterMs: RETRY_AFTER_MS, reason: 'queue is full' };
    }
    this.waiting.set(request.requestId, request);
    return { kind: 'admitted' };
  }

  /**
   * Removes and returns the oldest request.
   *
   * @returns the request, or `undefined` if none waits
   */
  next(): AdmissionRequest | undefined {
    const [oldest] = this.waiting.values();
    if (oldest) this.waiting.delete(oldest.requestId);
    return oldest;
  }

  /**
   * Sheds nothing: admitted requests stay in the queue.
   *
   * @returns an empty list
   */
  shed(): readonly ShedRequest[] {
    return [];
  }

  /**
   * Removes a request.
   *
   * @param requestId - identifier of the request
   */
  withdraw(requestId: string): void {
    this.waiting.delete(requestId);
  }

  /** Does nothing: this policy does not learn. */
  recordServiceTime(): void {}

  /** Does nothing: the limit does not depend on the number of slots. */
  setCapacity(): void {}

  /**
   * Counts the waiting requests.
   *
   * @returns number of waiting requests
   */
  size(): number {
    return this.waiting.size;
  }
}
