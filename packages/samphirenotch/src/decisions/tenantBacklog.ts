/**
 * Requests of one tenant that wait, soonest first.
 */
import type { AdmissionRequest } from './admission.js';

/** A waiting request. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  /** Last moment at which a start still makes the deadline, in milliseconds. */
  readonly latestStartMs: number;
  /** Expected time in a slot, in milliseconds. */
  readonly serviceMs: number;
}

/** The waiting requests of one tenant at one priority. */
export class TenantBacklog {
  readonly tenant: string;

  readonly weight: number;

  /** Service received relative to the weight, in milliseconds. */
  virtualTimeMs: number;

  private waiting: WaitingRequest[] = [];

  private totalWorkMs = 0;

  /**
   * @param tenant - the tenant
   * @param weight - its share relative to others
   * @param virtualTimeMs - service that it counts as having received
   */
  constructor(tenant: string, weight: number, virtualTimeMs: number) {
    this.tenant = tenant;
    this.weight = weight;
    this.virtualTimeMs = virtualTimeMs;
  }

  /**
   * Adds a request in order of its latest start.
   *
   * @param request - the request
   */
  add(request: WaitingRequest): void {
    let low = 0;
    let high = this.waiting.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const other = this.waiting[middle];
      if (other && other.latestStartMs <= request.latestStartMs) low = middle + 1;
      else high = middle;
    }
    this.waiting.splice(low, 0, request);
    this.totalWorkMs += request.serviceMs;
  }

  /**
   * Looks at the request that has to start first.
   *
   * @returns the request, or `undefined` if none waits
   */
  head(): WaitingRequest | undefined {
    return this.waiting[0];
  }

  /**
   * Takes the request that has to start first.
   *
   * @returns the request, or `undefined` if none waits
   */
  take(): WaitingRequest | undefined {
    const request = this.waiting.shift();
    if (request) this.totalWorkMs -= request.serviceMs;
    return request;
  }

  /**
   * Takes a request out.
   *
   * @param requestId - the request
   */
  withdraw(requestId: string): void {
    const index = this.waiting.findIndex((each) => each.request.requestId === requestId);
    const [request] = index < 0 ? [] : this.waiting.splice(index, 1);
    if (request) this.totalWorkMs -= request.serviceMs;
  }

  /**
   * Tells how much waits.
   *
   * @returns expected time in slots of all waiting requests, in milliseconds
   */
  workMs(): number {
    return this.totalWorkMs;
  }

  /**
   * Tells how much waits that has to start no later than a moment.
   *
   * @param latestStartMs - the moment, in milliseconds
   * @returns expected time in slots, in milliseconds
   */
  workDueByMs(latestStartMs: number): number {
    const last = this.waiting.at(-1);
    if (last && last.latestStartMs <= latestStartMs) return this.totalWorkMs;
    let workMs = 0;
    for (const request of this.waiting) {
      if (request.latestStartMs > latestStartMs) break;
      workMs += request.serviceMs;
    }
    return workMs;
  }
}
