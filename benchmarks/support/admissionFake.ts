/**
 * Slots behind an admission queue in simulated time, with callers that come back when told to.
 *
 * @packageDocumentation
 */

import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import type { AdmissionQueue, AdmissionRequest } from 'samphirenotch/decisions/admission.js';

import { EventLoop } from './eventLoop.js';
import { type Firm, workersPerDataCentre } from './firms.js';

/** What happens during a run. */
export interface AdmissionScenario {
  readonly name: string;
  /** Offered load relative to capacity. */
  readonly load: (nowMs: number) => number;
  /** How much longer requests hold a slot than usual. */
  readonly slowness: (nowMs: number) => number;
  /** Whether refused callers come back once, at the time that they were told. */
  readonly callersReturn: boolean;
}

/** One run. */
export interface AdmissionRun {
  readonly firm: Firm;
  readonly scenario: AdmissionScenario;
  readonly seed: number;
  readonly queue: AdmissionQueue;
}

/** A caller's request as the benchmark follows it. */
interface Ask {
  readonly wish: AdmissionRequest;
  readonly isReturn: boolean;
}

const RUN_MS = 14_000;
const WARM_UP_MS = 2_000;
const QUICK_SHARE = 0.7;
const QUICK_PRIORITY = 5;
const PATIENT_PRIORITY = 2;
const PATIENT_SERVICE_FACTOR = 2;
const PATIENT_DEADLINE_FACTOR = 8;
/** The first tenant asks for more than half; all have the same weight. */
const TENANT_SHARES = [0.55, 0.15, 0.15, 0.15];

/** A run of callers against a queue. */
class AdmissionFake {
  private readonly loop = new EventLoop();

  private readonly random: SeededRandom;

  private readonly slots: number;

  private readonly asks = new Map<string, Ask>();

  private readonly usefulByTenant = new Map<string, number>();

  private readonly offeredByTenant = new Map<string, number>();

  private busySlots = 0;

  private sequence = 0;

  private quickOffered = 0;

  private quickUseful = 0;

  private usefulWorkMs = 0;

  private returns = 0;

  private usefulReturns = 0;

  constructor(private readonly run: AdmissionRun) {
    this.random = new SeededRandom(run.seed);
    this.slots = workersPerDataCentre(run.firm) * run.firm.slots;
    run.queue.setCapacity(this.slots);
  }

  measure(): Record<string, number> {
    this.planArrival();
    this.loop.runUntil(RUN_MS);
    const capacityMs = this.slots * (RUN_MS - WARM_UP_MS);
    return {
      goodput: this.usefulWorkMs / capacityMs,
      'quick in time': this.quickUseful / Math.max(1, this.quickOffered),
      'least tenant': this.leastTenantShare(),
      'returns in time': this.usefulReturns / Math.max(1, this.returns),
    };
  }

  private meanServiceMs(): number {
    const { serviceMs } = this.run.firm.quick;
    return serviceMs * (QUICK_SHARE + (1 - QUICK_SHARE) * PATIENT_SERVICE_FACTOR);
  }

  private planArrival(): void {
    const load = this.run.scenario.load(this.loop.nowMs());
    const gapMs = this.meanServiceMs() / (this.slots * load);
    this.loop.after(this.random.exponential(gapMs), () => {
      this.ask(this.newWish(), false);
      this.planArrival();
    });
  }

  private newWish(): AdmissionRequest {
    const { quick } = this.run.firm;
    const isQuick = this.random.fraction() < QUICK_SHARE;
    const deadlineMs = quick.deadlineMs * (isQuick ? 1 : PATIENT_DEADLINE_FACTOR);
    this.sequence += 1;
    return {
      requestId: `request-${this.sequence}`,
      taskClass: isQuick ? quick.taskClass : 'patient',
      tenant: this.drawTenant(),
      tenantWeight: 1,
      priority: isQuick ? QUICK_PRIORITY : PATIENT_PRIORITY,
      deadlineMs: this.loop.nowMs() + deadlineMs,
    };
  }

  private drawTenant(): string {
    let left = this.random.fraction();
    const index = TENANT_SHARES.findIndex((share) => {
      left -= share;
      return left < 0;
    });
    return `tenant-${Math.max(0, index)}`;
  }

