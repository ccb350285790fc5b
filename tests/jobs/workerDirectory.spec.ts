/**
 * Workers that go missing from the directory, and heartbeats of those that do not.
 */
import test from 'ava';
import type { WorkerDescription } from 'samphirenotch/infrastructure/taskWorker.js';
import { WorkerDirectory } from 'samphirenotch/jobs/workers/workerDirectory.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeSilentAgent } from '../fixtures/silentFleet.js';

const KEY = 'workers/w0';

/** An entry that names no worker. */
const ODD = 'odd';

/** Creates a directory with a single worker. */
const makeDirectory = () => {
  const clock = new ManualClock();
  const gone: string[] = [];
  const codec = {
    workersPrefix: 'workers/',
    operatorPrefix: 'operator/',
    readWorker: (_key: string, value: string) =>
      value === ODD ? undefined : makeSilentAgent(clock).description,
    withoutHeartbeat: (value: string) => value,
    readOperatorItem: () => undefined,
  };
  const listed: string[] = [];
  const listener = {
    onWorker: ({ id }: WorkerDescription) => listed.push(id),
    onUnlisted: (id: string) => gone.push(id),
  };
  const directory = new WorkerDirectory(codec, listener, clock);
  directory.onListing([{ key: KEY, value: '{}', revision: 1 }]);
  return { clock, gone, listed, directory };
};

/** Creates a directory that has just noticed that its only worker was removed. */
const makeDirectoryMissingWorker = () => {
  const made = makeDirectory();
  made.directory.onChange(KEY, undefined);
  made.directory.onCaughtUp(2, made.clock.monotonicMs());
  return made;
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

// Guards against a worker that is used for good although its entry names no worker any more.
test('should count a worker as gone whose entry has named no worker for 2.5 s', (t) => {
  const { clock, gone, listed, directory } = makeDirectory();
  directory.onChange(KEY, ODD);
  for (let ms = 0; ms < 2_400; ms += 400) {
    // Another writer repeats the entry.
    directory.onChange(KEY, ODD);
    directory.onCaughtUp(2, clock.monotonicMs());
    clock.jump(400);
  }
  t.deepEqual(gone, []);
  clock.jump(100);
  directory.onCaughtUp(2, clock.monotonicMs());
  t.deepEqual(gone, ['w0']);
  directory.onChange(KEY, '{}');
  t.deepEqual(listed, ['w0', 'w0']);
});

// Guards against a worker that is dropped although its own next write put its entry right.
test('should keep a worker whose entry names no worker for a moment', (t) => {
  const { clock, gone, directory } = makeDirectory();
  directory.onListing([{ key: KEY, value: ODD, revision: 2 }]);
  directory.onCaughtUp(2, clock.monotonicMs());
  clock.jump(1_500);
  directory.onChange(KEY, '{}');
  clock.jump(5_000);
  directory.onCaughtUp(3, clock.monotonicMs());
  t.deepEqual(gone, []);
});

/** Creates a directory that counts the descriptions it decodes and passes on. */
const makeCountingDirectory = () => {
  const clock = new ManualClock();
  const { description } = makeSilentAgent(clock);
  const decoded: string[] = [];
  const told: WorkerDescription[] = [];
  const codec = {
    workersPrefix: 'workers/',
    operatorPrefix: 'operator/',
    readWorker: (_key: string, value: string) => {
      decoded.push(value);
      const [phase = ''] = value.split(' ');
      return { ...description, phase: phase as WorkerDescription['phase'] };
    },
    withoutHeartbeat: (value: string) => value.split(' ')[0] ?? '',
    readOperatorItem: () => undefined,
  };
  const listener = {
    onWorker: (worker: WorkerDescription) => told.push(worker),
    onUnlisted: () => undefined,
  };
  const directory = new WorkerDirectory(codec, listener, clock);
  return { clock, decoded, told, directory };
};

const HEARTBEATS = 20;

// Guards against owners that decode each heartbeat of each worker of a large site.
test('should decode a worker only when more than its heartbeat has changed', (t) => {
  const { decoded, told, directory } = makeCountingDirectory();
  directory.onListing([{ key: KEY, value: 'ready 1', revision: 1 }]);
  for (let beat = 2; beat <= HEARTBEATS; beat += 1) directory.onChange(KEY, `ready ${beat}`);
  t.deepEqual(decoded, ['ready 1']);
  directory.onChange(KEY, `draining ${HEARTBEATS + 1}`);
  t.deepEqual(
    told.map(({ phase }) => phase),
    ['ready', 'draining'],
  );
});

// Guards against workers that count as gone although an unchanged description is back.
test('should not count a worker as gone that comes back unchanged', (t) => {
  const { clock, gone, directory } = makeDirectoryMissingWorker();
  directory.onChange(KEY, '{}');
  clock.jump(5_000);
  directory.onCaughtUp(3, clock.monotonicMs());
  t.deepEqual(gone, []);
});

// Guards against workers that come back after they counted as gone, and stay unlisted.
test('should report a worker that comes back unchanged after it was gone', (t) => {
  const { clock, told, directory } = makeCountingDirectory();
  directory.onListing([{ key: KEY, value: 'ready 1', revision: 1 }]);
  directory.onChange(KEY, undefined);
  clock.jump(5_000);
  directory.onCaughtUp(2, clock.monotonicMs());
  directory.onChange(KEY, 'ready 2');
  t.is(told.length, 2);
});
