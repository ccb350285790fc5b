/**
 * Limits the orders that an owner sends in one turn of the event loop, so that it reads answers
 * between.
 *
 * Orders come in bursts: starts of jobs that arrive at once, stops of cancelled jobs, polls of all
 * workers after an election.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedRun } from '../model/ownedJob.js';

/** Number of orders that are sent in one turn of the event loop. */
const ORDERS_PER_TURN = 32;

/** Number of them that may be starts of fillers if more other orders wait. */
const FILLER_STARTS_PER_TURN = 4;

/**
 * Sends the orders of one owner in batches, in the order in which they come. Starts of fillers come after
 * the other orders of a batch.
 */
export class OrderBatcher {
  private readonly log = partLog('orders');

  private waiting: (() => void)[] = [];

  /** Starts of fillers that wait, the first one first. */
  private readonly waitingFillers = new Map<OwnedRun, () => void>();

  private remainingInTurn = ORDERS_PER_TURN;

  private isScheduled = false;

  /**
   * @param clock - clock of this process
   */
  constructor(private readonly clock: Clock) {}

  /**
   * @returns true while a full batch of orders that are no starts of fillers is waiting; orders that are not
   *   urgent should wait
   */
  get hasBacklog(): boolean {
    return this.waiting.length >= ORDERS_PER_TURN;
  }

  /** @returns true while a full batch of orders of any kind is waiting; starts of fillers should wait */
  get hasFillerBacklog(): boolean {
    return this.waiting.length + this.waitingFillers.size >= ORDERS_PER_TURN;
  }

  /**
   * Sends an order, at once if the current turn's limit allows it, otherwise in a later turn.
   *
   * @param send - function that sends the order
   */
  enqueue(send: () => void): void {
    this.waiting.push(send);
    this.sendIfAllowed();
  }

  /**
   * Sends the start of a filler, after other orders that wait.
   *
   * @param run - the run that starts
   * @param send - function that sends the order
   */
  enqueueFillerStart(run: OwnedRun, send: () => void): void {
    this.waitingFillers.set(run, send);
    this.sendIfAllowed();
  }

  /**
   * Sends the start of a filler before the orders that are enqueued from now on, if it still waits.
   *
   * @param run - the run
   */
  expedite(run: OwnedRun): void {
    const send = this.waitingFillers.get(run);
    if (!send) return;
    this.waitingFillers.delete(run);
    this.enqueue(send);
  }

  private sendIfAllowed(): void {
    if (this.isScheduled && this.remainingInTurn === 0) return;
    this.sendBatch();
    if (!this.isScheduled) this.scheduleBatches();
  }

  private sendBatch(): void {
    const fillerShare = Math.min(this.waitingFillers.size, FILLER_STARTS_PER_TURN);
    const others = this.waiting.slice(0, Math.max(0, this.remainingInTurn - fillerShare));
    this.waiting = this.waiting.slice(others.length);
    const fillers = [...this.waitingFillers].slice(0, this.remainingInTurn - others.length);
    fillers.forEach(([run]) => this.waitingFillers.delete(run));
    this.remainingInTurn -= others.length + fillers.length;
    others.forEach((send) => send());
    fillers.forEach(([, send]) => send());
  }

  private scheduleBatches(): void {
    this.isScheduled = true;
    this.sendRemainingBatches().catch((error: unknown) => {
      this.log.error('Orders are no longer sent', { reason: String(error) });
    });
  }

  private async sendRemainingBatches(): Promise<void> {
    do {
      await this.clock.sleep(0);
      this.remainingInTurn = ORDERS_PER_TURN;
      this.sendBatch();
    } while (this.remainingInTurn < ORDERS_PER_TURN);
    this.isScheduled = false;
  }
}
