/**
 * Serves by priority, fairly among tenants and by deadline, and refuses early what cannot finish in
 * time, with a time to come back that follows from the rate of service.
 */
import { ServiceTimes } from './serviceTimes.js';
import { TenantBacklog } from './tenantBacklog.js';

import type { AdmissionDecision, AdmissionQueue, AdmissionWish, ShedRequest } from './admission.js';

/** Settings of the queue. */
export interface DeadlineQueueSettings {
  /** Most requests that may wait. */
  readonly maximumWaiting: number;
  /** Service time of a class that has not been seen, in milliseconds. */
  readonly assumedServiceMs: number;
  /** Shortest time to come back that is named, in milliseconds. */
  readonly shortestRetryAfterMs: number;
  /** Longest time to come back that is named, in milliseconds. */
  readonly longestRetryAfterMs: number;
}

/** Settings that the entry uses unless told otherwise. */
export const DEADLINE_QUEUE_DEFAULTS: DeadlineQueueSettings = {
  maximumWaiting: 10_000,
  assumedServiceMs: 20,
  shortestRetryAfterMs: 50,
  longestRetryAfterMs: 30_000,
};

/** Share of the time to a deadline that may be set aside for slow service. */
const LARGEST_CAUTION = 0.5;

interface PriorityBand {
  readonly priority: number;
  readonly backlogs: Map<string, TenantBacklog>;
  virtualMs: number;
}

/** A queue by priority, tenant and deadline. */
export class DeadlineQueue implements AdmissionQueue {
  private readonly settings: DeadlineQueueSettings;

  private readonly serviceTimes: ServiceTimes;

  /** Most urgent first. */
  private bands: PriorityBand[] = [];

  private readonly whereabouts = new Map<string, TenantBacklog>();

  /** Requests that ran out of time and have not been handed to the caller yet. */
  private lapsed: ShedRequest[] = [];

  private slots = 0;

  /** Until when the capacity is promised to callers that were told to come back. */
  private promisedUntilMs = 0;

  /**
   * @param settings - bounds of the queue
   */
  constructor(settings: DeadlineQueueSettings = DEADLINE_QUEUE_DEFAULTS) {
    this.settings = settings;
    this.serviceTimes = new ServiceTimes(settings.assumedServiceMs);
  }

  /**
   * Admits what is likely to finish in time.
   *
   * @param wish - the request
   * @param nowMs - time, in milliseconds
   * @returns whether it waits, and otherwise when to come back
   */
  offer(wish: AdmissionWish, nowMs: number): AdmissionDecision {
    const latestStartMs = this.latestStartMs(wish, nowMs);
    const waitMs = this.expectedWaitMs(wish, latestStartMs);
    const lateMs = nowMs + waitMs - latestStartMs;
    if (lateMs > 0) {
      return this.refuse(wish, lateMs, nowMs, 'cannot finish before its deadline');
    }
    if (this.whereabouts.size >= this.settings.maximumWaiting) {
      return this.refuse(wish, waitMs, nowMs, 'queue is full');
    }
    const backlog = this.backlogOf(this.bandOf(wish.priority), wish);
    const serviceMs = this.serviceTimes.meanMs(wish.taskClass);
    backlog.add({ wish, latestStartMs, serviceMs });
    this.whereabouts.set(wish.requestId, backlog);
    return { kind: 'admitted' };
  }

