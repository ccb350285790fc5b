/**
 * Long-running tasks that were interrupted wait for the worker that may still run them, and for no
 * other.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeJob, makeStep, type JobSite, type SiteEntry } from '../fixtures/jobSite.js';
import {
  countRunning,
  LASTING_JOB_ID as ID,
  LASTING_TASKS as TASKS,
  makeSiteWithLastingTasks,
} from '../fixtures/lastingTasks.js';
import type { StoreFault } from '../fixtures/memoryTransactionStore.js';

/**
 * Time after its last run within which a task that lasts has to run again, as the platform's pages
 * say, in milliseconds.
 */
const LASTING_BOUND_MS = 6_000;

const { progressPrefix: PROGRESS_PREFIX, journal: JOURNAL_KEY } = keysOfShare(WHOLE_SITE_SHARE_ID);

/** Returns the places of the tasks by their indexes, as stored. */
const placesIn = (site: JobSite): Readonly<Record<string, string>> => {
  const value = site.data.items.get(PROGRESS_PREFIX + ID)?.value ?? '{}';
  const { o: occurrences } = JSON.parse(value) as {
    readonly o?: readonly { readonly s: readonly { readonly p?: Record<string, string> }[] }[];
  };
  return occurrences?.[0]?.s[0]?.p ?? {};
};

const workerOf = (site: JobSite, id: string) => {
  const worker = site.workers.get(id);
  if (!worker) throw new Error(`no worker ${id}`);
  return worker;
};

/** Returns the ids of the workers with runs, and of those without. */
const splitWorkers = (site: JobSite): readonly [readonly string[], readonly string[]] => {
  const ids = [...site.workers.keys()];
  const hasRuns = (id: string): boolean => workerOf(site, id).activeRuns().length > 0;
  return [ids.filter(hasRuns), ids.filter((id) => !hasRuns(id))];
};

