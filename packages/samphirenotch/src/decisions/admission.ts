/**
 * Decides whether a request waits for a slot, and in which order those that wait are served.
 */

/** A request that asks for admission. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly taskClass: string;
  readonly tenant: string;
  /** Share of contended capacity of the tenant relative to others. */
  readonly tenantWeight: number;
  /** Higher is more urgent. */
  readonly priority: number;
  readonly deadlineMs: number;
}

/** The decision. A refusal is final and says when to come back. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly reason: string };

/** A queue of admitted requests that wait for a slot. */
export interface AdmissionQueue {
  /** Admits to the queue, or refuses at once. */
  offer(request: AdmissionRequest, nowMs: number): AdmissionDecision;
  /** Takes the next to be served; those that cannot finish in time come out through `shed`. */
  next(nowMs: number): AdmissionRequest | undefined;
  /** Takes out what has to be refused now, each with when to come back. */
  shed(nowMs: number): readonly ShedRequest[];
  /** Takes a request out whose caller went away. */
  withdraw(requestId: string): void;
  /** Learns how long a slot was held. */
  recordServiceTime(taskClass: string, serviceMs: number, nowMs: number): void;
  /** Learns how many requests are served side by side. */
  setCapacity(slots: number): void;
  size(): number;
}

/** A queued request that is refused after all. */
export interface ShedRequest {
  readonly requestId: string;
  readonly retryAfterMs: number;
  readonly reason: string;
}