  /**
   * Takes the next request to be served.
   *
   * @param nowMs - time, in milliseconds
   * @returns the request, or nothing if none waits that can finish in time
   */
  next(nowMs: number): AdmissionWish | undefined {
    this.takeLapsed(nowMs);
    for (const band of this.bands) {
      const backlog = this.leastServed(band);
      const request = backlog?.take();
      if (!backlog || !request) continue;
      band.virtualMs = backlog.virtualMs;
      backlog.virtualMs += request.serviceMs / backlog.weight;
      this.whereabouts.delete(request.wish.requestId);
      return request.wish;
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
    this.takeLapsed(nowMs);
    const shed = this.lapsed;
    this.lapsed = [];
    return shed;
  }

  /**
   * Takes a request out whose caller went away.
   *
   * @param requestId - the request
   */
  withdraw(requestId: string): void {
    this.whereabouts.get(requestId)?.withdraw(requestId);
    this.whereabouts.delete(requestId);
  }

  /**
   * Learns how long a slot was held.
   *
   * @param taskClass - class of the request
   * @param serviceMs - how long, in milliseconds
   */
  observeService(taskClass: string, serviceMs: number): void {
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
    return this.whereabouts.size;
  }

  /** A tenant waits for what it asked for earlier at its share, but never longer than for all. */
  private expectedWaitMs(wish: AdmissionWish, latestStartMs: number): number {
    if (this.slots === 0) return 0;
    let urgentWorkMs = 0;
    for (const band of this.bands) {
      if (band.priority < wish.priority) break;
      if (band.priority === wish.priority) {
        const ownMs = this.bandWorkMs(band, wish, latestStartMs);
        return (urgentWorkMs + ownMs) / this.slots;
      }
      for (const backlog of band.backlogs.values()) urgentWorkMs += backlog.workMs();
    }
    return urgentWorkMs / this.slots;
  }

  private bandWorkMs(band: PriorityBand, wish: AdmissionWish, latestStartMs: number): number {
    let workMs = 0;
    const own = band.backlogs.get(wish.tenant)?.workBeforeMs(latestStartMs) ?? 0;
    for (const backlog of band.backlogs.values()) {
      const shareMs = (own * backlog.weight) / wish.tenantWeight;
      const isOwn = backlog.tenant === wish.tenant;
      workMs += isOwn ? own : Math.min(backlog.workMs(), shareMs);
    }
    return workMs;
  }

  private refuse(
    wish: AdmissionWish,
    lateMs: number,
    nowMs: number,
    reason: string,
  ): AdmissionDecision {
    return { kind: 'refused', retryAfterMs: this.promise(wish, lateMs, nowMs), reason };
  }

  /** Names to each refused caller a place of its own in the time after the backlog. */
  private promise(wish: AdmissionWish, lateMs: number, nowMs: number): number {
    const { shortestRetryAfterMs, longestRetryAfterMs } = this.settings;
    const serviceMs = this.serviceTimes.meanMs(wish.taskClass) / Math.max(1, this.slots);
    const latestMs = nowMs + longestRetryAfterMs;
    const fromMs = Math.max(this.promisedUntilMs, nowMs + lateMs, nowMs + shortestRetryAfterMs);
    this.promisedUntilMs = Math.min(latestMs, fromMs + serviceMs);
    return Math.ceil(Math.min(latestMs, fromMs) - nowMs);
  }

  private bandOf(priority: number): PriorityBand {
    const known = this.bands.find((band) => band.priority === priority);
    if (known) return known;
    const band: PriorityBand = { priority, backlogs: new Map(), virtualMs: 0 };
    this.bands = [...this.bands, band].sort((left, right) => right.priority - left.priority);
    return band;
  }

  /** A tenant that returns after a pause starts level with the others. */
  private backlogOf(band: PriorityBand, wish: AdmissionWish): TenantBacklog {
    const known = band.backlogs.get(wish.tenant);
    if (known?.head()) return known;
    if (known) {
      known.virtualMs = Math.max(known.virtualMs, band.virtualMs);
      return known;
    }
    const backlog = new TenantBacklog(wish.tenant, wish.tenantWeight, band.virtualMs);
    band.backlogs.set(wish.tenant, backlog);
    return backlog;
  }

  private leastServed(band: PriorityBand): TenantBacklog | undefined {
    let best: TenantBacklog | undefined;
    for (const backlog of band.backlogs.values()) {
      if (!backlog.head()) continue;
      if (best && !this.goesBefore(backlog, best)) continue;
      best = backlog;
    }
    return best;
  }

  private goesBefore(left: TenantBacklog, right: TenantBacklog): boolean {
    if (left.virtualMs !== right.virtualMs) return left.virtualMs < right.virtualMs;
    return (left.head()?.latestStartMs ?? Infinity) < (right.head()?.latestStartMs ?? Infinity);
  }

  /**
   * A request that finds nobody waiting may start until its deadline: otherwise a class that was
   * slow for a while would be refused for good, and nothing could be learned of its recovery.
   */
  private latestStartMs(wish: AdmissionWish, nowMs: number): number {
    if (this.whereabouts.size === 0) return wish.deadlineMs;
    const meanMs = this.serviceTimes.meanMs(wish.taskClass);
    const cautiousMs = this.serviceTimes.cautiousMs(wish.taskClass);
    const halfMs = LARGEST_CAUTION * (wish.deadlineMs - nowMs);
    return wish.deadlineMs - Math.min(cautiousMs, Math.max(meanMs, halfMs));
  }

  private takeLapsed(nowMs: number): void {
    for (const band of this.bands) {
      for (const backlog of band.backlogs.values()) this.takeLapsedFrom(backlog, nowMs);
    }
  }

  private takeLapsedFrom(backlog: TenantBacklog, nowMs: number): void {
    for (;;) {
      const head = backlog.head();
      if (!head || head.latestStartMs >= nowMs) return;
      backlog.take();
      const { requestId } = head.wish;
      this.whereabouts.delete(requestId);
      const retryAfterMs = this.promise(head.wish, 0, nowMs);
      this.lapsed.push({ requestId, retryAfterMs, reason: 'could not start before its deadline' });
    }
  }
}
