/**
 * Workers that go missing from the directory.
 */
import test from 'ava';
import { WorkerDirectory } from 'samphirenotch/jobs/workers/workerDirectory.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeSilentAgent } from '../fixtures/silentFleet.js';

const KEY = 'workers/w0';

/** Creates a directory that has just noticed that its only worker was removed. */
const makeDirectoryMissingWorker = () => {
  const clock = new ManualClock();
  const gone: string[] = [];
  const codec = {
    workersPrefix: 'workers/',
    operatorPrefix: 'operator/',
    readWorker: () => makeSilentAgent(clock).description,
    readOperatorItem: () => undefined,
  };
  const listener = { onWorker: () => undefined, onUnlisted: (id: string) => gone.push(id) };
  const directory = new WorkerDirectory(codec, listener, clock);
  directory.onListing([{ key: KEY, value: '{}', revision: 1 }]);
  directory.onChange(KEY, undefined);
  directory.onCaughtUp(2, clock.monotonicMs());
  return { clock, gone, directory };
};

// Guards against workers that are dropped although an answer that lists them waits to be read.
test('should not count its own delay as time in which a worker was missing', (t) => {
  const { clock, gone, directory } = makeDirectoryMissingWorker();
  // Requested shortly after the removal and read late; the next answer lists the worker.
  const askedMs = clock.monotonicMs() + 100;
  clock.jump(2_600);
  directory.onCaughtUp(2, askedMs);
  directory.onChange(KEY, '{}');
  directory.onCaughtUp(3, clock.monotonicMs());
  clock.jump(5_000);
  directory.onCaughtUp(3, clock.monotonicMs());
  t.deepEqual(gone, []);
});

// Guards against workers that are never dropped.
test('should count a worker as gone if an answer requested 2.5 s later does not list it', (t) => {
  const { clock, gone, directory } = makeDirectoryMissingWorker();
  clock.jump(2_400);
  directory.onCaughtUp(2, clock.monotonicMs());
  t.deepEqual(gone, []);
  clock.jump(100);
  directory.onCaughtUp(2, clock.monotonicMs());
  t.deepEqual(gone, ['w0']);
});
