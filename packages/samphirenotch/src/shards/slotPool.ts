/**
 * Request slots of all workers whose shards this entry owns.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import type { WorkerCandidate, WorkerChoice } from '../decisions/workerChoice.js';
import type { Clock } from '../time/clock.js';
import { LedgerSlot } from './ledgerSlot.js';
import type { OwnedWorker } from './ownedWorker.js';
import type { ShardHandler } from './shardHandler.js';
import type { Slot, SlotSource, SlotWish } from './shardService.js';
import { StartGuard } from './startGuard.js';

/** Takes slots from the ledgers of owned workers. */
export class SlotPool implements SlotSource {
  private readonly guard: StartGuard;

  private readonly waiting = new Set<() => void>();

  /**
   * @param handler - the shards owned here
   * @param configuration - the configuration in force
   * @param choice - chooses among workers
   * @param clock - for the choice
   */
  constructor(
    private readonly handler: ShardHandler,
    private readonly configuration: ConfigurationView,
    private readonly choice: WorkerChoice,
    private readonly clock: Clock,
  ) {
    this.guard = new StartGuard(configuration);
    handler.onRoom(() => this.wakeAll());
  }

  takeSlot(wish: SlotWish): Slot | undefined {
    const free = this.usable(wish.service).filter(
      (owned) => owned.ledger.freeSlots() > 0 && !wish.excludedWorkers.includes(owned.id),
    );
    const candidates = free.map((owned) => this.candidate(owned));
    const chosen = this.choice.choose(wish.taskClass, candidates, this.clock.monotonicMs());
    const owned = free.find(({ id }) => id === chosen?.workerId);
    if (!owned?.ledger.tryTakeSlot()) return undefined;
    const { guard, choice, clock } = this;
    const onFreed = (): void => this.wakeAll();
    const { taskClass } = wish;
    const deadlineMs = this.configuration.current()?.taskClasses.get(taskClass)?.deadlineMs ?? 0;
    return new LedgerSlot({ owned, taskClass, deadlineMs, guard, choice, clock, onFreed });
  }

  serves(service: string): boolean {
    return this.usable(service).length > 0;
  }

  slotFreed(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        this.waiting.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.waiting.add(finish);
      signal.addEventListener('abort', finish);
    });
  }

  freeSlots(): number {
    return this.allowed()
      .map((owned) => owned.ledger.freeSlots())
      .reduce((sum, slots) => sum + slots, 0);
  }

  private usable(service: string): readonly OwnedWorker[] {
    const dataCentres = this.configuration.current()?.services.get(service)?.dataCentres ?? [];
    return this.allowed().filter((owned) => dataCentres.includes(owned.listed.dataCentre));
  }

  private allowed(): readonly OwnedWorker[] {
    return this.handler
      .owned()
      .flatMap((owner) => owner.workers())
      .map(({ owned }) => owned)
      .filter((owned) => this.guard.refuseRequest(owned) === undefined);
  }

  private candidate(owned: OwnedWorker): WorkerCandidate {
    return {
      workerId: owned.id,
      busySlots: owned.ledger.busySlots(),
      slots: owned.listed.slots,
      neighbours: [...owned.attempts.values()].map(({ taskClass }) => taskClass),
    };
  }

  private wakeAll(): void {
    [...this.waiting].forEach((finish) => finish());
  }
}
