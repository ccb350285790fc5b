/**
 * One send of a request to a worker, from the last check before it to the end of the answer.
 */
import { Failure, type FailureCode } from '../failure.js';
import type { Recorder } from '../observability/recorder.js';
import type { WorkerAnswer } from '../infrastructure/worker.js';
import { Err, Ok, type Result } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import { CALL_ENDED } from '../time/callEnded.js';
import type { Clock } from '../time/clock.js';
import { anyAborted } from './anyAborted.js';
import { checkBody } from './answerBody.js';
import { endToEndHeaders } from './headers.js';
import type { SlotUse } from './slotUse.js';
import { openBody } from './requestBody.js';
import { refusal } from './refusal.js';
import { recallAfter } from './requestRecall.js';
import type { ServiceOutcome, ServiceRequest } from './serviceRequest.js';

const STEP = 'worker.execute';
const BEFORE_STEP = 'requests.send';

/** Abort reason of a send whose request another send has answered. */
export const LOST_RACE = 'lost-race';

type HeadOutcome = Result<WorkerAnswer, Failure>;

const unknown = (code: FailureCode, peer: string, message: string): Failure =>
  new Failure({ code, step: STEP, peer, effect: 'unknown', message });

/** What the exchange is made of. */
export interface WorkerExchangeParts {
  readonly clock: Clock;
  readonly recorder: Recorder;
  /** Makes an id that no other send has. */
  readonly newId: () => string;
}

/** Sends requests to workers. */
export class WorkerExchange {
  /**
   * @param parts - clock, recorder and ids
   */
  constructor(private readonly parts: WorkerExchangeParts) {}

  /**
   * Sends a request once. The slot is given back when the answer's body has ended.
   *
   * @param request - the request
   * @param held - the slot to use
   * @param call - deadline of the answer's head, and cancellation
   * @returns the answer, or a failure that tells whether the request may have run
   */
  async send(request: ServiceRequest, held: SlotUse, call: Call): Promise<ServiceOutcome> {
    const refused = this.refusalBeforeSend(held, call);
    if (refused) {
      held.release('unused');
      return Err(refused);
    }
    const cancel = new AbortController();
    const passOn = (): void => cancel.abort(call.signal.reason);
    call.signal.addEventListener('abort', passOn);
    const sendId = this.parts.newId();
    const startedMs = this.parts.clock.monotonicMs();
    const sending = this.execute(request, held, sendId, { ...call, signal: cancel.signal });
    const head = await this.firstOf(sending, held, call);
    const done = (): boolean => {
      call.signal.removeEventListener('abort', passOn);
      return call.signal.aborted;
    };
    const latencyMs = this.parts.clock.monotonicMs() - startedMs;
    if (head.err) {
      cancel.abort(head.val);
      done();
      this.dropWhenLate(sending);
      held.release(this.kindOf(head.val, call), latencyMs);
      if (request.idempotent) return head;
      return Err(await recallAfter(head.val, held.slot.worker, sendId, this.parts.clock, call));
    }
    return this.accept(request, head.val, sendId, held, latencyMs, done);
  }

  private refusalBeforeSend(held: SlotUse, call: Call): Failure | undefined {
    if (call.signal.aborted) return this.refuse(held, 'cancelled', 'The caller left.');
    if (remainingMs(this.parts.clock, call) === 0) {
      return this.refuse(held, 'deadline', 'The deadline passed before the send.');
    }
    if (!held.slot.maySend()) {
      return this.refuse(held, 'not-owner', 'This entry may not use the worker now.');
    }
    return undefined;
  }

  private refuse({ slot }: SlotUse, code: FailureCode, message: string): Failure {
    return refusal({ code, step: BEFORE_STEP, peer: slot.workerId, message });
  }

  private async execute(
    request: ServiceRequest,
    held: SlotUse,
    sendId: string,
    call: Call,
  ): Promise<HeadOutcome> {
    const { slot } = held;
    const { service, taskClass, tenant, method, path } = request;
    const headers = { ...request.headers, 'x-request-id': request.requestId };
    const identity = { requestId: sendId, service, taskClass, tenant, method, path, headers };
    try {
      const body = openBody(request.body);
      return await slot.worker.execute(slot.epoch, { ...identity, body }, call);
    } catch (error) {
      return Err(unknown('unavailable', slot.workerId, String(error)));
    }
  }

  private async firstOf(
    sending: Promise<HeadOutcome>,
    held: SlotUse,
    call: Call,
  ): Promise<HeadOutcome> {
    const { workerId } = held.slot;
    const over = new AbortController();
    const giveUp = async (): Promise<HeadOutcome> => {
      const ended = anyAborted(over.signal, call.signal);
      await this.parts.clock.sleep(remainingMs(this.parts.clock, call), ended);
      return call.signal.aborted
        ? Err(unknown('cancelled', workerId, 'The caller left before the answer.'))
        : Err(unknown('deadline', workerId, 'No answer came before the deadline.'));
    };
    const first = await Promise.race([sending, giveUp()]);
    over.abort(CALL_ENDED);
    return first;
  }

  private kindOf(reason: Failure, call: Call): 'failed' | 'silent' | 'unused' {
    if (reason.code === 'deadline') return 'silent';
    if (reason.code !== 'cancelled') return 'failed';
    return call.signal.reason === LOST_RACE ? 'silent' : 'unused';
  }

  /** An answer that comes after the request was given up belongs to nobody. */
  private dropWhenLate(sending: Promise<HeadOutcome>): void {
    sending
      .then((late) => {
        if (late.err) return;
        this.drop(late.val, 'late');
      })
      .catch(() => {});
  }

  private drop(answer: WorkerAnswer, why: 'late' | 'foreign'): void {
    answer.body.on('error', () => {});
    answer.body.destroy();
    this.parts.recorder.count('requests_answers_dropped', { why });
  }

  private accept(
    request: ServiceRequest,
    answer: WorkerAnswer,
    sendId: string,
    held: SlotUse,
    latencyMs: number,
    done: () => boolean,
  ): ServiceOutcome {
    const { workerId } = held.slot;
    if (answer.requestId !== sendId) {
      this.drop(answer, 'foreign');
      done();
      held.release('failed', latencyMs);
      return Err(unknown('unavailable', workerId, 'The answer was to another request.'));
    }
    this.parts.recorder.time('worker', request, latencyMs);
    const { status } = answer;
    const headers = endToEndHeaders(answer.headers);
    const expectation = { method: request.method, status, headers };
    const body = checkBody(answer.body, expectation, this.parts.clock, (whole) => {
      const callerLeft = done();
      if (whole) {
        held.release('answered', latencyMs);
        return;
      }
      this.parts.recorder.count('requests_answers_cut');
      held.release(callerLeft ? 'unused' : 'failed', latencyMs);
    });
    return Ok({ status, headers, body });
  }
}
