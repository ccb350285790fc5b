/**
 * Servers of the soak's stand-ins: JSON over HTTP, with answers that may stay out.
 */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request of an entry. */
export interface StandInRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Readonly<Record<string, unknown>>;
}

/** An answer; undefined leaves the connection silent for good. */
export type StandInAnswer = { readonly status: number; readonly body?: unknown } | undefined;

/** Answers requests. */
export type StandInHandler = (request: StandInRequest) => Promise<StandInAnswer>;

const parse = (text: string): Readonly<Record<string, unknown>> =>
  text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);

/**
 * Starts a server on a free port of this machine.
 *
 * @param handle - answers requests
 * @returns the server and its port
 */
export const startServer = async (
  handle: StandInHandler,
): Promise<{ readonly server: Server; readonly port: number }> => {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url ?? '/', 'http://stand-in');
      const { method = 'GET', headers } = request;
      const body = parse(Buffer.concat(chunks).toString('utf8'));
      handle({ method, path: url.pathname, query: url.searchParams, headers, body })
        .then((answer) => {
          if (!answer || response.destroyed) return;
          const text = JSON.stringify(answer.body ?? {});
          response.writeHead(answer.status, {
            'Content-Type': 'application/json',
            'Content-Length': Buffer.byteLength(text),
          });
          response.end(text);
        })
        .catch((error: unknown) => {
          response.destroy(error instanceof Error ? error : undefined);
        });
    });
  });
  server.keepAliveTimeout = 0;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
};
