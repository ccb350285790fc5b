/**
 * Baseline: first come, first served, up to a fixed number of waiting requests.
 */
import type {
  AdmissionDecision,
  AdmissionQueue,
  AdmissionRequest,
  ShedRequest,
} from './admission.js';

const RETRY_AFTER_MS = 1_000;

/** A queue in order of arrival with a fixed limit. */
export class FifoQueue implements AdmissionQueue {
  private readonly limit: number;

  private readonly waiting = new Map<string, AdmissionRequest>();

  /**
   * @param limit - how many requests may wait
   */
  constructor(limit: number) {
    this.limit = limit;
  }

  /**
   * Admits while there is room.
   *
   * @param request - the request
   * @returns whether it waits
   */
  offer(request: AdmissionRequest): AdmissionDecision {
    if (this.waiting.size >= this.limit) {
      return { kind: 'refused', retryAfterMs: RETRY_AFTER_MS, reason: 'queue is full' };
    }
    this.waiting.set(request.requestId, request);
    return { kind: 'admitted' };
  }

  /**
   * Takes the oldest request.
   *
   * @returns the request, or nothing if none waits
   */
  next(): AdmissionRequest | undefined {
    const [oldest] = this.waiting.values();
    if (oldest) this.waiting.delete(oldest.requestId);
    return oldest;
  }

  /**
   * Refuses nothing that was admitted.
   *
   * @returns no request
   */
  shed(): readonly ShedRequest[] {
    return [];
  }

  /**
   * Takes a request out.
   *
   * @param requestId - the request
   */
  withdraw(requestId: string): void {
    this.waiting.delete(requestId);
  }

  /** Learns nothing. */
  recordServiceTime(): void {}

  /** Learns nothing. */
  setCapacity(): void {}

  /**
   * Counts the waiting requests.
   *
   * @returns their number
   */
  size(): number {
    return this.waiting.size;
  }
}
