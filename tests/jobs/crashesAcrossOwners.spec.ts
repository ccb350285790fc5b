/**
 * Tasks that crash their workers while the owner that started them is killed.
 */
import test from 'ava';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import {
  decodeWatchedRuns,
  NO_WATCHED_RUNS,
  type WatchedRunRecord,
} from 'samphirenotch/jobs/model/watchedRuns.js';

import {
  makeDividedSite,
  makeJob,
  makeOwnedSite,
  makeStep,
  ownerOf,
  JobSite,
  type JobSiteOptions,
  type SiteEntry,
} from '../fixtures/jobSite.js';
import type { TaskBehaviour } from '../fixtures/memoryTaskWorker.js';

const DEADLY = '00000000000000d1';
const OTHER = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Starts of a task that crashes each worker, at most: after the third crash two are allowed. */
const MAXIMUM_STARTS = 5;

/** Time from a start to the kill of the owner, in milliseconds; the crashed worker is still down. */
const KILLED_AFTER_MS = 800;

/** Writes for some 80 runs that are started together and watched, at most. */
const MAXIMUM_WRITES = 10;

const behave = (taskId: string): TaskBehaviour => ({
  size: SIZE,
  durationMs: 1_000,
  crashes: taskId.startsWith(DEADLY),
});

const startsOf = (site: JobSite, taskId: string): number =>
  site.record.runs.filter((run) => run.taskId.startsWith(taskId)).length;

const WATCHED_KEY = keysOfShare(WHOLE_SITE_SHARE_ID).watchedRuns;

/** Returns what the owner has stored about runs that may crash their workers. */
const watchedRunsOf = (site: JobSite): WatchedRunRecord => {
  const item = site.data.items.get(WATCHED_KEY);
  return item ? decodeWatchedRuns(item.value) : NO_WATCHED_RUNS;
};

/** Counts how often the owner has stored that. */
const watchedWrites = (site: JobSite): number =>
  site.data.changes.filter(({ key }) => key === WATCHED_KEY).length;

const progressOf = (site: JobSite, jobId: string): string =>
  site.data.items.get(keysOfShare(WHOLE_SITE_SHARE_ID).progressPrefix + jobId)?.value ?? '';

/** Runs the site for up to a minute, until a condition is met. */
const runUntil = async (site: JobSite, isMet: () => boolean): Promise<void> => {
  for (let at = 0; at < 1_200 && !isMet(); at += 1) await site.run(50);
};

interface KillOptions {
  /** Called after each step of the clock. */
  readonly onStep?: () => void;
  /** Data centre of the successors. */
  readonly dataCentre?: string;
  /** Time from a start to the kill, in milliseconds. */
  readonly killedAfterMs?: number;
}

/**
 * Kills the owner after each of some starts of a task, while the worker is down that it has crashed.
 * Returns the entry that is left.
 */
const killOwnersAfter = async (
  site: JobSite,
  taskId: string,
  owner: SiteEntry,
  starts: readonly number[],
  { onStep, dataCentre, killedAfterMs = KILLED_AFTER_MS }: KillOptions = {},
): Promise<SiteEntry> => {
  const runFor = async (durationMs: number): Promise<void> => {
    for (let at = 0; at < durationMs; at += 50) {
      await site.run(50);
      onStep?.();
    }
  };
  let current = owner;
  for (const count of starts) {
    await runUntil(site, () => {
      onStep?.();
      return startsOf(site, taskId) >= count;
    });
    // A second entry that waits could be elected before, and the wrong one be killed.
    const successor = site.start(`successor${count}`, false, 1, dataCentre);
    await runFor(killedAfterMs);
    current.kill();
    current = successor;
  }
  await runFor(40_000);
  return current;
};

const makeSite = (options: JobSiteOptions = {}) =>
  makeOwnedSite({ workers: 6, behave, ...options });

