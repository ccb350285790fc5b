/**
 * Tasks that crash their workers while the owner that started them is killed.
 */
import test from 'ava';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';

import {
  makeDividedSite,
  makeJob,
  makeOwnedSite,
  makeStep,
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

const behave = (taskId: string): TaskBehaviour => ({
  size: SIZE,
  durationMs: 1_000,
  crashes: taskId.startsWith(DEADLY),
});

const startsOf = (site: JobSite, taskId: string): number =>
  site.record.runs.filter((run) => run.taskId.startsWith(taskId)).length;

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
  { onStep, dataCentre }: KillOptions = {},
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
    await runFor(KILLED_AFTER_MS);
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
