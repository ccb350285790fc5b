/**
 * The HTTP server that callers and the balancer speak to.
 */
import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Failure, type FailureCode } from '../failure.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { HttpExchange, HttpHandler } from './httpHandler.js';
import type { HttpLimits } from './httpLimits.js';
import { writeProblem } from './problem.js';
import { REQUEST_ID_HEADER, requestIdOf } from './requestId.js';

const REQUEST_ID = /^[\w.:-]{1,128}$/;
const BASE_URL = 'http://entry';
const RETRY_AFTER_READY_MS = 1_000;

/** What the server is made of. */
export interface CallerServerOptions {
  readonly handlers: readonly HttpHandler[];
  readonly clock: Clock;
  readonly limits: HttpLimits;
  /** Tells whether the entry can serve; asked by `/readyz`. */
  readonly isReady: () => boolean;
  /** Address that failures name as their place. */
  readonly name: string;
}

const refusal = (code: FailureCode, name: string, message: string): Failure =>
  new Failure({ code, step: 'http.accept', peer: name, effect: 'not-run', message });

/** Serves handlers over HTTP, and stops without cutting off what it serves. */
export class CallerServer {
  private readonly server: Server;

  private readonly draining = new AbortController();

  private inFlight = 0;

  /**
   * @param options - handlers, limits and readiness
   */
  constructor(private readonly options: CallerServerOptions) {
    const { limits } = options;
    this.server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headersTimeoutMs,
        requestTimeout: limits.receiveTimeoutMs,
        keepAliveTimeout: limits.keepAliveMs,
      },
      (request, response) => {
        this.serve(request, response).catch(() => response.destroy());
      },
    );
    this.server.maxHeadersCount = limits.headerCount;
    this.server.maxConnections = limits.connections;
  }

  /** Aborted once the server drains: streams without an end of their own should end. */
  get drainSignal(): AbortSignal {
    return this.draining.signal;
  }

  /** Requests in progress. */
  get requestsInFlight(): number {
    return this.inFlight;
  }

  /**
   * Starts to listen.
   *
   * @param host - address to listen on
   * @param port - port to listen on; 0 for any
   * @returns the address in use
   */
  listen(host: string, port: number): Promise<AddressInfo> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve(this.server.address() as AddressInfo);
      });
    });
  }

  /** Stops: not ready first, then no new connections; resolves when the last request is answered. */
  async drain(): Promise<void> {
    if (this.draining.signal.aborted) return;
    this.draining.abort();
    const { clock, limits } = this.options;
    await clock.sleep(limits.drainGraceMs);
    const closed = new AbortController();
    this.server.close(() => closed.abort());
    while (!closed.signal.aborted) {
      await clock.sleep(limits.drainGraceMs, closed.signal);
      // Connections whose answer began before the drain were not asked to close.
      this.server.closeIdleConnections();
    }
  }

  /** Closes every connection at once, whatever is in progress on it. */
  abort(): void {
    this.draining.abort();
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange = this.open(request, response);
    const { pathname } = exchange.url;
    if (this.draining.signal.aborted) response.setHeader('Connection', 'close');
    if (pathname === '/healthz') {
      this.answerProbe(response, true);
      return;
    }
    if (pathname === '/readyz') {
      this.answerProbe(response, !this.draining.signal.aborted && this.options.isReady());
      return;
    }
    await this.dispatch(exchange);
  }

  private open(request: IncomingMessage, response: ServerResponse): HttpExchange {
    const asked = request.headers[REQUEST_ID_HEADER];
    const known = typeof asked === 'string' && REQUEST_ID.test(asked);
    response.setHeader(REQUEST_ID_HEADER, known ? asked : randomUUID());
    const gone = new AbortController();
    this.inFlight += 1;
    response.once('close', () => {
      this.inFlight -= 1;
      if (!response.writableFinished) gone.abort();
    });
    this.closeWhenDrained(response);
    const url = URL.canParse(request.url ?? '/', BASE_URL)
      ? new URL(request.url ?? '/', BASE_URL)
      : new URL(BASE_URL);
    const call = callWithin(this.options.clock, this.options.limits.callTimeoutMs, gone.signal);
    return { request, response, url, call, draining: this.draining.signal };
  }

  /** Asks the caller to use another connection if the drain began before the answer. */
  private closeWhenDrained(response: ServerResponse): void {
    const mark = (): void => {
      if (!response.headersSent) response.setHeader('Connection', 'close');
    };
    this.draining.signal.addEventListener('abort', mark);
    response.once('close', () => this.draining.signal.removeEventListener('abort', mark));
  }

  private async dispatch(exchange: HttpExchange): Promise<void> {
    const { response, url, request } = exchange;
    const { name, limits, handlers } = this.options;
    const requestId = requestIdOf(response);
    if ((request.url ?? '').length > limits.urlLength) {
      writeProblem(response, refusal('invalid', name, 'The address is too long.'), requestId);
      return;
    }
    const handler = handlers.find(
      ({ prefix }) => url.pathname === prefix || url.pathname.startsWith(`${prefix}/`),
    );
    if (!handler) {
      writeProblem(response, refusal('not-found', name, `Nothing at ${url.pathname}.`), requestId);
      return;
    }
    try {
      await handler.handle(exchange);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      const detail = { code: 'internal', step: 'http.handle', peer: name, message } as const;
      writeProblem(response, new Failure({ ...detail, effect: 'unknown' }), requestId);
    }
  }

  private answerProbe(response: ServerResponse, good: boolean): void {
    response.statusCode = good ? 200 : 503;
    response.setHeader('Content-Type', 'text/plain');
    if (!good) response.setHeader('Retry-After', RETRY_AFTER_READY_MS / 1_000);
    response.end(good ? 'ok\n' : 'not ready\n');
  }
}
