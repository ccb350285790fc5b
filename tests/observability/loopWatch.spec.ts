/**
 * How late a process serves its timers.
 */
import test from 'ava';
import { LoopWatch } from 'samphirenotch/observability/loopWatch.js';
import { SilentRecorder, type Step, type Subject } from 'samphirenotch/observability/recorder.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

/** Keeps what it is told. */
class KeepingRecorder extends SilentRecorder {
  readonly timed: (readonly [Step, number])[] = [];

  readonly counted: string[] = [];

  override time(step?: Step, _subject?: Subject, durationMs = 0): void {
    if (step) this.timed.push([step, durationMs]);
  }

  override count(name?: string): void {
    if (name) this.counted.push(name);
  }
}

const watchLoop = () => {
  const clock = new ManualClock();
  const recorder = new KeepingRecorder();
  const ended = new AbortController();
  const running = new LoopWatch(clock, recorder).run(ended.signal);
  const stop = async (): Promise<void> => {
    ended.abort();
    await clock.advance(100);
    await running;
  };
  return { clock, recorder, stop };
};

// Guards against an overloaded owner whose logs speak of silent peers only.
test('should tell how late the event loop served its timers', async (t) => {
  const { clock, recorder, stop } = watchLoop();
  await clock.advance(100);
  clock.jump(400);
  await clock.advance(0);
  t.deepEqual(recorder.timed, [
    ['loop', 0],
    ['loop', 300],
  ]);
  t.deepEqual(recorder.counted, ['late_loops']);
  await stop();
});

test('should count no late loops while timers are served in time', async (t) => {
  const { clock, recorder, stop } = watchLoop();
  await clock.advance(1_000);
  t.deepEqual(recorder.counted, []);
  t.is(recorder.timed.length, 10);
  await stop();
});
