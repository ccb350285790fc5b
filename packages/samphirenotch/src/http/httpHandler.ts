/**
 * One group of resources that an entry serves over HTTP.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Call } from '../time/call.js';

/** A request to an entry, with its address taken apart. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Aborted when the caller goes away. */
  readonly call: Call;
  /** Aborted when the entry begins to stop; streams without an end of their own end then. */
  readonly draining: AbortSignal;
}

/** Serves the paths under a prefix. */
export interface HttpHandler {
  /** For instance `/tasks`. */
  readonly prefix: string;
  handle(exchange: HttpExchange): Promise<void>;
}
