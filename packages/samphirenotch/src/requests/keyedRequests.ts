/**
 * Runs a request with an idempotency key at most once, whichever entry the caller speaks to.
 */
import { Readable, Transform, type TransformCallback } from 'node:stream';
import type { Recorder } from '../observability/recorder.js';
import { KEPT_BODY_BYTES } from '../protocol/requestsMessages.js';
import { Err, Ok } from '../results.js';
import type { Call } from '../time/call.js';
import type { KeptAnswer, KeyClaim, KeyDecision, KeyOutcome } from './keyAuthority.js';
import type { KeyClient } from './keyClient.js';
import { KeyConflict, type EarlierRun } from './keyConflict.js';
import { nameKey } from './keyDigest.js';
import { withEffect } from './refusal.js';
import type { ServiceAnswer, ServiceOutcome, ServiceRequest } from './serviceRequest.js';

/** What the keyed requests are made of. */
export interface KeyedRequestsParts {
  readonly client: KeyClient;
  readonly recorder: Recorder;
  /** Name of this entry, for failures. */
  readonly entry: string;
  /** Makes an id that no other run has. */
  readonly newId: () => string;
}

const EARLIER: Readonly<Record<Exclude<KeyDecision['kind'], 'granted'>, EarlierRun>> = {
  running: 'running',
  answered: 'answered',
  'outcome-unknown': 'unknown',
  'other-request': 'other-request',
};

const replay = ({ status, headers, body }: KeptAnswer): ServiceAnswer => ({
  status,
  headers,
  body: Readable.from(body.length === 0 ? [] : [body], { objectMode: false }),
  replayed: true,
});

/** Runs requests under claims of their keys. */
export class KeyedRequests {
  /**
   * @param parts - what the keyed requests are made of
   */
  constructor(private readonly parts: KeyedRequestsParts) {}

  /**
   * Claims the key, then sends; or answers from what is known of an earlier run.
   *
   * @param request - the request
   * @param idempotencyKey - its key
   * @param call - deadline and cancellation
   * @param send - sends the request; called once at most
   * @returns the outcome
   */
  async run(
    request: ServiceRequest,
    idempotencyKey: string,
    call: Call,
    send: () => Promise<ServiceOutcome>,
  ): Promise<ServiceOutcome> {
    const claim = { ...nameKey(request, idempotencyKey), token: this.parts.newId() };
    const decided = await this.parts.client.claim(claim, call);
    if (decided.err) {
      // Nothing is sent without permission.
      this.settle(claim, 'not-run');
      return Err(withEffect(decided.val, 'not-run'));
    }
    const decision = decided.val;
    this.parts.recorder.count('requests_keys', { decision: decision.kind });
    if (decision.kind === 'answered' && decision.answer) return Ok(replay(decision.answer));
    if (decision.kind !== 'granted') {
      return Err(new KeyConflict(EARLIER[decision.kind], this.parts.entry));
    }
    const outcome = await send();
    if (outcome.err) {
      this.settle(claim, outcome.val.effect);
      return outcome;
    }
    return Ok(this.keep(outcome.val, claim));
  }

  /** Passes the answer on, and keeps a copy of a small one. */
  private keep(answer: ServiceAnswer, claim: KeyClaim): ServiceAnswer {
    const parts: Buffer[] = [];
    let size = 0;
    const copy = new Transform({
      transform(chunk: Buffer, _encoding, done: TransformCallback): void {
        size += chunk.length;
        if (size <= KEPT_BODY_BYTES) parts.push(chunk);
        done(null, chunk);
      },
    });
    const { status, headers } = answer;
    answer.body.once('error', (error) => copy.destroy(error));
    copy.on('error', () => {});
    copy.once('close', () => {
      answer.body.destroy();
      const isKept = copy.writableFinished && size <= KEPT_BODY_BYTES;
      const body = Buffer.concat(isKept ? parts : []);
      this.settle(claim, 'answered', isKept ? { status, headers, body } : undefined);
    });
    return { ...answer, body: answer.body.pipe(copy) };
  }

  private settle(claim: KeyClaim, outcome: KeyOutcome, answer?: KeptAnswer): void {
    const { partition, key, token } = claim;
    const settlement = { partition, key, token, outcome, ...(answer ? { answer } : {}) };
    this.parts.client
      .settle(settlement)
      .catch(() => this.parts.recorder.count('requests_settlements_lost'));
  }
}
