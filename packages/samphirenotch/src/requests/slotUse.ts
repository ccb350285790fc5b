/**
 * Gives a request slot back exactly once, whatever ends the request first.
 */
import type { Slot, SlotOutcome } from '../shards/shardService.js';
import type { Clock } from '../time/clock.js';

/** A slot in use. */
export class SlotUse {
  private readonly takenAtMs: number;

  private released = false;

  /**
   * @param slot - the slot
   * @param clock - for the time that it is held
   * @param onRelease - told how the request went and how long the slot was held, in milliseconds
   */
  constructor(
    readonly slot: Slot,
    private readonly clock: Clock,
    private readonly onRelease: (kind: SlotOutcome['kind'], heldMs: number) => void = () => {},
  ) {
    this.takenAtMs = clock.monotonicMs();
  }

  /**
   * Gives the slot back; later calls do nothing.
   *
   * @param kind - how the request went
   * @param latencyMs - time to the head of the answer, in milliseconds; the time held if left out
   */
  release(kind: SlotOutcome['kind'], latencyMs?: number): void {
    if (this.released) return;
    this.released = true;
    const heldMs = this.clock.monotonicMs() - this.takenAtMs;
    this.slot.release({ kind, latencyMs: latencyMs ?? heldMs });
    this.onRelease(kind, heldMs);
  }
}
