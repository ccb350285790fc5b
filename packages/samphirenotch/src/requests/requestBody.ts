/**
 * The body of a request: held whole if it is small, so that it can be sent again, else a stream.
 */
import { Readable } from 'node:stream';

/** Largest body that is held to be sent again, in bytes. */
export const REPLAY_BYTES = 65_536;

/** A body. A stream can be opened once only. */
export type RequestBody =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  | { readonly kind: 'stream'; readonly stream: Readable };

/** A body without content. */
export const EMPTY_BODY: RequestBody = { kind: 'whole', bytes: Buffer.alloc(0) };

/**
 * Makes a readable of a body.
 *
 * @param body - the body
 * @returns its content
 */
export const openBody = (body: RequestBody): Readable => {
  if (body.kind === 'stream') return body.stream;
  return Readable.from(body.bytes.length === 0 ? [] : [body.bytes], { objectMode: false });
};

async function* joined(
  parts: readonly Buffer[],
  rest: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  try {
    yield* parts;
    for (;;) {
      const next = await rest.next();
      if (next.done) return;
      yield next.value;
    }
  } finally {
    await rest.return?.();
  }
}

/**
 * Reads the beginning of a stream and decides how its body is held.
 *
 * @param source - the stream
 * @param bound - largest body to hold, in bytes
 * @returns the body; rejects if the stream breaks within the bound
 */
export const readBody = async (source: Readable, bound = REPLAY_BYTES): Promise<RequestBody> => {
  const iterator = (source as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
  const parts: Buffer[] = [];
  let size = 0;
  while (size <= bound) {
    const next = await iterator.next();
    if (next.done) return { kind: 'whole', bytes: Buffer.concat(parts) };
    parts.push(next.value);
    size += next.value.length;
  }
  return { kind: 'stream', stream: Readable.from(joined(parts, iterator), { objectMode: false }) };
};
