/**
 * Owners that end one after the other while a worker leaves and its long-running tasks move.
 *
 * `ALL_CHAINS=1` plays all chains instead of a sample.
 */
import test, { type ExecutionContext } from 'ava';

import { makeJob, makeStep, runUntil, type JobSite, type SiteEntry } from '../fixtures/jobSite.js';
import { countRunning, LASTING_TASKS, makeSiteWithLastingTasks } from '../fixtures/lastingTasks.js';
import type { RecordedRun } from '../fixtures/memoryTaskWorker.js';

/** Time in which a task whose run was stopped runs again if all that happens is planned, in milliseconds. */
const PLANNED_MS = 6_000;

/** Time from the end of any run from which its task counts as lost unless it runs again, in milliseconds. */
const LOST_MS = 9_000;

/** Time that has to be calm until a task counts as lost, in milliseconds. */
const CALM_MS = 7_000;

/** Time that a worker announces until it leaves, in milliseconds. */
const REMAINING_MS = 6_000;

/** Time until a stopped run ends, in milliseconds. */
const STOP_MS = 400;

/** Time for which a site runs on to find tasks that are late or run twice, in milliseconds. */
const AFTERMATH_MS = 20_000;

/** Longest time until a successor is elected, in milliseconds. */
const ELECTION_MS = 3_500;

const SECOND_JOB_ID = '00000000000000a2';

const TASKS = 2 * LASTING_TASKS;

/** Ways in which an owner ends. */
const ENDS = ['stopped', 'killed'] as const;

type End = (typeof ENDS)[number];

/** Times of the end of the first owner after the order of the first stop, in milliseconds. */
const LATER_MS = [0, 26, 120, 390, 420, 600, 1_000];

/** The same before the order: the owner has hardly seen that the worker leaves. */
const EARLIER_MS = [-120, -20];

/** Times after that at which the worker is gone, in milliseconds; it stays as announced beyond them. */
const GONE_AFTER_MS = [0, 60, 150, 300, 600, 1_000, 1_500, 2_000, 10_000];

/** Times after the end of an owner at which its successor ends if it is elected by then, in milliseconds. */
const GAPS_MS = [300, 2_000];

/** Ways in which one or two owners end. */
const SERIES: readonly (readonly End[])[] = [
  ...ENDS.map((how) => [how]),
  ...ENDS.flatMap((first) => ENDS.map((second) => [first, second])),
];

interface Chain {
  readonly endOffsetMs: number;
  readonly goneAfterMs: number;
  readonly ends: readonly End[];
  readonly gapMs: number;
}

const nameOf = ({ ends, gapMs, endOffsetMs, goneAfterMs }: Chain): string =>
  `${ends.join(` + ${gapMs} ms `)} at ${endOffsetMs} ms, gone after ${goneAfterMs} ms`;

/** Makes a site on each of whose workers two tasks of different jobs last. */
const makeRelease = async (): Promise<JobSite> => {
  const { site, owner } = await makeSiteWithLastingTasks({ stopMs: STOP_MS, milliCores: 8_000 });
  site.start('c');
  const step = makeStep({ count: LASTING_TASKS, longRunning: true });
  await site.submit(owner, SECOND_JOB_ID, makeJob(step));
  await site.run(1_000);
  return site;
};

const announce = (site: JobSite, id = 'w0'): void =>
  site.registerWorker(id, { phase: 'draining', remainingMs: REMAINING_MS });

/** Measures the time from the announcement to the order of the first stop, in milliseconds. */
const measureOrder = async (): Promise<number> => {
  const site = await makeRelease();
  announce(site);
  const fromMs = site.clock.monotonicMs();
  await runUntil(site, () => (site.workers.get('w0')?.stopOrders ?? 0) > 0);
  return site.clock.monotonicMs() - fromMs;
};

/** Ends the owners of a chain; returns when the last of them was killed, as monotonic time in milliseconds. */
const endOwners = async (site: JobSite, { ends, gapMs }: Chain): Promise<number> => {
  const ended = new Set<SiteEntry>();
  let killedMs = Number.NEGATIVE_INFINITY;
  for (const [at, how] of ends.entries()) {
    if (at > 0) await site.clock.sleep(gapMs);
    const untilMs = site.clock.monotonicMs() + ELECTION_MS;
    const findOwner = (): SiteEntry | undefined =>
      site.entries.find((each) => !ended.has(each) && each.entry.status().terms.length > 0);
    while (!findOwner() && site.clock.monotonicMs() < untilMs) await site.clock.sleep(10);
    const owner = findOwner();
    if (!owner) return killedMs;
    ended.add(owner);
    if (how === 'stopped') {
      owner.stop();
    } else {
      owner.kill();
      killedMs = site.clock.monotonicMs();
    }
  }
  return killedMs;
};

/** Returns by when the task of a run that has ended has to run again, as monotonic time in milliseconds. */
const dueMs = ({ kind, endedMs = Infinity }: RecordedRun, killedMs: number): number => {
  const isPlanned = kind === 'stopped' && killedMs === Number.NEGATIVE_INFINITY;
  return isPlanned ? endedMs + PLANNED_MS : Math.max(endedMs + LOST_MS, killedMs + CALM_MS);
};

