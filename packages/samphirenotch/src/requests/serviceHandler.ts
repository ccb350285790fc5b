/**
 * Serves callers' requests to services: `/services/SERVICE/PATH`.
 */
import { pipeline } from 'node:stream';
import type { ServerResponse } from 'node:http';
import type { ConfigurationView } from '../config/configurationView.js';
import { Failure } from '../failure.js';
import type { HttpExchange, HttpHandler } from '../http/httpHandler.js';
import { statusOf, writeProblem } from '../http/problem.js';
import { requestIdOf } from '../http/requestId.js';
import { partLog } from '../observability/log.js';
import type { Recorder } from '../observability/recorder.js';
import { callWithin, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { BodyTooLarge, limitBody } from './bodyLimit.js';
import { endToEndHeaders } from './headers.js';
import { KeyConflict } from './keyConflict.js';
import { readBody, type RequestBody } from './requestBody.js';
import { readHead, type RequestHead } from './requestHead.js';
import { refusal } from './refusal.js';
import type { RequestTarget, ServiceAnswer, ServiceRequest } from './serviceRequest.js';
import { TenantOverLimit } from './tenantOverLimit.js';

const CONTENT_TOO_LARGE = 413;
const TOO_MANY_REQUESTS = 429;
const UNPROCESSABLE = 422;
const SERVICE_UNAVAILABLE = 503;

/** Told with a refusal that names no time itself. */
const RETRY_AFTER_SECONDS = 1;

const log = partLog('requests');

/** What the handler is made of. */
export interface ServiceHandlerParts {
  readonly target: RequestTarget;
  readonly configuration: ConfigurationView;
  readonly clock: Clock;
  readonly recorder: Recorder;
}

/** Serves requests to services. */
export class ServiceHandler implements HttpHandler {
  readonly prefix = '/services';

  /**
   * @param parts - what the handler is made of
   */
  constructor(private readonly parts: ServiceHandlerParts) {}

  async handle(exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    const requestId = requestIdOf(response);
    const head = readHead(request, this.parts.configuration.current());
    if (head.err) {
      writeProblem(response, head.val, requestId);
      return;
    }
    const call = callWithin(this.parts.clock, head.val.timeoutMs, exchange.call.signal);
    const announced = Number(request.headers['content-length'] ?? 0);
    if (announced > head.val.limit.bodyBytes) {
      this.tooLarge(response, new BodyTooLarge(head.val.limit.bodyBytes), requestId, 'not-run');
      return;
    }
    const limited = limitBody(request, head.val.limit.bodyBytes);
    let cause: unknown;
    limited.on('error', (error) => {
      cause = error;
    });
    // An answer may be complete before the body is; the rest is read and dropped.
    response.once('finish', () => {
      request.unpipe();
      request.resume();
    });
    const body = await readBody(limited).catch((error: unknown) => error);
    if (body instanceof Error) {
      this.brokenBody(response, body, requestId);
      return;
    }
    const serviceRequest = this.requestOf(exchange, head.val, requestId, body as RequestBody);
    const failure = await this.run(serviceRequest, call, response);
    if (!failure) return;
    if (cause instanceof BodyTooLarge) this.tooLarge(response, cause, requestId, failure.effect);
    else this.answerFailure(response, failure, serviceRequest);
  }

  private requestOf(
    { request }: HttpExchange,
    head: RequestHead,
    requestId: string,
    body: RequestBody,
  ): ServiceRequest {
    const { service, method, path, idempotent, idempotencyKey } = head;
    return {
      requestId,
      service,
      method,
      path,
      idempotent,
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
      taskClass: head.taskClass.name,
      tenant: head.tenant.name,
      headers: endToEndHeaders(request.headers),
      body,
      forwarded: false,
    };
  }

  private async run(
    request: ServiceRequest,
    call: Call,
    response: ServerResponse,
  ): Promise<Failure | undefined> {
    const { clock, recorder, target } = this.parts;
    const startedMs = clock.monotonicMs();
    const outcome = await target.route(request, call);
    const kind = outcome.ok ? 'answered' : outcome.val.effect;
    recorder.count('requests_outcomes', { taskClass: request.taskClass, outcome: kind });
    if (outcome.err) return outcome.val;
    this.answer(response, outcome.val, request);
    response.once('close', () => recorder.time('total', request, clock.monotonicMs() - startedMs));
    return undefined;
  }

  private answer(response: ServerResponse, answer: ServiceAnswer, request: ServiceRequest): void {
    response.statusCode = answer.status;
    const { 'x-request-id': dropped, ...headers } = answer.headers;
    Object.entries(headers).forEach(([name, value]) => response.setHeader(name, value));
    if (answer.replayed) response.setHeader('Idempotency-Replayed', 'true');
    pipeline(answer.body, response, (error) => {
      if (!error) return;
      // The connection must break: an answer that ended normally would pass for whole.
      response.destroy();
      log.warn('Answer is cut off.', { requestId: request.requestId, reason: error.message });
    });
  }

  private answerFailure(
    response: ServerResponse,
    failure: Failure,
    { requestId, service, taskClass, tenant }: ServiceRequest,
  ): void {
    const { code, step, peer, effect } = failure;
    log.info('Request fails.', { requestId, service, taskClass, tenant, code, step, peer, effect });
    if (failure instanceof KeyConflict) {
      const status = failure.earlier === 'other-request' ? { status: UNPROCESSABLE } : {};
      writeProblem(response, failure, requestId, {
        ...status,
        members: { earlier: failure.earlier },
      });
      return;
    }
    if (effect === 'not-run' && statusOf(failure) === SERVICE_UNAVAILABLE) {
      response.setHeader('Retry-After', RETRY_AFTER_SECONDS);
    }
    const isLimit = failure instanceof TenantOverLimit;
    writeProblem(response, failure, requestId, isLimit ? { status: TOO_MANY_REQUESTS } : {});
  }

  private brokenBody(response: ServerResponse, error: Error, requestId: string): void {
    if (error instanceof BodyTooLarge) {
      this.tooLarge(response, error, requestId, 'not-run');
      return;
    }
    const reason = { code: 'cancelled', step: 'requests.read', peer: 'caller' } as const;
    writeProblem(response, refusal({ ...reason, message: error.message }), requestId);
  }

  private tooLarge(
    response: ServerResponse,
    error: BodyTooLarge,
    requestId: string,
    effect: Failure['effect'],
  ): void {
    const detail = { code: 'invalid', step: 'requests.read', peer: 'caller', effect } as const;
    response.setHeader('Connection', 'close');
    const failure = new Failure({ ...detail, message: error.message });
    writeProblem(response, failure, requestId, { status: CONTENT_TOO_LARGE });
  }
}
