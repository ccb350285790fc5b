/**
 * The account of one worker's room: nothing else keeps the worker from taking more than it holds.
 */
import type { Size } from '../infrastructure/worker.js';

const NOTHING: Size = { milliCores: 0, memoryMb: 0, accelerators: 0 };

const add = (left: Size, right: Size): Size => ({
  milliCores: left.milliCores + right.milliCores,
  memoryMb: left.memoryMb + right.memoryMb,
  accelerators: left.accelerators + right.accelerators,
});

const subtract = (left: Size, right: Size): Size => ({
  milliCores: left.milliCores - right.milliCores,
  memoryMb: left.memoryMb - right.memoryMb,
  accelerators: left.accelerators - right.accelerators,
});

/** What is taken of a worker. */
export class WorkerRoom {
  private used = NOTHING;

  /** Room of runs that are being stopped because no open task has them. */
  private foreign = NOTHING;

  /**
   * Takes room for a run.
   *
   * @param size - the room
   */
  take(size: Size): void {
    this.used = add(this.used, size);
  }

  /**
   * Gives the room of a run back.
   *
   * @param size - the room
   */
  release(size: Size): void {
    this.used = subtract(this.used, size);
  }

  /**
   * Sets the room of runs that no open task has.
   *
   * @param sizes - one size a run
   */
  setForeign(sizes: readonly Size[]): void {
    this.foreign = sizes.reduce(add, NOTHING);
  }

  /**
   * Tells what is left.
   *
   * @param capacity - what the worker holds
   * @returns the room; below zero where more is taken than is there
   */
  free(capacity: Size): Size {
    return subtract(capacity, add(this.used, this.foreign));
  }

  /**
   * Tells whether a run fits.
   *
   * @param capacity - what the worker holds
   * @param size - what the run asks for
   * @returns true if the room that is left holds it
   */
  fits(capacity: Size, size: Size): boolean {
    const free = this.free(capacity);
    return (
      size.milliCores <= free.milliCores &&
      size.memoryMb <= free.memoryMb &&
      size.accelerators <= free.accelerators
    );
  }
}
