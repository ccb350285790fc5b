/**
 * Which headers pass through an entry.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Headers } from './serviceRequest.js';

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
]);

const namedByConnection = (connection: string | undefined): ReadonlySet<string> =>
  new Set((connection ?? '').split(',').map((name) => name.trim().toLowerCase()));

/**
 * Keeps the headers that belong to the message rather than to the connection.
 *
 * @param headers - headers as received
 * @returns headers to pass on
 */
export const endToEndHeaders = (headers: IncomingHttpHeaders | Headers): Headers => {
  const dropped = namedByConnection(headers.connection as string | undefined);
  const kept = Object.entries(headers)
    .filter(([name, value]) => value !== undefined && !HOP_HEADERS.has(name) && !dropped.has(name))
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : String(value)]);
  return Object.fromEntries(kept) as Headers;
};
