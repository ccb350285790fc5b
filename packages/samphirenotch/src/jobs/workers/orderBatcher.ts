/**
 * Limits the orders that an owner sends in one turn of the event loop, so that it reads answers
 * between.
 *
 * Orders come in bursts: starts of jobs that arrive at once, stops of cancelled jobs, polls of all
 * workers after an election.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

/** Number of orders that are sent in one turn of the event loop. */
const ORDERS_PER_TURN = 32;

/** Sends the orders of one owner in batches, in the order in which they come. */
export class OrderBatcher {
  private readonly log = partLog('orders');

  private waiting: (() => void)[] = [];

  private remainingInTurn = ORDERS_PER_TURN;

  private isScheduled = false;

  /**
   * @param clock - clock of this process
   */
  constructor(private readonly clock: Clock) {}

  /**
   * @returns true while a full batch of orders is waiting; orders that are not urgent should wait
   */
  get hasBacklog(): boolean {
    return this.waiting.length >= ORDERS_PER_TURN;
  }

  /**
   * Sends an order, at once if the current turn's limit allows it, otherwise in a later turn.
   *
   * @param send - function that sends the order
   */
  enqueue(send: () => void): void {
    this.waiting.push(send);
    if (this.isScheduled && this.remainingInTurn === 0) return;
    this.sendBatch();
    if (!this.isScheduled) this.scheduleBatches();
  }

  private sendBatch(): void {
    const batch = this.waiting.slice(0, this.remainingInTurn);
    this.waiting = this.waiting.slice(batch.length);
    this.remainingInTurn -= batch.length;
    batch.forEach((send) => send());
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
