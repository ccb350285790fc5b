/**
 * Servers of the stand-ins: JSON over HTTP on loopback. A handler may leave a call unanswered.
 */
import { createServer } from 'node:http';

const parse = (text) => (text === '' ? {} : JSON.parse(text));

/**
 * Starts a server on a free port.
 *
 * @param handle - async function of method, path, query, headers and body; returns status and body, or
 * undefined to leave the call unanswered
 * @returns the server and its port
 */
export const startServer = async (handle, { host = '127.0.0.1', port = 0 } = {}) => {
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', async () => {
      try {
        const url = new URL(request.url, 'http://stand-in');
        const { method, headers } = request;
        const body = parse(Buffer.concat(chunks).toString('utf8'));
        const call = { method, headers, body, path: url.pathname, query: url.searchParams };
        const answer = await handle(call);
        if (!answer || response.destroyed) return;
        const text = JSON.stringify(answer.body ?? {});
        response.writeHead(answer.status, {
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(text),
        });
        response.end(text);
      } catch {
        response.destroy();
      }
    });
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return { server, port: server.address().port };
};
