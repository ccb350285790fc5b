/**
 * Lines on standard output under a slow reader.
 */
import test from 'ava';
import { LineSink, type LineRank, type TextWriter } from 'samphirenotch/observability/lineSink.js';

/** Lines of 10,000 characters that are more than a sink keeps. */
const MANY = 200;

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

// Guards against decisions and warnings that are lost for the sake of many lines that are all alike.
test('should keep room for decisions, and more of it for warnings, while nobody reads', async (t) => {
  const { sink, write } = makeSink();
  sink.add('first');
  const blocked = await write();
  const line = 'x'.repeat(10_000);
  const addMany = (rank: LineRank): number => {
    const before = sink.dropped;
    for (let at = 0; at < MANY; at += 1) sink.add(line, rank);
    return sink.dropped - before;
  };
  const bulk = addMany('bulk');
  const decision = 'd'.repeat(line.length);
  sink.add(decision, 'decision');
  const decisions = addMany('decision');
  const alarm = 'a'.repeat(line.length);
  sink.add(alarm, 'alarm');
  const alarms = addMany('alarm');
  t.true(bulk > 0 && decisions > 0 && alarms > 0);
  const drops = bulk + decisions + alarms;

  const texts: string[] = [];
  let next = blocked;
  // Lines of this length are written one by one.
  for (let left = 3 * MANY + 2 - sink.dropped; left > 0; left -= 1) {
    next.done(null, Buffer.byteLength(next.text));
    next = await write();
    texts.push(next.text);
  }
  const lines = texts.join('').split('\n');
  t.true(lines.includes(decision));
  t.true(lines.includes(alarm));
  const { time, ...notice } = JSON.parse(lines[0] ?? '') as Record<string, unknown>;
  t.deepEqual(notice, { level: 'warn', part: 'log', message: 'Lines were dropped', drops, bulk });
  t.true(Number.isFinite(Date.parse(String(time))));
});

test('should try again when the reader was not ready', async (t) => {
  const { sink, write } = makeSink();
  sink.add('one');
  const first = await write();
  first.done(Object.assign(new Error('again'), { code: 'EAGAIN' }), 0);
  t.is((await write()).text, 'one\n');
});
