/**
 * Lets an owner read answers between its orders.
 *
 * Orders come in bursts: starts of what arrived at once, stops of cancelled jobs, looks at all workers
 * after an election. Only so many are sent before the event loop turns.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

/** Orders that are sent in one turn of the event loop. */
const ORDERS_A_TURN = 32;

/** Sends the orders of one owner, first come first served. */
export class OrderTurns {
  private readonly log = partLog('orders');

  private waiting: (() => void)[] = [];

  private left = ORDERS_A_TURN;

  private isTurning = false;

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /** @returns true while as many orders wait as a turn takes: what can wait is not to add to them */
  get isBackedUp(): boolean {
    return this.waiting.length >= ORDERS_A_TURN;
  }

  /**
   * Sends an order, at once if the turn takes another one.
   *
   * @param send - sends it
   */
  run(send: () => void): void {
    this.waiting.push(send);
    if (this.isTurning && this.left === 0) return;
    this.sendSome();
    if (!this.isTurning) this.endTurns();
  }

  private sendSome(): void {
    const some = this.waiting.slice(0, this.left);
    this.waiting = this.waiting.slice(some.length);
    this.left -= some.length;
    some.forEach((send) => send());
  }

  private endTurns(): void {
    this.isTurning = true;
    this.turn().catch((error: unknown) => {
      this.log.error('Orders are no longer sent', { reason: String(error) });
    });
  }

  private async turn(): Promise<void> {
    do {
      await this.clock.sleep(0);
      this.left = ORDERS_A_TURN;
      this.sendSome();
    } while (this.left < ORDERS_A_TURN);
    this.isTurning = false;
  }
}