  private ask(wish: AdmissionRequest, isReturn: boolean): void {
    const nowMs = this.loop.nowMs();
    if (nowMs >= WARM_UP_MS) this.countOffer(wish, isReturn);
    this.asks.set(wish.requestId, { wish, isReturn });
    const decision = this.run.queue.offer(wish, nowMs);
    if (decision.kind === 'refused') this.refused(wish.requestId, decision.retryAfterMs);
    this.dispatch();
  }

  private countOffer(wish: AdmissionRequest, isReturn: boolean): void {
    if (isReturn) {
      this.returns += 1;
      return;
    }
    if (wish.priority !== QUICK_PRIORITY) return;
    this.quickOffered += 1;
    this.offeredByTenant.set(wish.tenant, (this.offeredByTenant.get(wish.tenant) ?? 0) + 1);
  }

  private refused(requestId: string, retryAfterMs: number): void {
    const ask = this.asks.get(requestId);
    this.asks.delete(requestId);
    if (!ask || ask.isReturn || !this.run.scenario.callersReturn) return;
    this.loop.after(retryAfterMs, () => this.ask(this.renew(ask.wish), true));
  }

  private renew(wish: AdmissionRequest): AdmissionRequest {
    const { quick } = this.run.firm;
    const factor = wish.priority === QUICK_PRIORITY ? 1 : PATIENT_DEADLINE_FACTOR;
    const deadlineMs = this.loop.nowMs() + quick.deadlineMs * factor;
    return { ...wish, requestId: `${wish.requestId}-again`, deadlineMs };
  }

  private dispatch(): void {
    const { queue } = this.run;
    const nowMs = this.loop.nowMs();
    while (this.busySlots < this.slots) {
      const wish = queue.next(nowMs);
      if (!wish) break;
      this.serve(wish);
    }
    for (const { requestId, retryAfterMs } of queue.shed(nowMs)) {
      this.refused(requestId, retryAfterMs);
    }
  }

  private serve(wish: AdmissionRequest): void {
    const { firm, queue, scenario } = this.run;
    const factor = wish.priority === QUICK_PRIORITY ? 1 : PATIENT_SERVICE_FACTOR;
    const usualMs = firm.quick.serviceMs * factor;
    const drawnMs = usualMs / 2 + this.random.exponential(usualMs / 2);
    const serviceMs = drawnMs * scenario.slowness(this.loop.nowMs());
    this.busySlots += 1;
    this.loop.after(serviceMs, () => {
      this.busySlots -= 1;
      queue.recordServiceTime(wish.taskClass, serviceMs, this.loop.nowMs());
      this.finished(wish, usualMs);
      this.dispatch();
    });
  }

  private finished(wish: AdmissionRequest, usualMs: number): void {
    const nowMs = this.loop.nowMs();
    const ask = this.asks.get(wish.requestId);
    this.asks.delete(wish.requestId);
    if (!ask || nowMs < WARM_UP_MS || nowMs > wish.deadlineMs) return;
    this.usefulWorkMs += usualMs;
    if (ask.isReturn) {
      this.usefulReturns += 1;
      return;
    }
    if (wish.priority !== QUICK_PRIORITY) return;
    this.quickUseful += 1;
    this.usefulByTenant.set(wish.tenant, (this.usefulByTenant.get(wish.tenant) ?? 0) + 1);
  }

  /** Quick answers of the worst tenant, relative to its demand or its fair share if that is less. */
  private leastTenantShare(): number {
    const fair = this.quickUseful / TENANT_SHARES.length;
    const shares = [...this.offeredByTenant].map(([tenant, offered]) => {
      const useful = this.usefulByTenant.get(tenant) ?? 0;
      return useful / Math.max(1, Math.min(offered, fair));
    });
    return Math.min(1, ...shares);
  }
}

/**
 * Runs callers against an admission queue.
 *
 * @param run - firm, scenario, seed and queue
 * @returns useful work relative to capacity, and shares of requests that were answered in time
 */
export const runAdmission = (run: AdmissionRun): Record<string, number> =>
  new AdmissionFake(run).measure();
