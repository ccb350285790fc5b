/**
 * Makes a configuration the accepted one by a single compare-and-swap, also when answers are lost.
 */
import { Failure } from '../failure.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { Err, Ok, type Result } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { History } from './history.js';
import { ROOT_KEY, writeRecord, type AcceptedRecord } from './storedRoot.js';
import { pauseMs } from './untilDeadline.js';

/** Whether the record became the accepted one. */
export type RootSwapOutcome = 'accepted' | 'lost';

type Standing = RootSwapOutcome | 'open';

/** Swaps the root record. */
export class RootSwap {
  /**
   * @param store - the store
   * @param history - reads records back
   * @param clock - the clock of deadlines
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly history: History,
    private readonly clock: Clock,
  ) {}

  /**
   * Swaps until it is certain what became of it.
   *
   * @param record - the new record
   * @param expectedRevision - revision of the record that it replaces
   * @param call - deadline and cancellation
   * @returns the outcome; a failure with effect `unknown` if the deadline came first
   */
  async swap(
    record: AcceptedRecord,
    expectedRevision: number,
    call: Call,
  ): Promise<Result<RootSwapOutcome, Failure>> {
    const swap = { key: ROOT_KEY, expectedRevision, value: writeRecord(record) };
    let mayHaveTakenEffect = false;
    for (let tries = 0; ; tries += 1) {
      const swapped = await this.store.swap(swap, call);
      if (swapped.ok && swapped.val.kind === 'swapped') return Ok('accepted');
      if (!swapped.ok && swapped.val.code === 'invalid') return swapped;
      mayHaveTakenEffect ||= !swapped.ok && swapped.val.effect === 'unknown';
      const standing = await this.standingOf(record, expectedRevision, call);
      if (standing.ok && standing.val !== 'open') return Ok(standing.val);
      if (call.signal.aborted || remainingMs(this.clock, call) <= pauseMs(tries)) {
        return Err(this.unresolved(record, mayHaveTakenEffect));
      }
      await this.clock.sleep(pauseMs(tries), call.signal);
    }
  }

  /** Another version may have been accepted on top, so a newer root alone proves nothing. */
  private async standingOf(
    { version, writeId }: AcceptedRecord,
    expectedRevision: number,
    call: Call,
  ): Promise<Result<Standing, Failure>> {
    const root = await this.history.root(call);
    if (!root.ok) return root;
    const { record: newest, revision } = root.val;
    if (revision === expectedRevision) return Ok('open');
    if (newest?.writeId === writeId) return Ok('accepted');
    const found = await this.history.record(version, call);
    if (!found.ok) return found.val.code === 'not-found' ? Ok('lost') : found;
    return Ok(found.val.writeId === writeId ? 'accepted' : 'lost');
  }

  private unresolved({ version, writeId }: AcceptedRecord, mayHaveTakenEffect: boolean): Failure {
    const message = mayHaveTakenEffect
      ? `the store did not tell whether version ${version} was accepted (write ${writeId})`
      : 'the store did not take the new version';
    return new Failure({
      code: 'unavailable',
      step: 'configuration.publish',
      peer: 'store',
      effect: mayHaveTakenEffect ? 'unknown' : 'not-run',
      message,
    });
  }
}
