/**
 * Requests that fail or stall at random, sent again as a policy allows, in simulated time.
 *
 * @packageDocumentation
 */

import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import type { RetryPolicy } from 'samphirenotch/decisions/retryPolicy.js';

import { EventLoop } from './eventLoop.js';
import { type Firm, workersPerDataCentre } from './firms.js';
import { quantile } from './statistics.js';

/** What happens during a run. */
export interface RetryScenario {
  readonly name: string;
  /** Offered load relative to capacity, first sends only. */
  readonly load: number;
  /** Share of sends that fail. */
  readonly failing: (nowMs: number) => number;
  /** Share of sends that stall. */
  readonly stalling: number;
}

/** One run. */
export interface RetryRun {
  readonly firm: Firm;
  readonly scenario: RetryScenario;
  readonly seed: number;
  readonly policy: RetryPolicy;
}

interface Request {
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
  pendingSends: number;
  isAnswered: boolean;
}

const RUN_MS = 15_000;
const STALL_FACTOR = 10;
const FAILURE_SHARE_OF_SERVICE = 0.2;

/** A run of requests against a pool of slots. */
class RetryFake {
  private readonly loop = new EventLoop();

  private readonly random: SeededRandom;

  private readonly slots: number;

  private readonly queue: Request[] = [];

  private readonly latenciesMs: number[] = [];

  private busySlots = 0;

  private firstSends = 0;

  private furtherSends = 0;

  private inTime = 0;

  constructor(private readonly run: RetryRun) {
    this.random = new SeededRandom(run.seed);
    this.slots = workersPerDataCentre(run.firm) * run.firm.slots;
  }

  measure(): Record<string, number> {
    this.planArrival();
    this.loop.runUntil(RUN_MS);
    return {
      p50: quantile(this.latenciesMs, 0.5),
      p99: quantile(this.latenciesMs, 0.99),
      'p99.9': quantile(this.latenciesMs, 0.999),
      'in time': this.inTime / Math.max(1, this.firstSends),
      'sends per request': 1 + this.furtherSends / Math.max(1, this.firstSends),
    };
  }

  private planArrival(): void {
    const { firm, policy, scenario } = this.run;
    const gapMs = firm.quick.serviceMs / (this.slots * scenario.load);
    this.loop.after(this.random.exponential(gapMs), () => {
      const arrivedAtMs = this.loop.nowMs();
      const deadlineMs = arrivedAtMs + firm.quick.deadlineMs;
      const request = { arrivedAtMs, deadlineMs, pendingSends: 0, isAnswered: false };
      this.firstSends += 1;
      policy.recordFirstSend(arrivedAtMs);
      this.send(request);
      this.planHedge(request);
      this.planArrival();
    });
  }

  private planHedge(request: Request): void {
    const delayMs = this.run.policy.hedgeDelayMs(this.run.firm.quick.taskClass);
    if (delayMs === undefined) return;
    this.loop.after(delayMs, () => {
      if (!request.isAnswered && request.pendingSends > 0) this.sendAgain(request);
    });
  }

  /** As at an entry, a further send takes a slot that is free at once or is not made. */
  private sendAgain(request: Request): void {
    const nowMs = this.loop.nowMs();
    if (nowMs >= request.deadlineMs) return;
    if (this.busySlots >= this.slots) return;
    if (!this.run.policy.tryRetry(nowMs)) return;
    this.furtherSends += 1;
    this.send(request);
  }

  private send(request: Request): void {
    Object.assign(request, { pendingSends: request.pendingSends + 1 });
    this.queue.push(request);
    this.dispatch();
  }

  private dispatch(): void {
    while (this.busySlots < this.slots) {
      const request = this.queue.shift();
      if (!request) return;
      this.serve(request);
    }
  }

  private serve(request: Request): void {
    const { firm, scenario, policy } = this.run;
    const sentAtMs = this.loop.nowMs();
    const fails = this.random.fraction() < scenario.failing(sentAtMs);
    const stalls = this.random.fraction() < scenario.stalling;
    const usualMs = firm.quick.serviceMs * (stalls ? STALL_FACTOR : 1);
    const drawnMs = usualMs / 2 + this.random.exponential(usualMs / 2);
    this.busySlots += 1;
    this.loop.after(fails ? drawnMs * FAILURE_SHARE_OF_SERVICE : drawnMs, () => {
      this.busySlots -= 1;
      Object.assign(request, { pendingSends: request.pendingSends - 1 });
      if (!fails) policy.observeLatency(firm.quick.taskClass, this.loop.nowMs() - sentAtMs);
      this.finish(request, fails);
      this.dispatch();
    });
  }

  private finish(request: Request, failed: boolean): void {
    if (request.isAnswered) return;
    if (failed) {
      this.sendAgain(request);
      return;
    }
    const nowMs = this.loop.nowMs();
    Object.assign(request, { isAnswered: true });
    this.latenciesMs.push(nowMs - request.arrivedAtMs);
    if (nowMs <= request.deadlineMs) this.inTime += 1;
  }
}

/**
 * Runs requests with a retry policy.
 *
 * @param run - firm, scenario, seed and policy
 * @returns latency quantiles of answered requests, the share in time, and sends per request
 */
export const runRetries = (run: RetryRun): Record<string, number> => new RetryFake(run).measure();
