/**
 * Serves requests by priority, then by weighted fair queueing among tenants, then by deadline.
 * Refuses requests early that cannot finish in time, with a retry time that follows from the
 * service rate.
 */
import { ServiceTimes } from './serviceTimes.js';
import { TenantBacklog } from './tenantBacklog.js';

import type {
  AdmissionDecision,
  AdmissionQueue,
  AdmissionRequest,
  ShedRequest,
} from './admission.js';

/** Settings of a deadline queue. */
export interface DeadlineQueueSettings {
  /** Maximum number of requests that may wait. */
  readonly maximumWaiting: number;
  /** Service time that is assumed for a class without measurements, in milliseconds. */
  readonly defaultServiceMs: number;
  /** Minimum retry time that a refused caller is given, in milliseconds. */
  readonly minimumRetryAfterMs: number;
  /** Maximum retry time that a refused caller is given, in milliseconds. */
  readonly maximumRetryAfterMs: number;
}

/** Default settings, which an entry uses. */
export const DEADLINE_QUEUE_DEFAULTS: DeadlineQueueSettings = {
  maximumWaiting: 10_000,
  defaultServiceMs: 20,
  minimumRetryAfterMs: 50,
  maximumRetryAfterMs: 30_000,
};

/** Maximum share of the time to the deadline that is reserved as a margin for slow service. */
const MAXIMUM_MARGIN_SHARE = 0.5;

/** The waiting requests of one priority, by tenant. */
interface PriorityBand {
  readonly priority: number;
  readonly backlogs: Map<string, TenantBacklog>;
  /** Virtual time of fair queueing: that of the tenant that was served last, in milliseconds. */
  virtualTimeMs: number;
}

/** Queue of requests, ordered by priority, fairness among tenants and deadline. */
export class DeadlineQueue implements AdmissionQueue {
  private readonly settings: DeadlineQueueSettings;

  private readonly serviceTimes: ServiceTimes;

  /** Bands in descending order of priority. */
  private bands: PriorityBand[] = [];

  private readonly backlogByRequest = new Map<string, TenantBacklog>();

  /** Requests that expired in the queue and that `shed` has not returned yet. */
  private expired: ShedRequest[] = [];

  /** Number of slots; 0 while it is not known. */
  private slots = 0;

  /** Time up to which capacity is reserved for the retries of refused callers, in milliseconds. */
  private retriesReservedUntilMs = 0;

  /**
   * @param settings - limits of the queue
   */
  constructor(settings: DeadlineQueueSettings = DEADLINE_QUEUE_DEFAULTS) {
    this.settings = settings;
    this.serviceTimes = new ServiceTimes(settings.defaultServiceMs);
  }

  /**
   * Admits a request if it is likely to finish before its deadline.
   *
   * @param request - request to admit
   * @param nowMs - current time, in milliseconds
   * @returns that it was admitted, or a refusal with the time after which to retry
   */
  offer(request: AdmissionRequest, nowMs: number): AdmissionDecision {
    const latestStartMs = this.latestStartMs(request, nowMs);
    const waitMs = this.expectedWaitMs(request, latestStartMs);
    const lateMs = nowMs + waitMs - latestStartMs;
    if (lateMs > 0) {
      return this.refuse(request, lateMs, nowMs, 'cannot finish before its deadline');
    }
    if (this.backlogByRequest.size >= this.settings.maximumWaiting) {
      return this.refuse(request, waitMs, nowMs, 'queue is full');
    }
    const backlog = this.backlogOf(this.bandOf(request.priority), request);
    const serviceMs = this.serviceTimes.meanMs(request.taskClass);
    backlog.add({ request, latestStartMs, serviceMs });
    this.backlogByRequest.set(request.requestId, backlog);
    return { kind: 'admitted' };
  }

  /**
   * Removes and returns the next request to serve.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the request, or `undefined` if none waits that can finish in time
   */
  next(nowMs: number): AdmissionRequest | undefined {
    this.removeExpired(nowMs);
    for (const band of this.bands) {
      const backlog = this.leastServed(band);
      const waiting = backlog?.take();
      if (!backlog || !waiting) continue;
      band.virtualTimeMs = backlog.virtualTimeMs;
      backlog.virtualTimeMs += waiting.serviceMs / backlog.weight;
      this.backlogByRequest.delete(waiting.request.requestId);
      return waiting.request;
    }
    return undefined;
  }

  /**
   * Removes and returns requests that can no longer finish in time.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the requests, each with the time after which to retry
   */
  shed(nowMs: number): readonly ShedRequest[] {
    this.removeExpired(nowMs);
    const shed = this.expired;
    this.expired = [];
    return shed;
  }

  /**
   * Removes a request whose caller has left.
   *
   * @param requestId - identifier of the request
   */
  withdraw(requestId: string): void {
    this.backlogByRequest.get(requestId)?.withdraw(requestId);
    this.backlogByRequest.delete(requestId);
  }

  /**
   * Records how long a request held its slot.
   *
   * @param taskClass - class of the request
   * @param serviceMs - service time, in milliseconds
   */
  recordServiceTime(taskClass: string, serviceMs: number): void {
    this.serviceTimes.observe(taskClass, serviceMs);
  }

  /**
   * Sets the number of requests that can be served concurrently.
   *
   * @param slots - number of slots; 0 while it is not known
   */
  setCapacity(slots: number): void {
    this.slots = slots;
  }

  /**
   * Counts the waiting requests.
   *
   * @returns number of waiting requests
   */
  size(): number {
    return this.backlogByRequest.size;
  }

