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
 * @param atLeast - lowest number of first changes
 * @returns true if there is a number of first changes that explains it
 */
const isExplained = (
  history: readonly HistoryChange[],
  items: ReadonlyMap<string, { readonly value: string }>,
  atLeast = 0,
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
  return [undefined, ...history].some((change, count) => {
    if (change) state.set(change.key, change);
    return count >= atLeast && keys.every(isAsStored);
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

/** Most changes that a transaction holds beside the journal key itself. */
const CHANGES_EACH = 30;

// Guards against a worker that gets nothing, or a start that is given up, until everything before it is stored.
test('should store a change that overtakes others before them', async (t) => {
  const { data, journal, write, run } = makeJournal();
  for (let at = 0; at < 10 * CHANGES_EACH; at += 1) write(`k/${at}`, 'a');
  const sequence = journal.add({ key: 'k/last', overtakes: true, value: () => 'b' });
  let stored = 0;
  journal
    .waitUntilStored(sequence, 'k/last')
    .then(() => {
      stored = data.items.size;
    })
    .catch(() => undefined);
  await run(1_000);
  t.true(stored > 0 && stored <= 2 * CHANGES_EACH, `${stored} were stored`);
  t.is(data.items.get('k/last')?.value, 'b');
  t.is(data.items.size, 10 * CHANGES_EACH + 2);
});

// Guards against a removal that is stored after a newer value of its key, or a waiting caller that is told too early.
test('should keep the order of the changes to each key if some overtake others', async (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const random = new SeededRandom(seed);
    const { data, store, journal, run } = makeJournal();
    const kinds = ['answer-lost', 'silent', 'late'] as const;
    const ordered: HistoryChange[] = [];
    const newest = new Map<string, HistoryChange>();
    const shown = new Map<string, number>();
    const faults: string[] = [];
    const valueOf = (key: string): number => Number(data.items.get(key)?.value ?? -1);
    const add = (number: number): void => {
      const isFree = random.below(3) === 0;
      const key = `${isFree ? 'f' : 'k'}/${random.below(KEYS)}`;
      const isRemoval = random.below(3) === 0;
      const change = { key, number, isRemoval };
      newest.set(key, change);
      if (!isFree) ordered.push(change);
      const overtakes = isFree && random.below(2) === 0;
      const content = isRemoval ? {} : { value: () => String(number) };
      const sequence = journal.add({ key, overtakes, ...content });
      journal
        .waitUntilStored(sequence, key)
        .then(() => {
          const isLost = !isRemoval && valueOf(key) < number && newest.get(key) === change;
          if (isLost) faults.push(`${key} is not stored`);
        })
        .catch(() => undefined);
    };
    let added = 0;
    for (let step = 0; step < 60; step += 1) {
      if (random.below(4) === 0) store.failCommits(kinds[random.below(kinds.length)] ?? 'silent');
      for (let at = random.below(40); at > 0; at -= 1) {
        add(added);
        added += 1;
      }
      await run(10 * random.below(40));
      const items = new Map([...data.items].filter(([key]) => key.startsWith('k/')));
      if (!isExplained(ordered, items)) faults.push(`step ${step}`);
      newest.forEach((_, key) => {
        const value = valueOf(key);
        if (value >= 0 && value < (shown.get(key) ?? 0)) faults.push(`${key} has gone back`);
        shown.set(key, Math.max(value, shown.get(key) ?? 0));
      });
    }
    await run(20_000);
    newest.forEach(({ key, number, isRemoval }) => {
      if (valueOf(key) !== (isRemoval ? -1 : number)) faults.push(`${key} is not as it should be`);
    });
    t.deepEqual(faults, [], `seed ${seed}`);
  }
});

/** Series of the random changes, and keys of each. */
const SERIES = 8;
const KEYS_OF_SERIES = 5;

// Guards against a delegation that is removed before the end of its task is stored, since a later change of the job
// overtakes others (TWICE), and against a caller that is told so too early.
test('should keep the order of the changes of each series if some overtake others', async (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const random = new SeededRandom(seed);
    const { data, store, journal, run } = makeJournal();
    const kinds = ['answer-lost', 'silent', 'late'] as const;
    const histories = new Map<string, HistoryChange[]>();
    const faults: string[] = [];
    const storedOf = (series: string) =>
      new Map([...data.items].filter(([key]) => key.startsWith(`${series}/`)));
    const add = (number: number): void => {
      const series = `s${random.below(SERIES)}`;
      const key = `${series}/${random.below(KEYS_OF_SERIES)}`;
      const isRemoval = random.below(3) === 0;
      const history = histories.get(series) ?? [];
      histories.set(series, [...history, { key, number, isRemoval }]);
      const overtakes = random.below(4) === 0;
      const content = isRemoval ? {} : { value: () => String(number) };
      const sequence = journal.add({ key, series, overtakes, ...content });
      journal
        .waitUntilStored(sequence, series)
        .then(() => {
          const all = histories.get(series) ?? [];
          const items = storedOf(series);
          if (!isExplained(all, items, history.length + 1))
            faults.push(`${series} is not stored up to ${number}`);
        })
        .catch(() => undefined);
    };
    let added = 0;
    for (let step = 0; step < 60; step += 1) {
      if (random.below(4) === 0) store.failCommits(kinds[random.below(kinds.length)] ?? 'silent');
      for (let at = random.below(40); at > 0; at -= 1) {
        add(added);
        added += 1;
      }
      await run(10 * random.below(40));
      histories.forEach((history, series) => {
        if (!isExplained(history, storedOf(series))) faults.push(`${series}, step ${step}`);
      });
    }
    t.deepEqual(faults, [], `seed ${seed}`);
  }
});

/** Time that a transaction takes, in milliseconds. */
const COMMIT_MS = 50;

// Guards against an end, a roster or a delegation that is never stored while the progress of large jobs changes in each
// transaction.
test('should store new changes although those that are being written change all the time', async (t) => {
  const { data, store, journal, write, run } = makeJournal();
  Object.assign(store, { latencyMs: () => COMMIT_MS });
  const changeAll = (): void => {
    for (let at = 0; at < 2 * CHANGES_EACH; at += 1) write(`k/${at}`, 'a');
  };
  for (let at = 0; at < 50; at += 1) {
    changeAll();
    await run(10);
  }
  write('k/last', 'b');
  journal.add({ key: 'k/first', overtakes: true, value: () => 'c' });
  for (let at = 0; at < 50; at += 1) {
    changeAll();
    await run(10);
  }
  t.is(data.items.get('k/last')?.value, 'b');
  t.is(data.items.get('k/first')?.value, 'c');
});
