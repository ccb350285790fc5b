/**
 * Sends an idempotent request, and sends it again elsewhere when that helps and the budget allows.
 */
import type { RetryPolicy } from '../decisions/retryPolicy.js';
import type { Failure } from '../failure.js';
import type { Recorder } from '../observability/recorder.js';
import { Err } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import { CALL_ENDED } from '../time/callEnded.js';
import type { Clock } from '../time/clock.js';
import { anyAborted } from './anyAborted.js';
import type { SlotUse } from './slotUse.js';
import { withEffect } from './refusal.js';
import type { ServiceOutcome, ServiceRequest } from './serviceRequest.js';
import { LOST_RACE, type WorkerExchange } from './workerExchange.js';

/** Sends of one request at one entry, the first included. */
const MAXIMUM_SENDS = 3;

/** Share of the time left after which a second send is due when the policy names no delay. */
const SILENCE_SHARE = 0.5;

/** What the race is made of. */
export interface SendRaceParts {
  readonly clock: Clock;
  readonly recorder: Recorder;
  readonly exchange: WorkerExchange;
  readonly policy: RetryPolicy;
  /** Takes a slot at a worker not tried yet, if one is free. */
  readonly takeAnother: (triedWorkers: readonly string[]) => SlotUse | undefined;
}

interface Send {
  readonly cancel: AbortController;
  readonly outcome: Promise<Finish>;
}

interface Finish {
  readonly send: Send;
  readonly result: ServiceOutcome;
}

/** The sends of one request. */
export class SendRace {
  private readonly sends: Send[] = [];

  private readonly triedWorkers: string[] = [];

  private mayHaveRun = false;

  /**
   * @param parts - what the race is made of
   * @param request - an idempotent request whose body is held whole
   * @param call - deadline of the answer's head, and cancellation
   */
  constructor(
    private readonly parts: SendRaceParts,
    private readonly request: ServiceRequest,
    private readonly call: Call,
  ) {}

  /**
   * Runs the request.
   *
   * @param first - slot for the first send
   * @returns the first answer, or the last failure
   */
  async run(first: SlotUse): Promise<ServiceOutcome> {
    const { policy, clock } = this.parts;
    const startedMs = clock.monotonicMs();
    policy.recordFirstSend(startedMs);
    this.start(first);
    const hedge = new AbortController();
    let hedgeDue: Promise<undefined> | undefined = this.hedgeDue(hedge.signal);
    try {
      for (;;) {
        const waits = this.sends.map(({ outcome }) => outcome);
        const finish = await Promise.race(hedgeDue ? [...waits, hedgeDue] : waits);
        if (!finish) {
          hedgeDue = undefined;
          this.startAnother('hedge');
          continue;
        }
        this.sends.splice(this.sends.indexOf(finish.send), 1);
        if (finish.result.ok) {
          policy.observeLatency(this.request.taskClass, clock.monotonicMs() - startedMs);
          return finish.result;
        }
        const failure = finish.result.val;
        this.mayHaveRun ||= failure.effect === 'unknown';
        if (this.canSendAfter(failure) && this.startAnother('retry')) continue;
        if (this.sends.length === 0) return Err(this.overall(failure));
      }
    } finally {
      hedge.abort(CALL_ENDED);
      this.sends.forEach(({ cancel }) => cancel.abort(LOST_RACE));
    }
  }

  private async hedgeDue(signal: AbortSignal): Promise<undefined> {
    const { clock, policy } = this.parts;
    const left = remainingMs(clock, this.call);
    const delayMs = policy.hedgeDelayMs(this.request.taskClass) ?? left * SILENCE_SHARE;
    await clock.sleep(delayMs, signal);
    return undefined;
  }

  private canSendAfter(failure: Failure): boolean {
    if (failure.code === 'cancelled' || failure.code === 'deadline') return false;
    return remainingMs(this.parts.clock, this.call) > 0 && !this.call.signal.aborted;
  }

  private startAnother(why: 'hedge' | 'retry'): boolean {
    if (this.triedWorkers.length >= MAXIMUM_SENDS) return false;
    if (this.call.signal.aborted || remainingMs(this.parts.clock, this.call) === 0) return false;
    const held = this.parts.takeAnother(this.triedWorkers);
    if (!held) return false;
    if (!this.parts.policy.tryRetry(this.parts.clock.monotonicMs())) {
      held.release('unused');
      return false;
    }
    this.parts.recorder.count('requests_sends_added', { why });
    this.start(held);
    return true;
  }

  private start(held: SlotUse): void {
    this.triedWorkers.push(held.slot.workerId);
    const cancel = new AbortController();
    const signal = anyAborted(cancel.signal, this.call.signal);
    const sending = this.parts.exchange.send(this.request, held, { ...this.call, signal });
    const send: Send = {
      cancel,
      outcome: sending.then((result) => ({ send, result })),
    };
    this.sends.push(send);
  }

  /** Only if no send may have run is the request proved not to have run. */
  private overall(last: Failure): Failure {
    return this.mayHaveRun ? withEffect(last, 'unknown') : last;
  }
}