// Guards against tasks that last and wait for many seconds for a worker which never had them.
test('should start an interrupted task again although an idle worker of the former owner is silent', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks({ workers: TASKS + 1 });
  const [[busy = ''], [idle = '']] = splitWorkers(site);
  await site.run(2_000);
  site.entries.forEach(({ client }) => site.cutFromWorkers(client, [idle]));
  owner.kill();
  workerOf(site, busy).crash();
  await site.run(LASTING_BOUND_MS);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against places that are lost with an owner which is killed before it has taken over.
test('should start an interrupted task again although the next owner is killed early and an idle worker is silent', async (t) => {
  for (let delayMs = 0; delayMs < 120; delayMs += 12) {
    const { site, owner, successor } = await makeSiteWithLastingTasks({ workers: TASKS + 1 });
    site.start('c');
    const [[busy = ''], [idle = '']] = splitWorkers(site);
    await site.run(2_000);
    site.entries.forEach(({ client }) => site.cutFromWorkers(client, [idle]));
    owner.kill();
    while (successor.entry.status().terms.length === 0) await site.clock.advance(2);
    await site.clock.advance(delayMs);
    successor.kill();
    workerOf(site, busy).crash();
    await site.run(LASTING_BOUND_MS);
    t.is(countRunning(site), TASKS, `${delayMs} ms`);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
  }
});

/** Ways in which the term of an owner ends. */
const ENDS: readonly (readonly [
  string,
  (site: JobSite, owner: SiteEntry, away: string) => void,
])[] = [
  ['killed', (_site, owner) => owner.kill()],
  ['stopped', (_site, owner) => owner.stop()],
  [
    'cut off from the store',
    (_site, owner) => {
      Object.assign(owner.store, { isCutOff: true });
    },
  ],
  [
    'cut off with a worker that its successor does not reach',
    (site, owner, away) => {
      Object.assign(owner.store, { isCutOff: true });
      site.entries
        .filter((entry) => entry !== owner)
        .forEach(({ client }) => site.cutFromWorkers(client, [away]));
    },
  ],
];

/** Faults of the transactions that store progress while a task moves. */
const FAULTS: readonly (readonly StoreFault[])[] = [
  [],
  ['silent'],
  ['answer-lost'],
  ['late'],
  ['late', 'answer-lost', 'silent'],
];

/** Time in which a task leaves a worker that drains and runs again elsewhere, in milliseconds. */
const MOVE_MS = 700;

// Guards against a task that runs twice: its owner ends, by each way and at any time around the order to
// stop it, the store of its new place and the order to start it there; orders and writes get lost or late.
for (const [end, endTerm] of ENDS) {
  test(`should run a task once whose owner is ${end} while the task moves`, async (t) => {
    for (const [at, faults] of FAULTS.entries()) {
      for (let delayMs = 7 * at; delayMs < MOVE_MS; delayMs += 35) {
        const { site, owner } = await makeSiteWithLastingTasks({ workers: TASKS + 2 });
        const [[busy = ''], [idle = '', free = '']] = splitWorkers(site);
        await site.run(1_500);
        owner.store.failCommitsUnder(PROGRESS_PREFIX, ...faults);
        if (at % 2 === 0) workerOf(site, free).failStarts('late');
        site.registerWorker(idle, { phase: 'draining' });
        site.registerWorker(busy, { phase: 'draining' });
        await site.clock.advance(delayMs);
        endTerm(site, owner, free);
        await site.run(5_000);
        site.healWorkers();
        await site.run(18_000);
        t.deepEqual(site.record.violations, [], `${delayMs} ms, ${faults.join(' ')}`);
        t.is(countRunning(site), TASKS, `${delayMs} ms, ${faults.join(' ')}`);
      }
    }
  });
}

// Guards against a task that runs twice because its place in the store is an old one.
test('should not start a task elsewhere before its new place is stored', async (t) => {
  for (const fault of ['silent', 'late', 'answer-lost'] as const) {
    const { site, owner } = await makeSiteWithLastingTasks({ workers: TASKS + 1 });
    const [[busy = '']] = splitWorkers(site);
    await site.run(1_500);
    const [taskId = ''] = workerOf(site, busy)
      .activeRuns()
      .map((run) => run.taskId);
    owner.store.failCommitsUnder(PROGRESS_PREFIX, ...Array.from({ length: 4 }, () => fault));
    site.registerWorker(busy, { phase: 'draining' });
    for (let at = 0; at < 400; at += 1) {
      await site.clock.advance(25);
      const run = site.record.runsOf(taskId).find(({ endedMs }) => endedMs === undefined);
      if (run) t.is(placesIn(site)[Number(taskId.split('.')[3])], run.workerId);
    }
    t.is(countRunning(site), TASKS);
  }
});

// Guards against places of an owner that owned before one of an older version, which starts tasks
// elsewhere and leaves their places as they are.
test('should go by no place that is older than an owner of a version without places', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks({ workers: TASKS + 1 });
  const [[busy = ''], [idle = '']] = splitWorkers(site);
  await site.run(2_000);
  site.entries.forEach(({ client }) => site.cutFromWorkers(client, [idle]));
  owner.kill();
  site.data.put(JOURNAL_KEY, 'former 1');
  workerOf(site, busy).crash();
  await site.run(LASTING_BOUND_MS);
  t.is(countRunning(site), TASKS - 1);
  await site.run(LASTING_BOUND_MS + 3_000);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against load on the store: places repeated with each report, or kept for tasks that do not last.
test('should write the progress of a job once for the places of its tasks', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks({ workers: TASKS + 1 });
  const countWrites = (): number =>
    site.data.changes.filter(({ key }) => key.startsWith(PROGRESS_PREFIX)).length;
  await site.run(10_000);
  t.is(countWrites(), 1);
  const [[busy = '']] = splitWorkers(site);
  site.registerWorker(busy, { phase: 'draining' });
  await site.run(2_000);
  t.is(countWrites(), 2);
  owner.stop();
  await site.run(10_000);
  t.is(countWrites(), 2);
  const job = makeJob(makeStep({ count: 8 }));
  const id = '00000000000000b2';
  await site.submit(successor, id, job);
  await site.run(5_000);
  t.false(
    site.data.changes.some(
      ({ key, value }) => key === PROGRESS_PREFIX + id && value?.includes('"p"'),
    ),
  );
});

// Guards against a line that does not say which worker a task waits for.
test('should tell for which worker an interrupted task waits', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks();
  const [[busy = '']] = splitWorkers(site);
  await site.run(2_000);
  site.entries.forEach(({ client }) => site.cutFromWorkers(client, [busy]));
  owner.kill();
  await site.run(5_000);
  const explained = successor.entry.explain(ID);
  t.deepEqual(
    explained?.steps.map(({ waitsFor }) => waitsFor),
    [`worker ${busy} of a former owner to be accounted for`],
  );
});

// Guards against a task that waits for room when its owner ends, and then waits for the worker that it has
// left as well.
test('should not wait for the worker of a run whose end the former owner has noted', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks({ milliCores: 1_000 });
  const [[busy = '']] = splitWorkers(site);
  await site.run(1_500);
  site.registerWorker(busy, { phase: 'draining' });
  await site.run(1_000);
  t.is(countRunning(site), TASKS - 1);
  site.entries.forEach(({ client }) => site.cutFromWorkers(client, [busy]));
  site.addWorker('w9');
  owner.kill();
  await site.run(LASTING_BOUND_MS);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});
