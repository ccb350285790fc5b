/**
 * A request slot at a worker, counted by the worker's capacity ledger.
 */
import type { WorkerChoice } from '../decisions/workerChoice.js';
import type { Worker } from '../infrastructure/worker.js';
import type { Clock } from '../time/clock.js';
import type { OwnedWorker } from './ownedWorker.js';
import type { Slot, SlotOutcome } from './shardService.js';
import type { SendGuard } from './sendGuard.js';

/** Target latency of a request at a worker, as a fraction of the deadline of its class. */
const TARGET_DEADLINE_FRACTION = 0.5;

/** Dependencies of a slot, and the class of its request. */
export interface SlotParts {
  readonly owned: OwnedWorker;
  readonly taskClass: string;
  /** Deadline of the task class, in milliseconds; 0 if unknown. */
  readonly deadlineMs: number;
  readonly guard: SendGuard;
  readonly choice: WorkerChoice;
  readonly clock: Clock;
  /** Called after the slot was released. */
  readonly onFreed: () => void;
}

/** A slot that the ledger counts as used until it is released. */
export class LedgerSlot implements Slot {
  private released = false;

  /**
   * @param parts - dependencies and class of the request
   */
  constructor(private readonly parts: SlotParts) {}

  get worker(): Worker {
    return this.parts.owned.worker;
  }

  get workerId(): string {
    return this.parts.owned.id;
  }

  get epoch(): number {
    return this.parts.owned.grant.epoch;
  }

  maySend(): boolean {
    return !this.released && this.parts.guard.refuseRequest(this.parts.owned) === undefined;
  }

  release(outcome: SlotOutcome): void {
    if (this.released) return;
    this.released = true;
    const { owned, onFreed } = this.parts;
    owned.ledger.releaseSlot(outcome.kind !== 'silent');
    owned.onSlotReleased();
    this.observe(outcome);
    onFreed();
  }

  private observe({ kind, latencyMs }: SlotOutcome): void {
    if (kind === 'unused') return;
    const { choice, clock, taskClass } = this.parts;
    const nowMs = clock.monotonicMs();
    choice.observe({ workerId: this.workerId, taskClass, kind, latencyMs, nowMs });
    if (kind === 'answered') this.recordLatency(latencyMs, nowMs);
  }

  private recordLatency(latencyMs: number, nowMs: number): void {
    const { owned, taskClass, deadlineMs } = this.parts;
    owned.requestClasses.add(taskClass);
    owned.latency.observe(latencyMs, deadlineMs * TARGET_DEADLINE_FRACTION, nowMs);
  }
}
