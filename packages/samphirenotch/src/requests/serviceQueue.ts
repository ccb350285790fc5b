/**
 * Requests to one service that wait at this entry for a slot.
 */
import type { AdmissionQueue } from '../decisions/admission.js';
import type { Failure, FailureCode } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import type { Slot, SlotSource } from '../shards/shardService.js';
import { remainingMs, type Call } from '../time/call.js';
import { CALL_ENDED } from '../time/callEnded.js';
import type { Clock } from '../time/clock.js';
import { refusal } from './refusal.js';

/** Time between two looks at what can no longer finish in time, in milliseconds. */
const SHED_INTERVAL_MS = 5;

const STEP = 'requests.queue';

/** Who waits. */
export interface QueueWish {
  readonly taskClass: string;
  readonly tenant: string;
  readonly tenantWeight: number;
  readonly priority: number;
}

/** What the queue is made of. */
export interface ServiceQueueParts {
  readonly service: string;
  readonly admission: AdmissionQueue;
  readonly slots: SlotSource;
  readonly clock: Clock;
  /** Name of this entry, for failures. */
  readonly entry: string;
  /** Requests of this entry that hold a slot now. */
  readonly slotsInUse: () => number;
}

interface Waiter {
  readonly taskClass: string;
  readonly settle: (result: Result<Slot, Failure>) => void;
}

/** A queue in front of the slots of a service. */
export class ServiceQueue {
  private readonly waiters = new Map<string, Waiter>();

  private nextTicket = 0;

  private serving = false;

  /**
   * @param parts - what the queue is made of
   */
  constructor(private readonly parts: ServiceQueueParts) {}

  /** Requests that wait. */
  get size(): number {
    return this.waiters.size;
  }

  /**
   * Learns how long a slot was held.
   *
   * @param taskClass - class of the request
   * @param heldMs - time that the slot was held, in milliseconds
   */
  observe(taskClass: string, heldMs: number): void {
    this.parts.admission.recordServiceTime(taskClass, heldMs, this.parts.clock.monotonicMs());
  }

  /**
   * Waits for a slot.
   *
   * @param wish - who waits
   * @param call - deadline and cancellation
   * @returns the slot, or a refusal
   */
  async wait(wish: QueueWish, call: Call): Promise<Result<Slot, Failure>> {
    const { admission, clock, slots } = this.parts;
    admission.setCapacity(slots.freeSlots() + this.parts.slotsInUse());
    this.nextTicket += 1;
    const ticket = String(this.nextTicket);
    const { deadlineMs } = call;
    const decision = admission.offer(
      { ...wish, requestId: ticket, deadlineMs },
      clock.monotonicMs(),
    );
    if (decision.kind === 'refused') {
      return Err(this.failure('overloaded', decision.reason, decision.retryAfterMs));
    }
    const leave = (): void => this.withdraw(ticket, 'cancelled', 'The caller left the queue.');
    const waiting = new Promise<Result<Slot, Failure>>((resolve) => {
      this.waiters.set(ticket, { taskClass: wish.taskClass, settle: resolve });
    });
    call.signal.addEventListener('abort', leave);
    if (call.signal.aborted) leave();
    const over = new AbortController();
    this.expire(ticket, call, over.signal).catch(() => {});
    this.serve();
    const result = await waiting;
    over.abort(CALL_ENDED);
    call.signal.removeEventListener('abort', leave);
    return result;
  }

  private async expire(ticket: string, call: Call, over: AbortSignal): Promise<void> {
    await this.parts.clock.sleep(remainingMs(this.parts.clock, call), over);
    if (over.aborted) return;
    this.withdraw(ticket, 'deadline', 'The deadline passed in the queue.');
  }

  private withdraw(ticket: string, code: FailureCode, message: string): void {
    this.parts.admission.withdraw(ticket);
    this.settle(ticket, Err(this.failure(code, message)));
  }

  private settle(ticket: string, result: Result<Slot, Failure>): void {
    const waiter = this.waiters.get(ticket);
    if (!waiter) return;
    this.waiters.delete(ticket);
    waiter.settle(result);
  }

  private serve(): void {
    if (this.serving) return;
    this.serving = true;
    this.serveLoop().finally(() => {
      this.serving = false;
    });
  }

  private async serveLoop(): Promise<void> {
    const { clock, slots } = this.parts;
    while (this.waiters.size > 0) {
      this.shed();
      this.handOut();
      if (!slots.serves(this.parts.service)) this.sendAway();
      if (this.waiters.size === 0) return;
      const round = new AbortController();
      const tick = clock.sleep(SHED_INTERVAL_MS, round.signal);
      await Promise.race([slots.waitForFreeSlot(round.signal), tick]);
      round.abort(CALL_ENDED);
    }
  }

  private shed(): void {
    for (const { requestId, retryAfterMs, reason } of this.parts.admission.shed(
      this.parts.clock.monotonicMs(),
    )) {
      this.settle(requestId, Err(this.failure('overloaded', reason, retryAfterMs)));
    }
  }

  /** The workers have gone to another entry; those that wait are placed anew. */
  private sendAway(): void {
    for (const ticket of [...this.waiters.keys()]) {
      this.withdraw(ticket, 'not-owner', 'The workers of the service have another owner now.');
    }
  }

  private handOut(): void {
    const { admission, clock, service, slots } = this.parts;
    while (slots.freeSlots() > 0) {
      const wish = admission.next(clock.monotonicMs());
      if (!wish) return;
      if (!this.waiters.has(wish.requestId)) continue;
      const { taskClass } = wish;
      const slot = slots.takeSlot({ service, taskClass, excludedWorkers: [] });
      if (slot) {
        this.settle(wish.requestId, Ok(slot));
        continue;
      }
      this.putBack(wish);
      return;
    }
  }

  private putBack(wish: Parameters<AdmissionQueue['offer']>[0]): void {
    const decision = this.parts.admission.offer(wish, this.parts.clock.monotonicMs());
    if (decision.kind === 'admitted') return;
    const failure = this.failure('overloaded', decision.reason, decision.retryAfterMs);
    this.settle(wish.requestId, Err(failure));
  }

  private failure(code: FailureCode, message: string, retryAfterMs?: number): Failure {
    const timed = retryAfterMs === undefined ? {} : { retryAfterMs };
    return refusal({ code, step: STEP, peer: this.parts.entry, message, ...timed });
  }
}
