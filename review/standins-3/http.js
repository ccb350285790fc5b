/**
 * JSON over HTTP on loopback addresses, for the stand-ins and the callers of the third review.
 */
import { Agent, createServer, request } from 'node:http';

const parse = (text) => {
  if (text === '') return {};
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/**
 * Starts a server on a free port of 127.0.0.1.
 *
 * @param handle - returns a status and a body; undefined leaves the call without an answer
 * @returns the server and its port
 */
export const serve = async (handle) => {
  const server = createServer((incoming, response) => {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', async () => {
      const { pathname, searchParams } = new URL(incoming.url ?? '/', 'http://standin');
      const answer = await handle({
        method: incoming.method,
        path: pathname,
        query: searchParams,
        headers: incoming.headers,
        body: parse(Buffer.concat(chunks).toString('utf8')) ?? {},
      });
      if (!answer || response.destroyed) return;
      const text = JSON.stringify(answer.body ?? {});
      response.writeHead(answer.status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
      });
      response.end(text);
    });
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, port: server.address().port };
};

/**
 * Sends one request on a connection of its own.
 *
 * @param options - host, port, method, path, headers, body and time in milliseconds
 * @returns status and body; the status is 0 if there is no whole answer in time
 */
export const call = ({ host, port, method, path, headers = {}, body, timeoutMs = 3_000 }) =>
  new Promise((resolve) => {
    const agent = new Agent({ keepAlive: false });
    const text = body === undefined ? undefined : JSON.stringify(body);
    const sent = request(
      {
        host,
        port,
        method,
        path,
        agent,
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }),
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => {
          resolve({
            status: response.statusCode,
            body: parse(Buffer.concat(chunks).toString('utf8')),
          });
        });
        response.on('error', () => resolve({ status: 0, body: undefined }));
      },
    );
    sent.on('error', () => resolve({ status: 0, body: undefined }));
    sent.setTimeout(timeoutMs, () => sent.destroy());
    sent.end(text);
  });
