/**
 * What the owner of a share does with others: hands tasks to them, and takes theirs in.
 */
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { onAbort } from '../../time/abortListeners.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedJob, OwnedStep } from '../model/ownedJob.js';
import type { ShareLayout } from '../model/shareLayout.js';
import { RoomiestSpill, type SpillTarget, type UnplacedStep } from '../placement/spillOver.js';
import type { JobBook } from '../store/jobBook.js';
import { keysOf } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { RoomBoard } from '../store/roomBoard.js';
import { StoreFollower } from '../store/storeFollower.js';
import { Delegations } from './delegations.js';
import type { DelegationStatus } from './entryStatus.js';
import { Guests } from './guests.js';
import { Inbox } from './inbox.js';
import type { Takeover } from './takeover.js';
import type { TaskOutcomes } from './taskOutcomes.js';

/** Time between two looks at what could go elsewhere, in milliseconds. */
const CHECK_GAP_MS = 50;

/**
 * How long tasks of another share wait for a worker before they go back, in milliseconds: a new owner
 * knows of no workers at first.
 */
const RETURN_MS = 1_000;

/** Age up to which news of the room of other shares serve, in milliseconds. */
const ROOMS_AGE_MS = 300;

/** Time without a confirmed lease after which the store counts as away, in milliseconds. */
const STORE_AWAY_MS = 1_500;

/** What an exchange needs. */
export interface ShareExchangeOptions {
  /** Id of the share. */
  readonly share: string;
  readonly layout: ShareLayout;
  readonly fencingToken: number;
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  readonly rooms: RoomBoard;
  readonly book: JobBook;
  readonly outcomes: TaskOutcomes;
  readonly takeover: Takeover;
  readonly clock: Clock;
  /** Tells for how long the store has not confirmed the lease, in milliseconds. */
  readonly unconfirmedMs: () => number;
  /** Called when there is something to start. */
  readonly onNews: () => void;
}

/** Delegations and guests of one term. */
export class ShareExchange {
  private readonly log = partLog('exchange');

  private readonly delegations: Delegations;

  private readonly guests: Guests;

  private readonly inbox: Inbox;

  private readonly follower: StoreFollower;

  private readonly policy = new RoomiestSpill();

  private checkedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - share, store and jobs
   */
  constructor(private readonly options: ShareExchangeOptions) {
    const { share, takeover, book, outcomes, store, clock, onNews } = options;
    const { journal, exchange } = takeover;
    const keys = keysOf(share);
    this.delegations = new Delegations({
      ...options,
      journal,
      onDone: (task) => outcomes.finish(task),
      onFailed: (task) => outcomes.judge(task),
      onReturned: (step, from) => this.noteReturned(step, from),
    });
    this.guests = new Guests({
      ...options,
      journal,
      stopRuns: (job, reason) => outcomes.stopRuns(job, reason),
    });
    book.listen({
      onGuestProgress: (job) => this.guests.report(job),
      onDropped: (job) => this.delegations.onDropped(job),
    });
    this.inbox = new Inbox(keys, this.guests, this.delegations, exchange, onNews);
    this.follower = new StoreFollower(store, keys.inboxPrefix, this.inbox, clock);
  }

  /** @returns how many delegations are in progress, of this share's tasks and of others' */
  counts(): { readonly away: number; readonly guests: number } {
    return { away: this.delegations.count, guests: this.guests.count };
  }

  /**
   * Lists what other shares have of a job of this one.
   *
   * @param jobId - the job
   * @returns the delegations
   */
  delegationsOf(jobId: string): readonly DelegationStatus[] {
    return this.delegations.statusOf(jobId);
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
  async begin(signal: AbortSignal): Promise<void> {
    const { takeover, clock } = this.options;
    this.delegations.restore(takeover.away, takeover.exchange);
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
    if (nowMs < this.checkedMs + CHECK_GAP_MS) return;
    this.checkedMs = nowMs;
    this.guests.takePending();
    const waitedMs = new Map(steps.map((each) => [each.step, each.waitedMs]));
    this.guests.giveBack((step) => (waitedMs.get(step) ?? 0) >= RETURN_MS);
    // What is handed on while the store is away would be nowhere until it is back.
    if (this.options.unconfirmedMs() > STORE_AWAY_MS) return;
    if (steps.length === 0 || !this.knowsRooms()) return;
    const own = steps.filter(({ step }) => !step.occurrence.job.isGuest);
    this.policy
      .choose(own, this.targets(), nowMs)
      .forEach(({ step, tasks, to }) => this.delegations.send(step, tasks, to));
  }

  /** Asks for news where there are none; they are here by one of the next looks. */
  private knowsRooms(): boolean {
    const { rooms } = this.options;
    if (rooms.ageMs() <= ROOMS_AGE_MS) return true;
    rooms.refresh(ROOMS_AGE_MS).then(this.options.onNews, (error: unknown) => {
      this.log.error('Rooms were not read', { reason: String(error) });
    });
    return false;
  }

  private targets(): readonly SpillTarget[] {
    const { layout, share, replica, rooms } = this.options;
    return layout.shares
      .filter(({ id }) => id !== share && replica.shares.owner(id) !== undefined)
      .map(({ id }) => ({ share: id, room: rooms.of(id) }));
  }

  private noteReturned(step: OwnedStep, from: string): void {
    const job: OwnedJob = step.occurrence.job;
    job.settled = false;
    this.policy.noteRefusal(step, from, this.options.clock.monotonicMs());
    this.options.onNews();
  }
}
