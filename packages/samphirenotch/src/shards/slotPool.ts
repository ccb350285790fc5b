/**
 * Request slots of all workers in the shards that this entry owns.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import type { WorkerCandidate, WorkerChoice } from '../decisions/workerChoice.js';
import type { Clock } from '../time/clock.js';
import { LedgerSlot } from './ledgerSlot.js';
import type { OwnedWorker } from './ownedWorker.js';
import type { ShardHandler } from './shardHandler.js';
import type { Slot, SlotSource, SlotRequest } from './shardService.js';
import { SendGuard } from './sendGuard.js';

/** Chooses a worker for each request, and takes a slot there. */
export class SlotPool implements SlotSource {
  private readonly guard: SendGuard;

  /** Callbacks of requests that wait for a free slot. */
  private readonly waiters = new Set<() => void>();

  /**
   * @param handler - the shards that this entry owns
   * @param configuration - the configuration in force
   * @param choice - chooses among workers with free slots
   * @param clock - time for the choice and for latency measurements
   */
  constructor(
    private readonly handler: ShardHandler,
    private readonly configuration: ConfigurationView,
    private readonly choice: WorkerChoice,
    private readonly clock: Clock,
  ) {
    this.guard = new SendGuard(configuration);
    handler.onRoomFreed(() => this.notifyWaiters());
  }

  takeSlot(request: SlotRequest): Slot | undefined {
    const free = this.workersServing(request.service).filter(
      (owned) => owned.ledger.freeSlots() > 0 && !request.excludedWorkers.includes(owned.id),
    );
    const candidates = free.map((owned) => this.candidate(owned));
    const chosen = this.choice.choose(request.taskClass, candidates, this.clock.monotonicMs());
    const owned = free.find(({ id }) => id === chosen?.workerId);
    if (!owned?.ledger.tryTakeSlot()) return undefined;
    const { guard, choice, clock } = this;
    const onFreed = (): void => this.notifyWaiters();
    const { taskClass } = request;
    const deadlineMs = this.configuration.current()?.taskClasses.get(taskClass)?.deadlineMs ?? 0;
    return new LedgerSlot({ owned, taskClass, deadlineMs, guard, choice, clock, onFreed });
  }

  serves(service: string): boolean {
    return this.workersServing(service).length > 0;
  }

  waitForFreeSlot(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        this.waiters.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.waiters.add(finish);
      signal.addEventListener('abort', finish);
    });
  }

  freeSlots(): number {
    return this.usableWorkers()
      .map((owned) => owned.ledger.freeSlots())
      .reduce((sum, slots) => sum + slots, 0);
  }

  private workersServing(service: string): readonly OwnedWorker[] {
    const dataCentres = this.configuration.current()?.services.get(service)?.dataCentres ?? [];
    return this.usableWorkers().filter((owned) => dataCentres.includes(owned.listed.dataCentre));
  }

  private usableWorkers(): readonly OwnedWorker[] {
    return this.handler
      .owners()
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

  private notifyWaiters(): void {
    [...this.waiters].forEach((finish) => finish());
  }
}
