/**
 * Exchange of tasks between owners of shares: delegates tasks to them and accepts theirs.
 */
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { onAbort } from '../../time/abortListeners.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedJob, OwnedStep, OwnedTask } from '../model/ownedJob.js';
import type { InterruptedRoom } from '../model/shareCapacity.js';
import type { ShareLayout } from '../model/shareLayout.js';
import type { RoomOutlook } from '../placement/interruptedRoom.js';
import { InterruptedSpill } from '../placement/interruptedSpill.js';
import { byInterruption, isInterrupted } from '../placement/interruptedTasks.js';
import { Refusals } from '../placement/refusals.js';
import {
  hasWaitedAtHome,
  MostFreeRoomSpill,
  type Spill,
  type SpillTarget,
  type UnplacedStep,
} from '../placement/spillOver.js';
import type { JobRegistry } from '../store/jobRegistry.js';
import { keysOfShare } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { ShareCapacityCache } from '../store/shareCapacityCache.js';
import { StoreFollower } from '../store/storeFollower.js';
import { OutgoingDelegations } from './outgoingDelegations.js';
import type { DelegationStatus } from './entryStatus.js';
import { IncomingDelegations } from './incomingDelegations.js';
import { Inbox } from './inbox.js';
import type { TakeoverState } from './takeover.js';
import type { TaskOutcomes } from './taskOutcomes.js';

/** Shortest time between two checks for tasks to delegate or return, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 50;

/**
 * How long tasks of another share wait for a worker before they go back, in milliseconds: a new
 * owner does not know its workers at first.
 */
const RETURN_AFTER_MS = 1_000;

/**
 * The same for interrupted tasks where there should be room for them, in milliseconds: by then it has not become
 * free on any one worker.
 */
const RETURN_INTERRUPTED_AFTER_MS = 6_000;

/** Highest age at which the known room of other shares is used, in milliseconds. */
const MAX_ROOMS_AGE_MS = 300;

/** Time without a confirmed lease after which the store counts as unreachable, in milliseconds. */
const STORE_UNREACHABLE_MS = 1_500;

const interruptedTasksOf = (steps: readonly OwnedStep[]): readonly OwnedTask[] =>
  steps.flatMap(({ tasks }) => tasks.filter(isInterrupted));

/** Settings and collaborators of a `ShareExchange`. */
export interface ShareExchangeOptions {
  /** Id of this share. */
  readonly share: string;
  readonly layout: ShareLayout;
  readonly fencingToken: number;
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  readonly rooms: ShareCapacityCache;
  readonly book: JobRegistry;
  readonly outcomes: TaskOutcomes;
  readonly takeover: TakeoverState;
  readonly clock: Clock;
  /** Returns for how long the store has not confirmed the lease, in milliseconds. */
  readonly unconfirmedMs: () => number;
  /** Returns the room of this share for interrupted tasks by service. */
  readonly roomForInterrupted: () => ReadonlyMap<string, InterruptedRoom>;
  /** Returns when a worker of this share has room for an interrupted task. */
  readonly outlookFor: (task: OwnedTask) => RoomOutlook;
  /** Called when there may be tasks to start. */
  readonly onNews: () => void;
}

/** Exchanges tasks with the owners of other shares during one term. */
export class ShareExchange {
  private readonly log = partLog('exchange');

  private readonly outgoing: OutgoingDelegations;

  private readonly incoming: IncomingDelegations;

  private readonly inbox: Inbox;

  private readonly follower: StoreFollower;

  private readonly refusals = new Refusals();

  private readonly spillPolicy = new MostFreeRoomSpill(this.refusals);

  private readonly interruptedSpill = new InterruptedSpill(this.refusals);

