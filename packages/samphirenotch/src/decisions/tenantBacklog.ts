/**
 * Waiting requests of one tenant, ordered by the time at which they have to start.
 */
import type { AdmissionRequest } from './admission.js';

/** A waiting request. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  /** Latest start time at which the request can still meet its deadline, in milliseconds. */
  readonly latestStartMs: number;
  /** Expected service time, in milliseconds. */
  readonly serviceMs: number;
}

/** The waiting requests of one tenant at one priority. */
export class TenantBacklog {
  readonly tenant: string;

  /** Weight of the tenant relative to other tenants. */
  readonly weight: number;

  /** Virtual time of fair queueing: service received divided by the weight, in milliseconds. */
  virtualTimeMs: number;

  private waiting: WaitingRequest[] = [];

  /** Expected service time of all waiting requests, in milliseconds. */
  private totalWorkMs = 0;

  /**
   * @param tenant - name of the tenant
   * @param weight - weight of the tenant relative to other tenants
   * @param virtualTimeMs - initial virtual time, in milliseconds
   */
  constructor(tenant: string, weight: number, virtualTimeMs: number) {
    this.tenant = tenant;
    this.weight = weight;
    this.virtualTimeMs = virtualTimeMs;
  }

  /**
   * Inserts a request in the order of latest start times.
   *
   * @param request - request to add
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
   * Returns the request that has to start first, without removing it.
   *
   * @returns the request, or `undefined` if none waits
   */
  head(): WaitingRequest | undefined {
    return this.waiting[0];
  }

  /**
   * Removes and returns the request that has to start first.
   *
   * @returns the request, or `undefined` if none waits
   */
  take(): WaitingRequest | undefined {
    const request = this.waiting.shift();
    if (request) this.totalWorkMs -= request.serviceMs;
    return request;
  }

  /**
   * Removes a request.
   *
   * @param requestId - identifier of the request
   */
  withdraw(requestId: string): void {
    const index = this.waiting.findIndex((each) => each.request.requestId === requestId);
    const [request] = index < 0 ? [] : this.waiting.splice(index, 1);
    if (request) this.totalWorkMs -= request.serviceMs;
  }

  /**
   * Returns the total work that is waiting.
   *
   * @returns expected service time of all waiting requests, in milliseconds
   */
  workMs(): number {
    return this.totalWorkMs;
  }

  /**
   * Returns the work of the requests that have to start by a given time.
   *
   * @param latestStartMs - latest start time, in milliseconds
   * @returns expected service time of these requests, in milliseconds
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
