/**
 * The journal of an owner, with lost answers, late transactions and another writer.
 */
import test from 'ava';
import { ProgressJournal } from 'samphirenotch/jobs/store/progressJournal.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { MemoryStoreData, MemoryTransactionStore } from '../fixtures/memoryTransactionStore.js';

const JOURNAL_KEY = 'progress/site/journal';

const makeJournal = () => {
  const clock = new ManualClock();
  const data = new MemoryStoreData(clock);
  const store = new MemoryTransactionStore(data);
  data.put(JOURNAL_KEY, '1 a');
  const deposed: string[] = [];
  const journal = new ProgressJournal(store, clock, JOURNAL_KEY, data.revision, '1 a', (reason) =>
    deposed.push(reason),
  );
  const ended = new AbortController();
  journal.run(ended.signal).catch((error: unknown) => deposed.push(String(error)));
  const write = (key: string, value: string): number => journal.add({ key, value: () => value });
  const run = async (durationMs: number): Promise<void> => {
    for (let at = 0; at < durationMs; at += 10) await clock.advance(10);
  };
  return { clock, data, store, journal, deposed, write, run };
};

// Guards against a store call for each change.
test('should store several changes in one transaction', async (t) => {
  const { data, store, write, run } = makeJournal();
  write('k/1', 'a');
  write('k/2', 'b');
  await run(100);
  t.is(data.items.get('k/1')?.value, 'a');
  t.is(data.items.get('k/2')?.value, 'b');
  t.is(store.calls.get('commit'), 1);
});

// Guards against answering a caller before its change is stored, while the store is silent.
test('should report a change as stored only once it is', async (t) => {
  const { store, journal, write, run } = makeJournal();
  store.failCommits('silent', 'silent');
  let stored = false;
  const sequence = write('k/1', 'a');
  journal
    .waitUntilStored(sequence)
    .then((ok) => {
      stored = ok;
    })
    .catch(() => undefined);
  await run(1_500);
  t.false(stored);
  await run(3_000);
  t.true(stored);
});

// Guards against an unanswered transaction that takes effect after its retry and
// restores an older value.
test('should keep a late transaction from undoing a later one', async (t) => {
  const { data, store, write, run } = makeJournal();
  store.failCommits('late');
  write('k/1', 'old');
  await run(600);
  write('k/1', 'new');
  await run(8_000);
  t.is(data.items.get('k/1')?.value, 'new');
});

// Guards against taking the own lost transaction for one of another owner, which would
// end the term.
test('should continue after a transaction whose answer was lost', async (t) => {
  const { data, store, deposed, write, run } = makeJournal();
  store.failCommits('answer-lost');
  write('k/1', 'a');
  await run(4_000);
  write('k/2', 'b');
  await run(1_000);
  t.is(data.items.get('k/1')?.value, 'a');
  t.is(data.items.get('k/2')?.value, 'b');
  t.deepEqual(deposed, []);
});

// Guards against writes of a former owner after its successor has written the journal key.
test('should end the term once another owner has written', async (t) => {
  const { data, deposed, write, run } = makeJournal();
  data.put(JOURNAL_KEY, '2 b');
  write('k/1', 'a');
  await run(500);
  t.is(data.items.get('k/1'), undefined);
  t.true(deposed.length > 0);
});

// Guards against answering for a change that was added while a transaction was in flight and was
// replaced before the next one.
test('should not report a replaced change as stored before its replacement is', async (t) => {
  const { clock, data, journal, write, run } = makeJournal();
  write('k/1', 'a');
  // The transaction with the first key is in flight.
  await clock.advance(13);
  const sequence = write('k/2', 'b');
  const presentWhenStored: boolean[] = [];
  journal
    .waitUntilStored(sequence)
    .then(() => presentWhenStored.push(data.items.has('k/2')))
    .catch(() => undefined);
  write('k/2', 'c');
  await run(500);
  t.deepEqual(presentWhenStored, [true]);
  t.is(data.items.get('k/2')?.value, 'c');
});
