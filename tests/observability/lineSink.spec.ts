/**
 * Lines on standard output under a slow reader.
 */
import test from 'ava';
import { LineSink, type TextWriter } from 'samphirenotch/observability/lineSink.js';

type Done = Parameters<TextWriter>[1];

const makeSink = () => {
  const written: string[] = [];
  const waiting: { readonly text: Buffer; readonly done: Done }[] = [];
  let next: (() => void) | undefined;
  const sink = new LineSink((text, done) => {
    waiting.push({ text, done });
    next?.();
  });
  const nextWrite = (): Promise<void> =>
    new Promise((resolve) => {
      next = resolve;
      // The sink's own timers do not keep a process alive.
      setTimeout(resolve, 100);
    });
  const write = async (): Promise<{ readonly text: string; readonly done: Done }> => {
    while (waiting.length === 0) await nextWrite();
    const one = waiting.shift();
    const text = one?.text.toString('utf8') ?? '';
    written.push(text);
    return { text, done: one?.done ?? (() => undefined) };
  };
  return { sink, write, written };
};

test('should write lines together and in order', async (t) => {
  const { sink, write } = makeSink();
  sink.add('one');
  sink.add('two');
  const { text } = await write();
  t.is(text, 'one\ntwo\n');
});

test('should go on where a partial write ended', async (t) => {
  const { sink, write } = makeSink();
  sink.add('abcdef');
  const first = await write();
  first.done(null, 3);
  const second = await write();
  t.is(second.text, 'def\n');
});

test('should drop and count lines while nobody reads, and say so afterwards', async (t) => {
  const { sink, write } = makeSink();
  sink.add('first');
  const blocked = await write();
  const line = 'x'.repeat(10_000);
  for (let at = 0; at < 200; at += 1) sink.add(line);
  t.true(sink.dropped > 0);
  blocked.done(null, Buffer.byteLength(blocked.text));
  const { text } = await write();
  t.regex(text, /Lines were dropped/u);
  t.regex(text, new RegExp(`"drops":${sink.dropped}\\b`, 'u'));
});

test('should try again when the reader was not ready', async (t) => {
  const { sink, write } = makeSink();
  sink.add('one');
  const first = await write();
  first.done(Object.assign(new Error('again'), { code: 'EAGAIN' }), 0);
  t.is((await write()).text, 'one\n');
});
