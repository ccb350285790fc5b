/**
 * Passes the body of an answer on, and never lets a broken one end as if it were whole.
 */
import {
  PassThrough,
  Transform,
  pipeline,
  type Readable,
  type TransformCallback,
} from 'node:stream';
import type { Clock } from '../time/clock.js';
import type { Headers } from './serviceRequest.js';

/** Time without any progress after which the body of an answer is given up, in milliseconds. */
export const BODY_IDLE_MS = 120_000;

/** Abort reason of the watch over a body. */
const BODY_ENDED = 'body-ended';

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** What is known of a body before it comes. */
export interface BodyExpectation {
  readonly method: string;
  readonly status: number;
  readonly headers: Headers;
}

const announcedBytes = ({ method, status, headers }: BodyExpectation): number | undefined => {
  if (method === 'HEAD' || NO_BODY_STATUSES.has(status)) return undefined;
  const length = headers['content-length'];
  return length === undefined ? undefined : Number(length);
};

const counting = (announced: number | undefined, seen: (bytes: number) => void): Transform => {
  let total = 0;
  return new Transform({
    transform(chunk: Buffer, _encoding, done: TransformCallback): void {
      total += chunk.length;
      seen(total);
      done(null, chunk);
    },
    flush(done: TransformCallback): void {
      const whole = announced === undefined || announced === total;
      done(whole ? null : new Error(`The answer ended at ${total} of ${announced} bytes.`));
    },
  });
};

/**
 * Checks the body of an answer while it passes.
 *
 * @param source - the body as the worker or a peer sends it
 * @param expectation - method, status and headers that tell its length
 * @param clock - for the time without progress
 * @param ended - told once whether the body came whole
 * @returns the body to pass on; destroyed if it does not come whole
 */
export const checkBody = (
  source: Readable,
  expectation: BodyExpectation,
  clock: Clock,
  ended: (whole: boolean) => void,
): Readable => {
  const over = new AbortController();
  let progress = 0;
  const checked = counting(announcedBytes(expectation), (bytes) => {
    progress = bytes;
  });
  const passed = new PassThrough();
  passed.on('error', () => {});
  pipeline(source, checked, passed, (error) => {
    over.abort(BODY_ENDED);
    ended(!error);
  });
  const watch = async (): Promise<void> => {
    while (!over.signal.aborted) {
      const before = progress;
      await clock.sleep(BODY_IDLE_MS, over.signal);
      if (!over.signal.aborted && progress === before) {
        source.destroy(new Error('The answer made no progress.'));
      }
    }
  };
  watch().catch(() => source.destroy());
  return passed;
};
