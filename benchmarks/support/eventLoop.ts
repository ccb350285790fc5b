/**
 * Runs events in order of their simulated time.
 *
 * @packageDocumentation
 */

interface Event {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

const goesBefore = (left: Event, right: Event): boolean =>
  left.atMs === right.atMs ? left.sequence < right.sequence : left.atMs < right.atMs;

/** A queue of events with a clock that jumps from one to the next. */
export class EventLoop {
  private readonly heap: Event[] = [];

  private sequence = 0;

  private currentMs = 0;

  /**
   * Reads the simulated time.
   *
   * @returns milliseconds since the start
   */
  nowMs(): number {
    return this.currentMs;
  }

  /**
   * Plans an event.
   *
   * @param delayMs - how long from now, in milliseconds
   * @param run - what happens then
   */
  after(delayMs: number, run: () => void): void {
    this.sequence += 1;
    this.push({ atMs: this.currentMs + delayMs, sequence: this.sequence, run });
  }

  /**
   * Plans an event again and again.
   *
   * @param periodMs - time between two, in milliseconds
   * @param run - what happens each time
   */
  every(periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run();
      this.every(periodMs, run);
    });
  }

  /**
   * Runs events up to a time.
   *
   * @param untilMs - simulated time to stop at, in milliseconds
   */
  runUntil(untilMs: number): void {
    for (;;) {
      const [event] = this.heap;
      if (!event || event.atMs > untilMs) break;
      this.pop();
      this.currentMs = event.atMs;
      event.run();
    }
    this.currentMs = untilMs;
  }

  private push(event: Event): void {
    let index = this.heap.length;
    this.heap.push(event);
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = this.heap[parentIndex];
      if (!parent || !goesBefore(event, parent)) break;
      this.heap[index] = parent;
      index = parentIndex;
    }
    this.heap[index] = event;
  }

  private pop(): void {
    const last = this.heap.pop();
    if (!last || this.heap.length === 0) return;
    let index = 0;
    for (;;) {
      const childIndex = this.smallerChild(index);
      const child = this.heap[childIndex];
      if (!child || !goesBefore(child, last)) break;
      this.heap[index] = child;
      index = childIndex;
    }
    this.heap[index] = last;
  }

  private smallerChild(index: number): number {
    const leftIndex = 2 * index + 1;
    const left = this.heap[leftIndex];
    const right = this.heap[leftIndex + 1];
    return left && right && goesBefore(right, left) ? leftIndex + 1 : leftIndex;
  }
}
