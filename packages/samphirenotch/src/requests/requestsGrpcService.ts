/**
 * Serves requests that peers forward, and decides on idempotency keys for them.
 */
import { Readable } from 'node:stream';
import type { Server, ServerDuplexStream, ServerUnaryCall, sendUnaryData } from '@grpc/grpc-js';
import { Failure } from '../failure.js';
import { toStatus } from '../grpc/grpcFailure.js';
import type { GrpcService } from '../grpc/grpcService.js';
import {
  RequestsServiceService,
  type ForwardRequest,
  type ForwardResponse,
} from '../protocol/generated/samphirenotch/v1/requests.js';
import { CLAIM_KEY, REQUEST_HEAD, SETTLE_KEY } from '../protocol/requestsMessages.js';
import { callWithin, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { fromHeaderList, readBodyFrames, toHeaderList, writeBody } from './forwardFrames.js';
import type { KeyAuthority } from './keyAuthority.js';
import { claimToMessage, settlementFromMessage } from './keyMessages.js';
import { readBody } from './requestBody.js';
import type { RequestTarget, ServiceAnswer, ServiceRequest } from './serviceRequest.js';

type Stream = ServerDuplexStream<ForwardRequest, ForwardResponse>;

/** What the service is made of. */
export interface RequestsGrpcServiceParts {
  readonly target: RequestTarget;
  /** Decides on keys whose partitions this entry owns. */
  readonly keys: KeyAuthority;
  readonly clock: Clock;
  /** Name of this entry, for failures. */
  readonly entry: string;
}

/** The requests service of an entry. */
export class RequestsGrpcService implements GrpcService {
  /**
   * @param parts - what the service is made of
   */
  constructor(private readonly parts: RequestsGrpcServiceParts) {}

  register(server: Server): void {
    server.addService(RequestsServiceService, {
      forward: (stream: Stream) => {
        this.forward(stream).catch((error: unknown) => this.fail(stream, error));
      },
      claimKey: (call: ServerUnaryCall<unknown, unknown>, done: sendUnaryData<unknown>) => {
        this.answer(done, () => this.claim(call));
      },
      settleKey: (call: ServerUnaryCall<unknown, unknown>, done: sendUnaryData<unknown>) => {
        this.answer(done, () => this.settle(call));
      },
    });
  }

  private async forward(stream: Stream): Promise<void> {
    const gone = new AbortController();
    stream.on('cancelled', () => gone.abort());
    stream.on('error', () => gone.abort());
    const frames = (stream as AsyncIterable<ForwardRequest>)[Symbol.asyncIterator]();
    const { request, call } = await this.open(frames, gone.signal);
    const outcome = await this.parts.target.route(request, call);
    if (outcome.err) throw outcome.val;
    await this.pass(outcome.val, stream);
  }

  private async open(
    frames: AsyncIterator<ForwardRequest>,
    signal: AbortSignal,
  ): Promise<{ readonly request: ServiceRequest; readonly call: Call }> {
    const first = await frames.next();
    if (first.done) throw this.invalid('The stream has no head.');
    const parsed = REQUEST_HEAD.safeParse(first.value.head);
    if (!parsed.success) throw this.invalid(parsed.error.message);
    const { remainingMs, headers, ...identity } = parsed.data;
    const call = callWithin(this.parts.clock, remainingMs, signal);
    const body = await this.readBody(frames);
    const fields = { headers: fromHeaderList(headers), body, forwarded: true };
    return { request: { ...identity, ...fields }, call };
  }

  private async readBody(frames: AsyncIterator<ForwardRequest>): ReturnType<typeof readBody> {
    const source = Readable.from(readBodyFrames(frames), { objectMode: false });
    try {
      return await readBody(source);
    } catch (error) {
      throw this.invalid(`The body broke off: ${String(error)}`);
    }
  }

  private async pass(answer: ServiceAnswer, stream: Stream): Promise<void> {
    const headers = toHeaderList(answer.headers);
    stream.once('cancelled', () => answer.body.destroy());
    stream.write({ head: { status: answer.status, headers } });
    await writeBody(answer.body, stream);
    stream.end();
  }

  private async claim(call: ServerUnaryCall<unknown, unknown>): Promise<unknown> {
    const parsed = CLAIM_KEY.safeParse(call.request);
    if (!parsed.success) throw this.invalid(parsed.error.message);
    const { remainingMs, ...claim } = parsed.data;
    const decided = await this.parts.keys.claim(claim, callWithin(this.parts.clock, remainingMs));
    if (decided.err) throw decided.val;
    return claimToMessage(decided.val);
  }

  private async settle(call: ServerUnaryCall<unknown, unknown>): Promise<unknown> {
    const parsed = SETTLE_KEY.safeParse(call.request);
    if (!parsed.success) throw this.invalid(parsed.error.message);
    const settled = this.parts.keys.settle(settlementFromMessage(parsed.data));
    if (settled.err) throw settled.val;
    return {};
  }

  private answer(done: sendUnaryData<unknown>, work: () => Promise<unknown>): void {
    work().then(
      (response) => done(null, response),
      (error: unknown) => done(toStatus(this.failureOf(error))),
    );
  }

  private fail(stream: Stream, error: unknown): void {
    if (stream.cancelled) return;
    stream.emit('error', toStatus(this.failureOf(error)));
  }

  private failureOf(error: unknown): Failure {
    if (error instanceof Failure) return error;
    const message = error instanceof Error ? error.message : String(error);
    const detail = { code: 'internal', step: 'requests.serve', peer: this.parts.entry } as const;
    return new Failure({ ...detail, effect: 'unknown', message });
  }

  private invalid(message: string): Failure {
    const detail = { code: 'invalid', step: 'requests.serve', peer: this.parts.entry } as const;
    return new Failure({ ...detail, effect: 'not-run', message });
  }
}
