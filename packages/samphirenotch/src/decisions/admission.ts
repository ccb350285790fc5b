/**
 * Admission control of requests: decides whether a request may wait for a slot, and in which order
 * the waiting requests are served.
 */

/** A request that asks for admission to the queue. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly taskClass: string;
  readonly tenant: string;
  /** Weight of the tenant's share of capacity, relative to other tenants, under contention. */
  readonly tenantWeight: number;
  /** Higher is more urgent. */
  readonly priority: number;
  /** Time by which the request has to be answered, in milliseconds. */
  readonly deadlineMs: number;
}

/** Result of an admission. A refusal is final and says after what time to retry. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly reason: string };

/** Queue of admitted requests that wait for a slot. */
export interface AdmissionQueue {
  /** Admits a request to the queue, or refuses it at once. */
  offer(request: AdmissionRequest, nowMs: number): AdmissionDecision;
  /**
   * Removes and returns the next request to serve. Requests that cannot finish in time are skipped;
   * `shed` returns them.
   */
  next(nowMs: number): AdmissionRequest | undefined;
  /** Removes and returns the queued requests that must be refused now, with their retry times. */
  shed(nowMs: number): readonly ShedRequest[];
  /** Removes a request whose caller has left. */
  withdraw(requestId: string): void;
  /** Records how long a request held its slot, in milliseconds. */
  recordServiceTime(taskClass: string, serviceMs: number, nowMs: number): void;
  /** Sets the number of requests that can be served concurrently. */
  setCapacity(slots: number): void;
  /** Returns the number of waiting requests. */
  size(): number;
}

/** A request that was admitted to the queue and is refused before it was served (load shedding). */
export interface ShedRequest {
  readonly requestId: string;
  /** Time after which to retry, in milliseconds. */
  readonly retryAfterMs: number;
  readonly reason: string;
}