// Guards against crashes that nobody counts because the owner is killed before it hears of them.
test('should give up a task whose crashes are seen by no owner that started it', async (t) => {
  const { site, owner } = await makeSite({ replacesCrashed: true });
  await site.submit(owner, DEADLY, makeJob(makeStep()));
  const last = await killOwnersAfter(site, DEADLY, owner, [1, 2, 3]);
  t.is(await site.state(last, DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS, `${startsOf(site, DEADLY)} starts`);
  t.deepEqual(site.record.violations, []);
});

// Guards against the same with workers that are back under their ids when the successor asks them.
test('should count crashes of workers that are back under their ids at a takeover', async (t) => {
  const { site, owner } = await makeSite();
  await site.submit(owner, DEADLY, makeJob(makeStep({ longRunning: true })));
  const last = await killOwnersAfter(site, DEADLY, owner, [1, 2, 3]);
  t.is(await site.state(last, DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS, `${startsOf(site, DEADLY)} starts`);
  t.deepEqual(site.record.violations, []);
});

// Guards against trials of a suspected task that are lost with the owner.
test('should count the crashes of trials whose owner is killed', async (t) => {
  const { site, owner } = await makeSite({ replacesCrashed: true });
  await site.submit(owner, DEADLY, makeJob(makeStep()));
  const last = await killOwnersAfter(site, DEADLY, owner, [3, 4, 5]);
  t.is(await site.state(last, DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS, `${startsOf(site, DEADLY)} starts`);
});

/** Makes a site with a task that crashes the first two workers, and waits until it is tried on a third. */
const makeSiteWithTrial = async () => {
  const site: JobSite = new JobSite({
    workers: 6,
    behave: (taskId) => ({
      ...behave(taskId),
      durationMs: 8_000,
      crashes: site.record.runsOf(taskId).length < 2,
    }),
  });
  const owner = site.start('a');
  await site.run(500);
  await site.submit(owner, DEADLY, makeJob(makeStep()));
  await runUntil(site, () => startsOf(site, DEADLY) === 3);
  const successor = site.start('b');
  await site.run(KILLED_AFTER_MS);
  const { workerId = '' } = site.record.runs.at(-1) ?? {};
  return { site, owner, successor, workerId };
};

// Guards against a task that is given up because its owner was lost while it was tried.
test('should hold nothing against a suspect that runs on when its owner is killed', async (t) => {
  const { site, owner, successor } = await makeSiteWithTrial();
  owner.kill();
  await site.run(20_000);
  t.is(await site.state(successor, DEADLY), 'completed');
  t.is(startsOf(site, DEADLY), 3);
});

// Guards against the same by a worker that is lost with the owner for another reason.
test('should hold nothing against a suspect whose worker is not reached any more', async (t) => {
  const { site, owner, successor, workerId } = await makeSiteWithTrial();
  site.cutFromWorkers(successor.client, [workerId]);
  site.data.remove(`workers/${workerId}`);
  owner.kill();
  await site.run(40_000);
  t.is(await site.state(successor, DEADLY), 'completed');
  t.is(startsOf(site, DEADLY), 4);
});

// Guards against the same by a worker that leaves as it had announced.
test('should hold nothing against a suspect whose worker drained and left with its owner', async (t) => {
  const { site, owner, successor, workerId } = await makeSiteWithTrial();
  site.registerWorker(workerId, { phase: 'draining', remainingMs: 1_000 });
  await site.run(1_000);
  owner.kill();
  site.workers.get(workerId)?.crash();
  await site.run(40_000);
  t.is(await site.state(successor, DEADLY), 'completed');
  t.is(startsOf(site, DEADLY), 4);
});

// Guards against the same by a trial that had ended before its worker started again.
test('should hold nothing against a suspect that was stopped before its worker crashed', async (t) => {
  const { site, owner, successor, workerId } = await makeSiteWithTrial();
  // It is no candidate for the next trial.
  site.registerWorker(workerId, { service: 'other' });
  await site.run(500);
  site.workers.get(workerId)?.endRuns(DEADLY, 'stopped');
  await runUntil(site, () => startsOf(site, DEADLY) === 4);
  t.not(site.record.runs.at(-1)?.workerId, workerId);
  await site.run(500);
  site.workers.get(workerId)?.crash();
  owner.kill();
  await site.run(40_000);
  t.is(await site.state(successor, DEADLY), 'completed');
  t.is(startsOf(site, DEADLY), 4);
});

// Guards against a gang whose crashing member is started again by each new owner.
test('should give up a gang whose crashes are seen by no owner that started it', async (t) => {
  const member = `${DEADLY}.0.0.1`;
  const { site, owner } = await makeSite({
    milliCores: 1_000,
    behave: (taskId) => ({ ...behave(taskId), durationMs: 60_000, crashes: taskId === member }),
  });
  await site.submit(owner, DEADLY, makeJob(makeStep({ count: 3, gang: true })));
  const last = await killOwnersAfter(site, member, owner, [1, 2, 3], {
    onStep: () => {
      const isBroken = site.record.runsOf(member).at(-1)?.kind === 'lost';
      if (isBroken) site.workers.forEach((worker) => worker.endRuns(DEADLY, 'gang-broken'));
    },
  });
  t.is(await site.state(last, DEADLY), 'failed');
  t.true(startsOf(site, member) <= MAXIMUM_STARTS, `${startsOf(site, member)} starts`);
});

// Guards against tasks of another share whose crashes are lost with the owner that took them.
test('should give up a guest whose crashes are seen by no owner that started it', async (t) => {
  const { site, owners } = await makeDividedSite({
    workers: 8,
    behave: (taskId) => ({
      ...behave(taskId),
      durationMs: taskId.startsWith('00000000000000f') ? 300_000 : 1_000,
    }),
  });
  // The first job fills the home.
  site.putJobs(['00000000000000f1'], makeJob(makeStep({ count: 16, longRunning: true })), 'dc0');
  await site.run(600);
  site.putJobs([DEADLY], makeJob(makeStep()), 'dc0');
  await killOwnersAfter(site, DEADLY, owners[1], [1, 2, 3], { dataCentre: 'dc1' });
  t.is(await site.state(owners[0], DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS, `${startsOf(site, DEADLY)} starts`);
});

// Guards against crashes that are held against tasks which had nothing to do with them.
test('should hold nothing against tasks whose workers outlive their owner', async (t) => {
  const { site, owner } = await makeSite({
    behave: (taskId) => ({ ...behave(taskId), durationMs: 20_000 }),
  });
  const successor = site.start('b');
  await site.submit(owner, OTHER, makeJob(makeStep({ count: 4 })));
  await site.run(1_000);
  owner.kill();
  await site.run(10_000);
  site.workers.forEach((worker) => worker.crash());
  await site.run(2_500);
  site.start('c');
  successor.kill();
  await site.run(10_000);
  t.false(progressOf(site, OTHER).includes('"c"'), progressOf(site, OTHER));
});

// Guards against runs that are held against their tasks because their workers left as announced.
test('should hold nothing against tasks whose workers drained and left with their owner', async (t) => {
  const { site, owner } = await makeSite({
    workers: 3,
    behave: (taskId) => ({ ...behave(taskId), durationMs: 4_000 }),
  });
  site.start('b');
  await site.submit(owner, OTHER, makeJob(makeStep()));
  await runUntil(site, () => startsOf(site, OTHER) > 0);
  const { workerId = '' } = site.record.runs[0] ?? {};
  site.registerWorker(workerId, { phase: 'draining', remainingMs: 1_000 });
  await site.run(1_000);
  site.workers.get(workerId)?.crash();
  await site.run(200);
  owner.kill();
  await site.run(8_000);
  t.false(progressOf(site, OTHER).includes('"c"'), progressOf(site, OTHER));
});

/** Registers all workers for a service. */
const assignAll = (site: JobSite, service: string): void =>
  site.workers.forEach(({ id }) => site.registerWorker(id, { service }));

/** Makes a site whose owner is killed after the first start of a task, while the worker is down. */
const makeSiteWithCrash = async (options: JobSiteOptions = {}) => {
  const { site, owner } = await makeSite(options);
  await site.submit(owner, DEADLY, makeJob(makeStep()));
  await runUntil(site, () => startsOf(site, DEADLY) === 1);
  const { workerId = '' } = site.record.runs[0] ?? {};
  const successor = site.start('successor1');
  await site.run(KILLED_AFTER_MS);
  owner.kill();
  return { site, successor, workerId };
};

// Guards against a crash that the next owner learns of and that is forgotten with it.
test('should not forget a crash with an owner that could not start the task again', async (t) => {
  const { site, successor } = await makeSiteWithCrash();
  assignAll(site, 'other');
  await runUntil(site, () => watchedRunsOf(site).doubt !== undefined);
  t.is(startsOf(site, DEADLY), 1);
  const next = site.start('next');
  await site.run(500);
  successor.kill();
  await runUntil(site, () => ownerOf(site) === 'next');
  await site.run(3_000);
  assignAll(site, 'desk');
  const last = await killOwnersAfter(site, DEADLY, next, [2, 3]);
  t.is(await site.state(last, DEADLY), 'failed');
  t.is(startsOf(site, DEADLY), 4);
});

// Guards against the same with an owner that is killed before it has reached the crashed worker.
test('should not forget a crash with an owner that did not reach the worker', async (t) => {
  const { site, successor, workerId } = await makeSiteWithCrash();
  site.cutFromWorkers(successor.client, [workerId]);
  await runUntil(site, () => ownerOf(site) === 'successor1');
  const next = site.start('next');
  await site.run(1_500);
  t.is(startsOf(site, DEADLY), 1);
  successor.kill();
  await runUntil(site, () => ownerOf(site) === 'next');
  const last = await killOwnersAfter(site, DEADLY, next, [2, 3]);
  t.is(await site.state(last, DEADLY), 'failed');
  t.is(startsOf(site, DEADLY), 4);
});

// Guards against a crash that nobody counts because the worker does not come back.
test('should watch the next run of a task whose worker is not back at a takeover', async (t) => {
  const { site, successor, workerId } = await makeSiteWithCrash();
  site.cutFromWorkers(successor.client, [workerId]);
  site.data.remove(`workers/${workerId}`);
  const last = await killOwnersAfter(site, DEADLY, successor, [2, 3]);
  t.is(await site.state(last, DEADLY), 'failed');
  t.is(startsOf(site, DEADLY), 4);
});

/** Makes a site whose owner is killed while a worker is down under a task that is not the cause. */
const makeSiteWithInnocentTask = async () => {
  const { site, owner } = await makeSite({
    behave: (taskId) => ({ ...behave(taskId), durationMs: 8_000 }),
  });
  const successor = site.start('b');
  await site.submit(owner, OTHER, makeJob(makeStep()));
  await runUntil(site, () => startsOf(site, OTHER) === 1);
  site.workers.get(site.record.runs[0]?.workerId ?? '')?.crash();
  await site.run(KILLED_AFTER_MS);
  owner.kill();
  await runUntil(site, () => startsOf(site, OTHER) === 2);
  return { site, successor };
};

// Guards against runs that stay stored, and count when their workers crash much later.
test('should no longer watch a run that crashes nothing', async (t) => {
  const { site, successor } = await makeSiteWithInnocentTask();
  await site.run(500);
  t.is(watchedRunsOf(site).runs.length, 1);
  await site.run(5_000);
  t.is(watchedRunsOf(site).runs.length, 0);
  await site.run(6_000);
  t.is(await site.state(successor, OTHER), 'completed');
  t.is(startsOf(site, OTHER), 2);
});

// Guards against the cost of storing runs of which no owner has reason to think that they crash workers.
test('should store no runs after a takeover from an owner that saw all crashes', async (t) => {
  const { site, owner } = await makeSite({
    behave: (id) => ({ ...behave(id), durationMs: 2_000 }),
  });
  const successor = site.start('b');
  site.workers.get('w0')?.crash();
  await site.run(4_000);
  await site.submit(owner, OTHER, makeJob(makeStep({ count: 12 })));
  await runUntil(site, () => startsOf(site, OTHER) > 0);
  owner.kill();
  await site.run(20_000);
  t.is(await site.state(successor, OTHER), 'completed');
  t.is(watchedWrites(site), 0);
});

// Guards against a write for each start, and for each end, of a task that is watched.
test('should store many runs that may crash their workers with few writes', async (t) => {
  const { site, owner } = await makeSite({
    behave: (id) => ({ ...behave(id), durationMs: 1_000 }),
  });
  const successor = site.start('b');
  const ids = Array.from({ length: 40 }, (_, index) => `00000000000001${index + 10}`);
  site.putJobs(ids, makeJob(makeStep({ count: 2 })));
  await runUntil(site, () => site.record.runs.length > 0);
  site.workers.get('w0')?.crash();
  await site.run(200);
  owner.kill();
  await site.run(30_000);
  t.is(await site.state(successor, ids.at(-1) ?? ''), 'completed');
  t.true(site.record.runs.length >= 80);
  t.true(watchedWrites(site) <= MAXIMUM_WRITES, `${watchedWrites(site)} writes`);
});

// Guards against runs that are stored so late that an owner killed soon after the start leaves none.
test('should count crashes whose owners are killed soon after the start', async (t) => {
  const { site, owner } = await makeSite({ replacesCrashed: true });
  await site.submit(owner, DEADLY, makeJob(makeStep()));
  const killedAfterMs = 100;
  const last = await killOwnersAfter(site, DEADLY, owner, [1, 2, 3, 4, 5], { killedAfterMs });
  t.is(await site.state(last, DEADLY), 'failed');
  t.is(startsOf(site, DEADLY), 4);
});
