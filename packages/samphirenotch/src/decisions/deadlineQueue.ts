/**
 * Serves by priority, fairly among tenants and by deadline, and refuses early what cannot finish in
 * time, with a time to come back that follows from the rate of service.
 */
import { ServiceTimes } from './serviceTimes.js';
import { TenantBacklog } from './tenantBacklog.js';

import type {
  AdmissionDecision,
  AdmissionQueue,
  AdmissionRequest,
  ShedRequest,
} from './admission.js';

/** Settings of the queue. */
export interface DeadlineQueueSettings {
  /** Most requests that may wait. */
  readonly maximumWaiting: number;
  /** Service time of a class that has not been seen, in milliseconds. */
  readonly defaultServiceMs: number;
  /** Shortest time to come back that is named, in milliseconds. */
  readonly minimumRetryAfterMs: number;
  /** Longest time to come back that is named, in milliseconds. */
  readonly maximumRetryAfterMs: number;
}

/** Settings that the entry uses unless told otherwise. */
export const DEADLINE_QUEUE_DEFAULTS: DeadlineQueueSettings = {
  maximumWaiting: 10_000,
  defaultServiceMs: 20,
  minimumRetryAfterMs: 50,
  maximumRetryAfterMs: 30_000,
};

/** Share of the time to a deadline that may be set aside for slow service. */
const MAXIMUM_MARGIN_SHARE = 0.5;

interface PriorityBand {
  readonly priority: number;
  readonly backlogs: Map<string, TenantBacklog>;
  virtualTimeMs: number;
}

/** A queue by priority, tenant and deadline. */
export class DeadlineQueue implements AdmissionQueue {
  private readonly settings: DeadlineQueueSettings;

  private readonly serviceTimes: ServiceTimes;

  /** Most urgent first. */
  private bands: PriorityBand[] = [];

  private readonly backlogByRequest = new Map<string, TenantBacklog>();

  /** Requests that ran out of time and have not been handed to the caller yet. */
  private expired: ShedRequest[] = [];

  private slots = 0;

  /** Until when the capacity is promised to callers that were told to come back. */
  private retriesReservedUntilMs = 0;

  /**
   * @param settings - bounds of the queue
   */
  constructor(settings: DeadlineQueueSettings = DEADLINE_QUEUE_DEFAULTS) {
    this.settings = settings;
    this.serviceTimes = new ServiceTimes(settings.defaultServiceMs);
  }

  /**
   * Admits what is likely to finish in time.
   *
   * @param request - the request
   * @param nowMs - time, in milliseconds
   * @returns whether it waits, and otherwise when to come back
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
   * Takes the next request to be served.
   *
   * @param nowMs - time, in milliseconds
   * @returns the request, or nothing if none waits that can finish in time
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
   * Takes out what can no longer finish in time.
   *
   * @param nowMs - time, in milliseconds
   * @returns the requests, each with when to come back
   */
  shed(nowMs: number): readonly ShedRequest[] {
    this.removeExpired(nowMs);
    const shed = this.expired;
    this.expired = [];
    return shed;
  }

  /**
   * Takes a request out whose caller went away.
   *
   * @param requestId - the request
   */
  withdraw(requestId: string): void {
    this.backlogByRequest.get(requestId)?.withdraw(requestId);
    this.backlogByRequest.delete(requestId);
  }

  /**
   * Learns how long a slot was held.
   *
   * @param taskClass - class of the request
   * @param serviceMs - how long, in milliseconds
   */
  recordServiceTime(taskClass: string, serviceMs: number): void {
    this.serviceTimes.observe(taskClass, serviceMs);
  }

  /**
   * Learns how many requests are served side by side.
   *
   * @param slots - their number; 0 while it is not known
   */
  setCapacity(slots: number): void {
    this.slots = slots;
  }

  /**
   * Counts the waiting requests.
   *
   * @returns their number
   */
  size(): number {
    return this.backlogByRequest.size;
  }

  /** A tenant waits for what it asked for earlier at its share, but never longer than for all. */
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

  /** Names to each refused caller a place of its own in the time after the backlog. */
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

  /** A tenant that returns after a pause starts level with the others. */
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
   * A request that finds nobody waiting may start until its deadline: otherwise a class that was
   * slow for a while would be refused for good, and nothing could be learned of its recovery.
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
