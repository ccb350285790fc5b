/**
 * The frames of a forwarded request and of its answer.
 */
import type { Writable } from 'node:stream';
import type { Header } from '../protocol/generated/samphirenotch/v1/requests.js';
import type { Headers } from './serviceRequest.js';

/** One frame of a stream. */
export interface Frame {
  readonly chunk?: Buffer | undefined;
  readonly end?: boolean | undefined;
}

/** Largest part of a body in one frame, in bytes. */
const CHUNK_BYTES = 32_768;

/**
 * Turns headers into their message.
 *
 * @param headers - headers by name
 * @returns the message
 */
export const toHeaderList = (headers: Headers): Header[] =>
  Object.entries(headers).map(([name, value]) => ({ name, value }));

/**
 * Turns the message of headers into headers.
 *
 * @param list - the message
 * @returns headers by name
 */
export const fromHeaderList = (list: readonly Header[]): Headers =>
  Object.fromEntries(list.map(({ name, value }) => [name, value]));

const split = (chunk: Buffer): readonly Buffer[] => {
  const count = Math.ceil(chunk.length / CHUNK_BYTES);
  return Array.from({ length: count }, (_, index) =>
    chunk.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES),
  );
};

const WAKING_EVENTS = ['drain', 'close', 'error', 'end', 'cancelled'] as const;

/** Waits until the stream takes more, or is over. */
const drained = (stream: Writable): Promise<void> =>
  new Promise((resolve) => {
    const finish = (): void => {
      WAKING_EVENTS.forEach((event) => stream.off(event, finish));
      resolve();
    };
    WAKING_EVENTS.forEach((event) => stream.on(event, finish));
  });

/**
 * Writes a body as frames, no faster than the other side takes them, and ends it.
 *
 * @param body - the body; if it breaks, the returned promise rejects and no end is written
 * @param stream - the stream to write to
 */
export const writeBody = async (body: AsyncIterable<Buffer>, stream: Writable): Promise<void> => {
  for await (const part of body) {
    for (const chunk of split(part)) {
      if (stream.destroyed) throw new Error('The stream is closed.');
      if (!stream.write({ chunk })) await drained(stream);
    }
  }
  stream.write({ end: true });
};

/**
 * Reads a body from frames.
 *
 * @param frames - the frames after the head
 * @returns parts of the body; throws if the frames stop before their end
 */
export async function* readBodyFrames(frames: AsyncIterator<Frame>): AsyncGenerator<Buffer> {
  for (;;) {
    const next = await frames.next();
    if (next.done) throw new Error('The stream stopped before its end.');
    if (next.value.end) return;
    if (next.value.chunk) yield next.value.chunk;
  }
}
