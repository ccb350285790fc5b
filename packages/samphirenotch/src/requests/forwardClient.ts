/**
 * Hands a request to a peer and passes its answer back.
 */
import { Readable } from 'node:stream';
import type { ClientDuplexStream, ServiceError } from '@grpc/grpc-js';
import { Failure } from '../failure.js';
import { fromServiceError } from '../grpc/grpcFailure.js';
import type { PeerClients } from '../grpc/grpcService.js';
import type { Recorder } from '../observability/recorder.js';
import {
  RequestsServiceClient,
  type ForwardRequest,
  type ForwardResponse,
} from '../protocol/generated/samphirenotch/v1/requests.js';
import { ANSWER_HEAD } from '../protocol/requestsMessages.js';
import { Err, Ok } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import { CALL_ENDED } from '../time/callEnded.js';
import type { Clock } from '../time/clock.js';
import { checkBody } from './answerBody.js';
import { fromHeaderList, readBodyFrames, toHeaderList, writeBody } from './forwardFrames.js';
import { openBody } from './requestBody.js';
import type { ServiceOutcome, ServiceRequest } from './serviceRequest.js';

const STEP = 'requests.forward';

/** Time that a peer gets beyond the deadline to say so itself, in milliseconds. */
const DEADLINE_SLACK_MS = 50;

type ForwardStream = ClientDuplexStream<ForwardRequest, ForwardResponse>;

/** What the client is made of. */
export interface ForwardClientParts {
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly recorder: Recorder;
}

const isServiceError = (error: unknown): error is ServiceError =>
  error instanceof Error && 'code' in error && typeof error.code === 'number';

/** A stream that the peer cancelled broke; only this side knows whether the caller left. */
const describe = (error: unknown, peer: string, callerLeft: boolean): Failure => {
  if (error instanceof Failure) return error;
  const known = isServiceError(error) ? fromServiceError(error, STEP, peer) : undefined;
  if (known && (known.code !== 'cancelled' || callerLeft)) return known;
  const message = error instanceof Error ? error.message : String(error);
  return new Failure({ code: 'unavailable', step: STEP, peer, effect: 'unknown', message });
};

/** Forwards requests. */
export class ForwardClient {
  /**
   * @param parts - what the client is made of
   */
  constructor(private readonly parts: ForwardClientParts) {}

  /**
   * Forwards a request once.
   *
   * @param request - the request
   * @param peerId - id of the peer
   * @param call - deadline of the answer's head, and cancellation
   * @returns the answer, or a failure that tells whether the request may have run
   */
  async forward(request: ServiceRequest, peerId: string, call: Call): Promise<ServiceOutcome> {
    const left = remainingMs(this.parts.clock, call);
    if (left === 0 || call.signal.aborted) return Err(this.notSent(peerId, left === 0));
    const client = this.parts.clients.client(peerId, RequestsServiceClient);
    if (!client) return Err(this.unreachable(peerId));
    const startedMs = this.parts.clock.monotonicMs();
    const stream = client.forward();
    const cancel = (): void => stream.cancel();
    call.signal.addEventListener('abort', cancel);
    const done = (): void => call.signal.removeEventListener('abort', cancel);
    this.send(request, stream, left).catch(() => stream.cancel());
    try {
      const head = await this.firstOf(this.readHead(stream, request, done), peerId, call);
      this.parts.recorder.time('forward', request, this.parts.clock.monotonicMs() - startedMs);
      return head;
    } catch (error) {
      done();
      stream.cancel();
      return Err(describe(error, peerId, call.signal.aborted));
    }
  }

  private async send(request: ServiceRequest, stream: ForwardStream, left: number): Promise<void> {
    const { requestId, service, taskClass, tenant, method, path, idempotent } = request;
    const identity = { requestId, service, taskClass, tenant, method, path, idempotent };
    const headers = toHeaderList(request.headers);
    stream.write({ head: { ...identity, headers, remainingMs: left } });
    await writeBody(openBody(request.body), stream);
    stream.end();
  }

  private async readHead(
    stream: ForwardStream,
    request: ServiceRequest,
    done: () => void,
  ): Promise<ServiceOutcome> {
    stream.on('error', () => {});
    const frames = (stream as AsyncIterable<ForwardResponse>)[Symbol.asyncIterator]();
    const first = await frames.next();
    if (first.done) throw new Error('The stream stopped before the answer.');
    const head = ANSWER_HEAD.parse(first.value.head);
    const headers = fromHeaderList(head.headers);
    const source = Readable.from(readBodyFrames(frames), { objectMode: false });
    const expectation = { method: request.method, status: head.status, headers };
    const body = checkBody(source, expectation, this.parts.clock, (whole) => {
      done();
      if (whole) return;
      this.parts.recorder.count('requests_answers_cut');
      stream.cancel();
    });
    return Ok({ status: head.status, headers, body });
  }

  private async firstOf(
    reading: Promise<ServiceOutcome>,
    peerId: string,
    call: Call,
  ): Promise<ServiceOutcome> {
    const { clock } = this.parts;
    const over = new AbortController();
    const giveUp = async (): Promise<ServiceOutcome> => {
      await clock.sleep(remainingMs(clock, call) + DEADLINE_SLACK_MS, over.signal);
      if (over.signal.aborted) return reading;
      const message = 'No answer came before the deadline.';
      const detail = { code: 'deadline', step: STEP, peer: peerId, message } as const;
      throw new Failure({ ...detail, effect: 'unknown' });
    };
    try {
      return await Promise.race([reading, giveUp()]);
    } finally {
      over.abort(CALL_ENDED);
    }
  }

  private notSent(peer: string, isLate: boolean): Failure {
    const code = isLate ? 'deadline' : 'cancelled';
    const message = isLate ? 'The deadline passed before the send.' : 'The caller left.';
    return new Failure({ code, step: STEP, peer, effect: 'not-run', message });
  }

  private unreachable(peer: string): Failure {
    const message = 'The peer is not known.';
    return new Failure({ code: 'unavailable', step: STEP, peer, effect: 'not-run', message });
  }
}