/** Lists the runs after which their tasks are late. */
const lateRuns = ({ record: { runs }, clock }: JobSite, killedMs: number): readonly string[] =>
  runs.flatMap((run) => {
    const next = runs.find(
      ({ taskId, startedMs }) => taskId === run.taskId && startedMs > run.startedMs,
    );
    const backMs = next?.startedMs ?? clock.monotonicMs();
    const { endedMs = backMs, kind } = run;
    if (backMs <= dueMs(run, killedMs)) return [];
    return [`${run.taskId}, ${kind}, is away for ${Math.round(backMs - endedMs)} ms`];
  });

/** Returns for how long a task was away, in milliseconds. */
const longestAwayMs = ({ record: { runs } }: JobSite): number =>
  Math.max(
    0,
    ...runs.map((run) => {
      const next = runs.find(
        ({ taskId, startedMs }) => taskId === run.taskId && startedMs > run.startedMs,
      );
      return next && run.endedMs !== undefined ? next.startedMs - run.endedMs : 0;
    }),
  );

/** Plays a chain; returns what is wrong, and the longest time for which a task was away, in milliseconds. */
const playChain = async (chain: Chain, orderAfterMs: number) => {
  const site = await makeRelease();
  const { clock } = site;
  announce(site);
  const firstEndMs = Math.max(0, orderAfterMs + chain.endOffsetMs);
  let killedMs = Number.NEGATIVE_INFINITY;
  const ending = clock
    .sleep(firstEndMs)
    .then(() => endOwners(site, chain))
    .then((atMs) => {
      killedMs = atMs;
    });
  const leaving = clock
    .sleep(Math.min(firstEndMs + chain.goneAfterMs, REMAINING_MS))
    .then(() => site.loseWorker('w0'));
  await site.run(AFTERMATH_MS);
  await Promise.all([ending, leaving]);
  const missing = TASKS - countRunning(site);
  const faults = [
    ...site.record.violations,
    ...(missing > 0 ? [`${missing} do not run`] : []),
    ...lateRuns(site, killedMs),
  ];
  return {
    awayMs: longestAwayMs(site),
    faults: faults.map((fault) => `${nameOf(chain)}: ${fault}`),
  };
};

const chainsOf = (series: readonly End[], offsetsMs: readonly number[]): readonly Chain[] =>
  offsetsMs.flatMap((endOffsetMs) =>
    GONE_AFTER_MS.flatMap((goneAfterMs) =>
      (series.length > 1 ? GAPS_MS : [0]).map((gapMs) => ({
        endOffsetMs,
        goneAfterMs,
        ends: series,
        gapMs,
      })),
    ),
  );

/** Every how many chains one is played; a prime, so that each test has other times. */
const STEP = process.env['ALL_CHAINS'] === undefined ? 7 : 1;

/** Plays chains, and checks that each task ran again in time and never twice. */
const playChains = async (t: ExecutionContext, chains: readonly Chain[]): Promise<void> => {
  const orderAfterMs = await measureOrder();
  const faults: string[] = [];
  let longestMs = 0;
  for (const chain of chains) {
    const outcome = await playChain(chain, orderAfterMs);
    faults.push(...outcome.faults);
    longestMs = Math.max(longestMs, outcome.awayMs);
  }
  t.log(`${chains.length} chains, tasks away for ${Math.round(longestMs)} ms at most`);
  t.deepEqual(faults, []);
};

// Guards against tasks that wait for the longest lease since their run was stopped for a move as its owner ended.
SERIES.forEach((series, first) => {
  test(`should run moved tasks again in time after owners that are ${series.join(', then ')}`, async (t) => {
    const chains = chainsOf(series, LATER_MS);
    await playChains(
      t,
      chains.filter((_, at) => at % STEP === first % STEP),
    );
  });
});

// Guards against the same where the owner had no time to store that the worker leaves.
test('should run tasks again in time whose worker is gone as its owner is stopped', async (t) => {
  const planned = SERIES.filter((series) => series.every((how) => how === 'stopped'));
  await playChains(
    t,
    planned.flatMap((series) => chainsOf(series, EARLIER_MS)),
  );
});

// Guards against the same where the owner is killed, or its successor is.
test('should run tasks again in time whose worker is gone as its owner is killed', async (t) => {
  const chains = SERIES.filter((series) => series.includes('killed')).flatMap((series) =>
    chainsOf(series, EARLIER_MS),
  );
  await playChains(
    t,
    chains.filter((_, at) => at % STEP === 0),
  );
});

// Guards against moved tasks that wait for another worker, which left as announced before a successor reached it.
test('should not wait with a moved task for another worker that leaves as its owner is stopped', async (t) => {
  for (const endAfterMs of [0, 200, 390, 420]) {
    const site = await makeRelease();
    const [owner] = site.entries;
    announce(site, 'w1');
    await site.run(REMAINING_MS - 1_000);
    const ordersBefore = site.workers.get('w0')?.stopOrders ?? 0;
    announce(site);
    await runUntil(site, () => (site.workers.get('w0')?.stopOrders ?? 0) > ordersBefore);
    await site.clock.advance(endAfterMs);
    owner?.stop();
    await site.clock.advance(60);
    site.loseWorker('w1');
    await site.run(AFTERMATH_MS);
    const late = lateRuns(site, Number.NEGATIVE_INFINITY);
    t.deepEqual([...late, ...site.record.violations], [], `${endAfterMs} ms`);
    t.is(countRunning(site), TASKS);
  }
});
