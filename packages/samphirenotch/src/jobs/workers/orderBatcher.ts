/**
 * Lets an owner read answers between its orders.
 *
 * Orders come in bursts: starts of what arrived at once, stops of cancelled jobs, looks at all workers
 * after an election. Only so many are sent before the event loop turns.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

/** Orders that are sent in one turn of the event loop. */
const ORDERS_PER_TURN = 32;

/** Sends the orders of one owner, first come first served. */
export class OrderBatcher {
  private readonly log = partLog('orders');

  private waiting: (() => void)[] = [];

  private remainingInTurn = ORDERS_PER_TURN;

  private isScheduled = false;

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /** @returns true while as many orders wait as a turn takes: what can wait is not to add to them */
  get hasBacklog(): boolean {
    return this.waiting.length >= ORDERS_PER_TURN;
  }

  /**
   * Sends an order, at once if the turn takes another one.
   *
   * @param send - sends it
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
