/**
 * Reads server-sent events from a body.
 */
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** One event. */
export interface ServerEvent {
  readonly name: string;
  readonly data: string;
}

/**
 * Reads events as they come.
 *
 * @param body - the body of the answer
 * @returns the events; throws if the body is cut off
 */
export async function* readEvents(body: Readable): AsyncGenerator<ServerEvent> {
  let name = 'message';
  let data: string[] = [];
  for await (const line of createInterface({ input: body, crlfDelay: Infinity })) {
    if (line === '' && data.length > 0) {
      yield { name, data: data.join('\n') };
      name = 'message';
      data = [];
    }
    if (line.startsWith('event:')) name = line.slice('event:'.length).trim();
    if (line.startsWith('data:')) data.push(line.slice('data:'.length).trim());
  }
}