  private checkedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: ShareExchangeOptions) {
    const { share, fencingToken, takeover, book, outcomes, replica, store, clock, onNews } =
      options;
    const { journal, exchange } = takeover;
    const keys = keysOfShare(share);
    this.outgoing = new OutgoingDelegations({
      ...options,
      journal,
      tokenOf: (id) => replica.shares.owner(id)?.revision,
      onDone: (task) => outcomes.markDone(task),
      onFailed: (task) => outcomes.failJobIfExhausted(task),
      onGivenUp: (task) => outcomes.giveUp(task),
      onReturned: (step, from) => this.onTasksReturned(step, from),
    });
    this.incoming = new IncomingDelegations({
      ...options,
      journal,
      stopRuns: (job, reason) => outcomes.stopRuns(job, reason),
    });
    book.setListeners({
      onGuestProgress: (job) => this.incoming.report(job),
      onEndStored: (job) => this.outgoing.recallAll(job),
    });
    this.inbox = new Inbox(keys, fencingToken, this.incoming, this.outgoing, exchange, onNews);
    this.follower = new StoreFollower(store, keys.inboxPrefix, this.inbox, clock);
  }

  /** @returns the number of open delegations: of this share's tasks, and of other shares' tasks */
  counts(): { readonly away: number; readonly guests: number } {
    return { away: this.outgoing.count, guests: this.incoming.count };
  }

  /**
   * Lists the open delegations of a job of this share.
   *
   * @param jobId - id of the job
   * @returns the delegations
   */
  delegationsOf(jobId: string): readonly DelegationStatus[] {
    return this.outgoing.statusOf(jobId);
  }

  /**
   * Follows the inbox of this share.
   *
   * @param signal - ends it
   */
  async run(signal: AbortSignal): Promise<void> {
    await this.follower.run(signal);
  }

  /**
   * Restores the delegations of former owners; the share's own jobs must be restored before.
   *
   * @param signal - ends the wait
   */
  async restore(signal: AbortSignal): Promise<void> {
    const { takeover, clock } = this.options;
    this.outgoing.restore(takeover.openDelegations, takeover.exchange);
    const ended = new Promise<void>((resolve) => {
      onAbort(signal, resolve);
    });
    await Promise.race([this.inbox.listed, ended]);
    this.log.info('Delegations are restored', {
      share: this.options.share,
      ...this.counts(),
      atMs: Math.round(clock.monotonicMs()),
    });
  }

  /**
   * Delegates or returns tasks that find no worker.
   *
   * @param steps - steps without a worker, the most urgent first
   */
  check(steps: readonly UnplacedStep[]): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < this.checkedMs + MIN_CHECK_INTERVAL_MS) return;
    this.checkedMs = nowMs;
    this.incoming.acceptPending();
    this.handOver(steps, nowMs);
    this.returnGuests(steps);
  }

  private handOver(steps: readonly UnplacedStep[], nowMs: number): void {
    // A delegation cannot be written while the store is unreachable, so no share would run its
    // tasks.
    if (this.options.unconfirmedMs() > STORE_UNREACHABLE_MS) return;
    if (steps.length === 0 || !this.hasRecentRooms()) return;
    const own = steps.filter(({ step }) => !step.occurrence.job.isGuest);
    const targets = this.spillTargets();
    const send = ({ step, tasks, to }: Spill): void => this.outgoing.send(step, tasks, to);
    const interrupted = interruptedTasksOf(own.filter(hasWaitedAtHome).map(({ step }) => step));
    if (interrupted.length > 0)
      this.excess(interrupted, this.options.roomForInterrupted(), targets).forEach(send);
    this.spillPolicy.choose(own, targets, nowMs).forEach(send);
  }

  /** Chooses the interrupted tasks for which this share has no room, and another has more. */
  private excess(
    tasks: readonly OwnedTask[],
    room: ReadonlyMap<string, InterruptedRoom>,
    targets: readonly SpillTarget[],
  ): readonly Spill[] {
    const nowMs = this.options.clock.monotonicMs();
    return this.interruptedSpill.choose(byInterruption(tasks), room, targets, nowMs);
  }

  /** Interrupted guests go back only if they run sooner elsewhere: they are owed room here. */
  private returnGuests(steps: readonly UnplacedStep[]): void {
    const guests = new Map(
      steps
        .filter(({ step, waitedMs }) => step.occurrence.job.isGuest && waitedMs >= RETURN_AFTER_MS)
        .map((each) => [each.step, each.waitedMs]),
    );
    if (guests.size === 0) return;
    const { rooms, roomForInterrupted } = this.options;
    const targets = rooms.ageMs() <= MAX_ROOMS_AGE_MS ? this.spillTargets() : [];
    const room = roomForInterrupted();
    const interrupted = interruptedTasksOf([...guests.keys()]);
    const excess = new Set(this.excess(interrupted, room, targets).flatMap(({ tasks }) => tasks));
    const misplaced = new Set(
      [...guests].flatMap(([step, waitedMs]) =>
        this.isMisplaced(step, waitedMs, room) ? step : [],
      ),
    );
    this.incoming.returnUnstarted((task: OwnedTask) => {
      if (!guests.has(task.step)) return false;
      return !isInterrupted(task) || misplaced.has(task.step) || excess.has(task);
    });
  }

  /** Tells whether the interrupted tasks of a step find no room here, although there should be some or never is. */
  private isMisplaced(
    step: OwnedStep,
    waitedMs: number,
    room: ReadonlyMap<string, InterruptedRoom>,
  ): boolean {
    // Tasks of a step need the same of a worker.
    const task = step.tasks.find(isInterrupted);
    if (!task) return false;
    const outlook = this.options.outlookFor(task);
    if (outlook === 'never') return true;
    const hasRoom = (room.get(step.occurrence.job.queue.service)?.free ?? 0) >= 0;
    return hasRoom && (outlook === 'later' || waitedMs >= RETURN_INTERRUPTED_AFTER_MS);
  }

  /**
   * Starts a refresh if the known rooms are too old; one of the next checks then finds new ones.
   */
  private hasRecentRooms(): boolean {
    const { rooms } = this.options;
    if (rooms.ageMs() <= MAX_ROOMS_AGE_MS) return true;
    rooms.refresh(MAX_ROOMS_AGE_MS).then(this.options.onNews, (error: unknown) => {
      this.log.error('The room of other shares was not read', { reason: String(error) });
    });
    return false;
  }

  private spillTargets(): readonly SpillTarget[] {
    const { layout, share, replica, rooms } = this.options;
    return layout.shares
      .filter(({ id }) => id !== share && replica.shares.owner(id) !== undefined)
      .map(({ id }) => ({ share: id, room: rooms.capacityOf(id) }));
  }

  private onTasksReturned(step: OwnedStep, from: string): void {
    const job: OwnedJob = step.occurrence.job;
    job.isFullyStarted = false;
    this.refusals.note(step, from, this.options.clock.monotonicMs());
    this.options.onNews();
  }
}
