/**
 * Stops a body that is larger than its tenant may send.
 */
import { Transform, type Readable, type TransformCallback } from 'node:stream';

/** Raised by a body that is too large. */
export class BodyTooLarge extends Error {
  /**
   * @param maximumBytes - the bound that was passed
   */
  constructor(readonly maximumBytes: number) {
    super(`The body is larger than ${maximumBytes} bytes.`);
    this.name = 'BodyTooLarge';
  }
}

/**
 * Limits a body.
 *
 * @param source - the body
 * @param maximumBytes - largest size that passes
 * @returns the same content; breaks with `BodyTooLarge` once it passes the bound
 */
export const limitBody = (source: Readable, maximumBytes: number): Readable => {
  let seen = 0;
  const limit = new Transform({
    transform(chunk: Buffer, _encoding, done: TransformCallback): void {
      seen += chunk.length;
      if (seen > maximumBytes) done(new BodyTooLarge(maximumBytes));
      else done(null, chunk);
    },
  });
  source.once('error', (error) => limit.destroy(error));
  source.once('close', () => {
    if (!source.readableEnded) limit.destroy(new Error('The caller broke off its body.'));
  });
  return source.pipe(limit);
};
