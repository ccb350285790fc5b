/**
 * Stores that the former process of this machine has ended, if it may have been an owner.
 */
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

import type { JobReplica } from '../store/jobReplica.js';
import { encodeProcess, processKeyOf } from '../store/processDirectory.js';

/** Timeout of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 600;

/** Wait before a call is repeated that failed, in milliseconds. */
const RETRY_MS = 200;

/** Longest wait for news of the replica, in milliseconds. */
const MAX_WAIT_MS = 5_000;

/** Settings and collaborators of a `ProcessRegistration`. */
export interface RegistrationOptions {
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  readonly clock: Clock;
  /** Name of this process. */
  readonly process: string;
  /** Monotonic time by which this process had started, in milliseconds. */
  readonly processStartedMs: number;
}

/** Replaces the record of a former process of this machine. */
export class ProcessRegistration {
  private readonly log = partLog('processes');

  private readonly wakeup: Wakeup;

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: RegistrationOptions) {
    this.wakeup = new Wakeup(options.clock);
  }

  /** Checks the replica again after a change. */
  notify(): void {
    this.wakeup.wake();
  }

  /**
   * Replaces records of former processes until the signal is aborted.
   *
   * @param signal - ends it
   */
  async run(signal: AbortSignal): Promise<void> {
    const { replica, process, clock } = this.options;
    let replacedRevision = 0;
    while (!signal.aborted) {
      const known = replica.processes.newestBeside(process);
      if (!known || known.process === process || known.revision <= replacedRevision) {
        await this.wakeup.wait(MAX_WAIT_MS, signal);
        continue;
      }
      if (await this.replace(known.process, known.revision, signal)) {
        replacedRevision = known.revision;
      } else {
        await clock.sleep(RETRY_MS, signal);
      }
    }
  }

  /** Returns true if the record is replaced. Only the known one is: a call may take effect late. */
  private async replace(former: string, revision: number, signal: AbortSignal): Promise<boolean> {
    const { store, clock, process, processStartedMs } = this.options;
    const key = processKeyOf(process);
    const ageMs = clock.monotonicMs() - processStartedMs;
    const outcome = await store.commit(
      {
        expectations: [{ key, revision }],
        writes: [{ key, value: encodeProcess({ process, ageMs }) }],
        removals: [],
      },
      callWithin(clock, CALL_TIMEOUT_MS, signal),
    );
    const fields = { former, revision, ageMs: Math.round(ageMs) };
    if (outcome.ok && outcome.val.kind === 'committed') {
      this.log.info('The end of the former process of this machine is stored', fields);
      return true;
    }
    this.log.warn('The end of the former process of this machine was not stored', {
      ...fields,
      outcome: outcome.ok ? outcome.val.kind : outcome.val.message,
    });
    return false;
  }
}
