/**
 * Shares that have returned tasks of a step.
 */
import type { OwnedStep } from '../model/ownedJob.js';

/**
 * Time for which a step is not handed again to a share that returned its tasks, in milliseconds.
 */
const REFUSAL_BACKOFF_MS = 3_000;

/** Remembers for a while which shares have returned tasks of which steps. */
export class Refusals {
  /** Monotonic times until which a step is not handed to a share, in milliseconds, by id of the share. */
  private readonly untilMsByStep = new WeakMap<OwnedStep, Map<string, number>>();

  /**
   * Records that a share has returned tasks.
   *
   * @param step - the step of the tasks
   * @param share - id of the share
   * @param nowMs - monotonic time in milliseconds
   */
  note(step: OwnedStep, share: string, nowMs: number): void {
    const known = this.untilMsByStep.get(step) ?? new Map<string, number>();
    known.set(share, nowMs + REFUSAL_BACKOFF_MS);
    this.untilMsByStep.set(step, known);
  }

  /**
   * Checks whether a share has returned tasks of a step a short time ago.
   *
   * @param step - the step
   * @param share - id of the share
   * @param nowMs - monotonic time in milliseconds
   * @returns true if the step is not handed to it
   */
  has(step: OwnedStep, share: string, nowMs: number): boolean {
    return (this.untilMsByStep.get(step)?.get(share) ?? 0) > nowMs;
  }
}