  /**
   * Estimates how long a request waits for a slot: for all work of higher priority, and for the
   * work in its own band that fair queueing serves before it.
   */
  private expectedWaitMs(request: AdmissionRequest, latestStartMs: number): number {
    if (this.slots === 0) return 0;
    let moreUrgentWorkMs = 0;
    for (const band of this.bands) {
      if (band.priority < request.priority) break;
      if (band.priority === request.priority) {
        const sameBandWorkMs = this.workAheadInBandMs(band, request, latestStartMs);
        return (moreUrgentWorkMs + sameBandWorkMs) / this.slots;
      }
      for (const backlog of band.backlogs.values()) moreUrgentWorkMs += backlog.workMs();
    }
    return moreUrgentWorkMs / this.slots;
  }

  /**
   * Sums the work that is served before the request in its band: the earlier work of its own
   * tenant, and what other tenants get by weight in that time, limited to the work that they have
   * waiting.
   */
  private workAheadInBandMs(
    band: PriorityBand,
    request: AdmissionRequest,
    latestStartMs: number,
  ): number {
    let workMs = 0;
    const ownWorkMs = band.backlogs.get(request.tenant)?.workDueByMs(latestStartMs) ?? 0;
    for (const backlog of band.backlogs.values()) {
      const proportionalMs = (ownWorkMs * backlog.weight) / request.tenantWeight;
      const isOwn = backlog.tenant === request.tenant;
      workMs += isOwn ? ownWorkMs : Math.min(backlog.workMs(), proportionalMs);
    }
    return workMs;
  }

  private refuse(
    request: AdmissionRequest,
    minimumDelayMs: number,
    nowMs: number,
    reason: string,
  ): AdmissionDecision {
    return {
      kind: 'refused',
      retryAfterMs: this.reserveRetryTime(request, minimumDelayMs, nowMs),
      reason,
    };
  }

  /**
   * Gives each refused caller a retry time of its own. Retry times are spaced by the service time
   * divided by the number of slots, so that retries arrive no faster than they can be served.
   */
  private reserveRetryTime(
    request: AdmissionRequest,
    minimumDelayMs: number,
    nowMs: number,
  ): number {
    const { minimumRetryAfterMs, maximumRetryAfterMs } = this.settings;
    const serviceMs = this.serviceTimes.meanMs(request.taskClass) / Math.max(1, this.slots);
    const latestRetryMs = nowMs + maximumRetryAfterMs;
    const retryAtMs = Math.max(
      this.retriesReservedUntilMs,
      nowMs + minimumDelayMs,
      nowMs + minimumRetryAfterMs,
    );
    this.retriesReservedUntilMs = Math.min(latestRetryMs, retryAtMs + serviceMs);
    return Math.ceil(Math.min(latestRetryMs, retryAtMs) - nowMs);
  }

  private bandOf(priority: number): PriorityBand {
    const known = this.bands.find((band) => band.priority === priority);
    if (known) return known;
    const band: PriorityBand = { priority, backlogs: new Map(), virtualTimeMs: 0 };
    this.bands = [...this.bands, band].sort((left, right) => right.priority - left.priority);
    return band;
  }

  /**
   * A tenant that had nothing waiting continues at the virtual time of the band, so that it cannot
   * use up service time that it did not ask for while it was idle.
   */
  private backlogOf(band: PriorityBand, request: AdmissionRequest): TenantBacklog {
    const known = band.backlogs.get(request.tenant);
    if (known?.head()) return known;
    if (known) {
      known.virtualTimeMs = Math.max(known.virtualTimeMs, band.virtualTimeMs);
      return known;
    }
    const backlog = new TenantBacklog(request.tenant, request.tenantWeight, band.virtualTimeMs);
    band.backlogs.set(request.tenant, backlog);
    return backlog;
  }

  private leastServed(band: PriorityBand): TenantBacklog | undefined {
    let best: TenantBacklog | undefined;
    for (const backlog of band.backlogs.values()) {
      if (!backlog.head()) continue;
      if (best && !this.precedes(backlog, best)) continue;
      best = backlog;
    }
    return best;
  }

  private precedes(left: TenantBacklog, right: TenantBacklog): boolean {
    if (left.virtualTimeMs !== right.virtualTimeMs) return left.virtualTimeMs < right.virtualTimeMs;
    return (left.head()?.latestStartMs ?? Infinity) < (right.head()?.latestStartMs ?? Infinity);
  }

  /**
   * A request that arrives at an empty queue may start at any time up to its deadline. Otherwise
   * all requests of a class that was slow for a while would be refused, and without new
   * measurements its estimated service time would never recover.
   */
  private latestStartMs(request: AdmissionRequest, nowMs: number): number {
    if (this.backlogByRequest.size === 0) return request.deadlineMs;
    const meanMs = this.serviceTimes.meanMs(request.taskClass);
    const conservativeMs = this.serviceTimes.conservativeMs(request.taskClass);
    const maximumMarginMs = MAXIMUM_MARGIN_SHARE * (request.deadlineMs - nowMs);
    return request.deadlineMs - Math.min(conservativeMs, Math.max(meanMs, maximumMarginMs));
  }

  private removeExpired(nowMs: number): void {
    for (const band of this.bands) {
      for (const backlog of band.backlogs.values()) this.removeExpiredFrom(backlog, nowMs);
    }
  }

  private removeExpiredFrom(backlog: TenantBacklog, nowMs: number): void {
    for (;;) {
      const head = backlog.head();
      if (!head || head.latestStartMs >= nowMs) return;
      backlog.take();
      const { requestId } = head.request;
      this.backlogByRequest.delete(requestId);
      const retryAfterMs = this.reserveRetryTime(head.request, 0, nowMs);
      this.expired.push({ requestId, retryAfterMs, reason: 'could not start before its deadline' });
    }
  }
}
