/**
 * The journal of an owner, with lost answers, late transactions and another writer.
 */
import test from 'ava';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
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

/** Numbers of changes that wait while others are added: none, just over a transaction, many. */
const BACKLOGS = [1, 31, 200] as const;

const PROGRESS_KEY = 'progress/site/job/a';

const awayKeyOf = (index: number): string => `progress/site/away/a/${index}`;

const receivedKeyOf = (index: number): string => `exchange/dc1/delegated/a/${index}`;

const reportedKeyOf = (index: number): string => `exchange/site/reported/a/${index}`;

/**
 * Restores delegations and closes each of them at once, as a successor does whose first listing
 * holds their reports.
 */
const restoreAndClose = (count: number) => {
  const site = makeJournal();
  const indexes = Array.from({ length: count }, (_, index) => index);
  const done = new Set<number>();
  const remove = (key: string): number => site.journal.add({ key });
  indexes.forEach((index) => {
    const keys = [awayKeyOf(index), receivedKeyOf(index), reportedKeyOf(index)];
    keys.forEach((key) => site.data.put(key, 'former'));
    site.write(awayKeyOf(index), 'open');
    site.write(receivedKeyOf(index), 'open');
  });
  indexes.forEach((index) => {
    done.add(index);
    site.journal.add({ key: PROGRESS_KEY, value: () => [...done].join(' ') });
    remove(awayKeyOf(index));
    remove(receivedKeyOf(index));
    remove(reportedKeyOf(index));
  });
  const stored = (): ReadonlySet<number> => {
    const text = site.data.items.get(PROGRESS_KEY)?.value ?? '';
    return new Set(text === '' ? [] : text.split(' ').map(Number));
  };
  const isPresent = (key: string): boolean => site.data.items.has(key);
  /** Returns the delegations that a successor would restore wrongly from what is stored now. */
  const findFaults = (): readonly string[] => {
    const known = stored();
    return indexes.flatMap((index) => {
      const isAway = isPresent(awayKeyOf(index));
      const hasReport = isPresent(reportedKeyOf(index));
      if (!isAway && !known.has(index)) return [`${index} is neither away nor done`];
      if (isAway && !hasReport) return [`${index} is away without its report`];
      if (isPresent(receivedKeyOf(index)) && !hasReport) return [`${index} looks like a new one`];
      return [];
    });
  };
  return { ...site, findFaults };
};

// Guards against a task that is started again after its end (TWICE): an owner that ended between two
// transactions had removed a delegation before the end of its task was stored.
for (const count of BACKLOGS) {
  test(`should remove no delegation before the ends of its tasks are stored, with ${count}`, async (t) => {
    const { data, journal, findFaults, run } = restoreAndClose(count);
    const target = journal.newestSequence();
    let isStored = false;
    journal
      .waitUntilStored(target)
      .then((ok) => {
        isStored = ok;
      })
      .catch(() => undefined);
    const faults: string[] = [];
    for (let at = 0; at < 400 && !isStored; at += 1) {
      await run(10);
      faults.push(...findFaults());
    }
    t.true(isStored);
    t.deepEqual(faults, []);
    t.deepEqual([...data.items.keys()].sort(), [PROGRESS_KEY, JOURNAL_KEY].sort());
  });

  test(`should keep the order of changes when transactions are lost or late, with ${count}`, async (t) => {
    const { store, findFaults, run } = restoreAndClose(count);
    store.failCommits('answer-lost', 'late', 'silent', 'late', 'answer-lost');
    const faults: string[] = [];
    for (let at = 0; at < 1_200; at += 1) {
      await run(10);
      faults.push(...findFaults());
    }
    t.deepEqual(faults, []);
  });
}

const KEYS = 40;

/** A change of the history of a journal: a rising number of a key, or its removal. */
interface HistoryChange {
  readonly key: string;
  readonly number: number;
  readonly isRemoval: boolean;
}

/**
 * Checks that each key in the store is as it was after the first changes, or has a newer value.
 *
 * @param history - all changes, in the order in which they were added
 * @param items - what is stored
 * @returns true if there is a number of first changes that explains it
 */
const isExplained = (
  history: readonly HistoryChange[],
  items: ReadonlyMap<string, { readonly value: string }>,
): boolean => {
  const numberOf = (key: string): number | undefined => {
    const value = items.get(key)?.value;
    return value === undefined ? undefined : Number(value);
  };
  const keys = [...new Set(history.map(({ key }) => key))];
  const state = new Map<string, HistoryChange>();
  const isAsStored = (key: string): boolean => {
    const last = state.get(key);
    const number = numberOf(key);
    const isAbsent = last === undefined || last.isRemoval;
    if (isAbsent || number === undefined) return isAbsent === (number === undefined);
    return number >= last.number;
  };
  return [undefined, ...history].some((change) => {
    if (change) state.set(change.key, change);
    return keys.every(isAsStored);
  });
};

// Guards against every other pair of keys that is stored in the wrong order: writes and removals of
// many keys in random order, with transactions that are lost, late or not answered.
test('should store what the oldest changes make of the keys at any time', async (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const random = new SeededRandom(seed);
    const { data, store, journal, run } = makeJournal();
    const kinds = ['answer-lost', 'silent', 'late'] as const;
    const history: HistoryChange[] = [];
    for (let step = 0; step < 60; step += 1) {
      if (random.below(4) === 0) store.failCommits(kinds[random.below(kinds.length)] ?? 'silent');
      for (let at = random.below(30); at > 0; at -= 1) {
        const key = `k/${random.below(KEYS)}`;
        const isRemoval = random.below(2) === 0;
        const number = history.length;
        history.push({ key, number, isRemoval });
        journal.add(isRemoval ? { key } : { key, value: () => String(number) });
      }
      await run(10 * random.below(40));
      const items = new Map([...data.items].filter(([key]) => key.startsWith('k/')));
      t.true(isExplained(history, items), `seed ${seed}, step ${step}`);
    }
  }
});
