/**
 * Counts calls to other processes.
 */

/** Counts calls by step. */
export class CallCounter {
  private readonly counts = new Map<string, number>();

  /**
   * Counts a call.
   *
   * @param step - what is called, such as `store.watch`
   */
  note(step: string): void {
    this.counts.set(step, (this.counts.get(step) ?? 0) + 1);
  }

  /** @returns how many calls were made so far, by step */
  all(): ReadonlyMap<string, number> {
    return this.counts;
  }
}

/** Calls of this process. */
export const processCalls = new CallCounter();
