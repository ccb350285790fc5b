/**
 * What the owner of a share does with others: hands tasks to them, and takes theirs in.
 */
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { onAbort } from '../../time/abortListeners.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedJob, OwnedStep } from '../model/ownedJob.js';
import type { ShareLayout } from '../model/shareLayout.js';
import { MostFreeRoomSpill, type SpillTarget, type UnplacedStep } from '../placement/spillOver.js';
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

/** Time between two looks at what could go elsewhere, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 50;

/**
 * How long tasks of another share wait for a worker before they go back, in milliseconds: a new owner
 * knows of no workers at first.
 */
const RETURN_AFTER_MS = 1_000;

/** Age up to which news of the room of other shares serve, in milliseconds. */
const MAX_ROOMS_AGE_MS = 300;

/** Time without a confirmed lease after which the store counts as away, in milliseconds. */
const STORE_UNREACHABLE_MS = 1_500;

/** What an exchange needs. */
export interface ShareExchangeOptions {
  /** Id of the share. */
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
  /** Tells for how long the store has not confirmed the lease, in milliseconds. */
  readonly unconfirmedMs: () => number;
  /** Called when there is something to start. */
  readonly onNews: () => void;
}

/** Delegations and guests of one term. */
export class ShareExchange {
  private readonly log = partLog('exchange');

  private readonly outgoing: OutgoingDelegations;

  private readonly incoming: IncomingDelegations;

  private readonly inbox: Inbox;

  private readonly follower: StoreFollower;

  private readonly spillPolicy = new MostFreeRoomSpill();

  private checkedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - share, store and jobs
   */
  constructor(private readonly options: ShareExchangeOptions) {
    const { share, takeover, book, outcomes, store, clock, onNews } = options;
    const { journal, exchange } = takeover;
    const keys = keysOfShare(share);
    this.outgoing = new OutgoingDelegations({
      ...options,
      journal,
      onDone: (task) => outcomes.markDone(task),
      onFailed: (task) => outcomes.failJobIfExhausted(task),
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
    this.inbox = new Inbox(keys, this.incoming, this.outgoing, exchange, onNews);
    this.follower = new StoreFollower(store, keys.inboxPrefix, this.inbox, clock);
  }

  /** @returns how many delegations are in progress, of this share's tasks and of others' */
  counts(): { readonly away: number; readonly guests: number } {
    return { away: this.outgoing.count, guests: this.incoming.count };
  }

  /**
   * Lists what other shares have of a job of this one.
   *
   * @param jobId - the job
   * @returns the delegations
   */
  delegationsOf(jobId: string): readonly DelegationStatus[] {
    return this.outgoing.statusOf(jobId);
  }

  /**
   * Follows what other shares tell.
   *
   * @param signal - ends it
   */
  async run(signal: AbortSignal): Promise<void> {
    await this.follower.run(signal);
  }

  /**
   * Takes over what former owners have exchanged; the share's jobs are known by now.
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
    this.log.info('The exchange with other shares has begun', {
      share: this.options.share,
      ...this.counts(),
      atMs: Math.round(clock.monotonicMs()),
    });
  }

  /**
   * Hands on and gives back what finds no worker.
   *
   * @param steps - steps that find none, the most urgent first
   */
  check(steps: readonly UnplacedStep[]): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < this.checkedMs + MIN_CHECK_INTERVAL_MS) return;
    this.checkedMs = nowMs;
    this.incoming.acceptPending();
    const waitedMs = new Map(steps.map((each) => [each.step, each.waitedMs]));
    this.incoming.returnUnstarted((step) => (waitedMs.get(step) ?? 0) >= RETURN_AFTER_MS);
    // What is handed on while the store is away would be nowhere until it is back.
    if (this.options.unconfirmedMs() > STORE_UNREACHABLE_MS) return;
    if (steps.length === 0 || !this.hasRecentRooms()) return;
    const own = steps.filter(({ step }) => !step.occurrence.job.isGuest);
    this.spillPolicy
      .choose(own, this.spillTargets(), nowMs)
      .forEach(({ step, tasks, to }) => this.outgoing.send(step, tasks, to));
  }

  /** Asks for news where there are none; they are here by one of the next looks. */
  private hasRecentRooms(): boolean {
    const { rooms } = this.options;
    if (rooms.ageMs() <= MAX_ROOMS_AGE_MS) return true;
    rooms.refresh(MAX_ROOMS_AGE_MS).then(this.options.onNews, (error: unknown) => {
      this.log.error('Rooms were not read', { reason: String(error) });
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
    this.spillPolicy.noteRefusal(step, from, this.options.clock.monotonicMs());
    this.options.onNews();
  }
}
