/**
 * Tasks that crash the workers that start them, and tasks beside which workers crash.
 */
import test from 'ava';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';

import {
  makeDividedSite,
  makeJob,
  makeOwnedSite,
  makeStep,
  type JobSite,
} from '../fixtures/jobSite.js';
import type { TaskBehaviour } from '../fixtures/memoryTaskWorker.js';

const DEADLY = '00000000000000d1';
const OTHER = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Starts of a task that crashes each worker, at most: one more than the crashes that prove it. */
const MAXIMUM_STARTS = 4;

/** Behaviour of tasks of which those of the deadly job crash their workers. */
const behaveFor =
  (durationMs: number) =>
  (taskId: string): TaskBehaviour => ({
    size: SIZE,
    durationMs,
    crashes: taskId.startsWith(DEADLY),
  });

const startsOf = (site: JobSite, jobId: string): number =>
  site.record.runs.filter(({ taskId }) => taskId.startsWith(jobId)).length;

const progressOf = (site: JobSite, jobId: string): string =>
  site.data.items.get(keysOfShare(WHOLE_SITE_SHARE_ID).progressPrefix + jobId)?.value ?? '';

// Guards against a task that crashes one worker after another for as long as its job is open.
test('should give up a task that crashes each worker that starts it', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 4,
    behave: behaveFor(1_000),
    replacesCrashed: true,
  });
  await site.submit(owner, DEADLY, makeJob(makeStep()));
  await site.run(30_000);
  t.is(await site.state(owner, DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS, `${startsOf(site, DEADLY)} starts`);
  t.deepEqual(site.record.violations, []);
});

// Guards against crashes that are not noticed because the worker is back under its id.
test('should give up a task whose crashed workers come back under their ids', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 4, behave: behaveFor(1_000) });
  await site.submit(owner, DEADLY, makeJob(makeStep()));
  await site.run(30_000);
  t.is(await site.state(owner, DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS, `${startsOf(site, DEADLY)} starts`);
  t.deepEqual(site.record.violations, []);
});

// Guards against a job that is given up because its tasks ran beside a task that crashes workers.
test('should complete the jobs that run beside a task that crashes workers', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 3,
    milliCores: 8_000,
    behave: behaveFor(1_500),
    replacesCrashed: true,
  });
  await site.submit(owner, DEADLY, makeJob(makeStep({ count: 2 })));
  const others = Array.from({ length: 12 }, (_, at) => `0000000000000b${at + 10}`);
  for (const id of others) await site.submit(owner, id, makeJob(makeStep({ count: 3 })));
  await site.run(40_000);
  t.is(await site.state(owner, DEADLY), 'failed');
  for (const id of others) t.is(await site.state(owner, id), 'completed', id);
  t.deepEqual(site.record.violations, []);
});

// Guards against a task that runs for a long time and is given up since machines crash now and then.
test('should not give up a task that lasts and had run for long before each crash', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 2,
    behave: behaveFor(Number.POSITIVE_INFINITY),
  });
  await site.submit(owner, OTHER, makeJob(makeStep({ longRunning: true })));
  for (let crash = 0; crash < 6; crash += 1) {
    await site.run(8_000);
    site.workers.forEach((worker) => {
      if (worker.activeRuns().length > 0) worker.crash();
    });
  }
  await site.run(6_000);
  t.is(await site.state(owner, OTHER), 'running');
  t.is(startsOf(site, OTHER), 7);
  t.deepEqual(site.record.violations, []);
});

// Guards against a task that lasts, crashes each worker and is started for ever, since its failures
// have no limit.
test('should give up a task that lasts and crashes each worker', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 4,
    behave: behaveFor(Number.POSITIVE_INFINITY),
  });
  await site.submit(owner, DEADLY, makeJob(makeStep({ longRunning: true })));
  await site.run(30_000);
  t.is(await site.state(owner, DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS, `${startsOf(site, DEADLY)} starts`);
});

// Guards against a filler that crashes workers and keeps doing so as it waits for spare processors.
test('should give up a filler that crashes each worker', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 4, behave: behaveFor(1_000) });
  await site.submit(owner, DEADLY, makeJob(makeStep({ filler: true })));
  await site.run(30_000);
  t.is(await site.state(owner, DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS, `${startsOf(site, DEADLY)} starts`);
});

// Guards against a scheduled job whose occurrences crash workers one after the other.
test('should give up a repeated job with an occurrence that crashes each worker', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 4,
    behave: (taskId) => ({ ...behaveFor(500)(taskId), crashes: taskId.startsWith(`${DEADLY}.1.`) }),
  });
  const startAtMs = site.clock.wallMs() + 500;
  await site.submit(owner, DEADLY, {
    ...makeJob(makeStep()),
    repeatCount: 2,
    startAtMs,
    intervalMs: 1_000,
  });
  await site.run(30_000);
  t.is(await site.state(owner, DEADLY), 'failed');
  const starts = startsOf(site, `${DEADLY}.1.`);
  t.true(starts <= MAXIMUM_STARTS, `${starts} starts`);
});

// Guards against members of a gang that are blamed for the crash of a worker that ran another member.
test('should hold the crash of a worker only against the members of a gang that it ran', async (t) => {
  const member = `${DEADLY}.0.0.1`;
  const { site, owner } = await makeOwnedSite({
    workers: 6,
    milliCores: 1_000,
    behave: (taskId) => ({ ...behaveFor(60_000)(taskId), crashes: taskId === member }),
  });
  await site.submit(owner, DEADLY, makeJob(makeStep({ count: 3, gang: true })));
  const stored = new Set<string>();
  for (let at = 0; at < 600; at += 1) {
    await site.run(50);
    const isBroken = site.record.runsOf(member).at(-1)?.kind === 'lost';
    if (isBroken) site.workers.forEach((worker) => worker.endRuns(DEADLY, 'gang-broken'));
    stored.add(/"c":\{.*?\}/u.exec(progressOf(site, DEADLY))?.[0] ?? '');
  }
  t.is(await site.state(owner, DEADLY), 'failed');
  t.true(site.record.runsOf(member).length <= MAXIMUM_STARTS);
  t.true(
    stored.has(
      '"c":{"1":[1,2]}'.replace(
        '1,2',
        site.record
          .runsOf(member)
          .slice(0, 2)
          .map(({ run }) => run)
          .join(','),
      ),
    ),
  );
  t.true(
    [...stored].every((crashes) => !/"(?:0|2)":/u.test(crashes)),
    [...stored].join(' '),
  );
});

// Guards against a gang that never starts again because no two of its suspected members share a
// worker.
test('should complete a gang whose members have lost their workers together twice', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2, behave: behaveFor(2_000) });
  await site.submit(owner, OTHER, makeJob(makeStep({ count: 6, gang: true })));
  for (let outage = 0; outage < 2; outage += 1) {
    while (startsOf(site, OTHER) < 6 * (outage + 1)) await site.run(50);
    site.workers.forEach((worker) => worker.crash());
  }
  await site.run(15_000);
  t.is(await site.state(owner, OTHER), 'completed');
  t.deepEqual(site.record.violations, []);
});

// Guards against a copy of a slow task that crashes one worker after the other.
test('should count the crashes of workers that started a copy of a task', async (t) => {
  const starts = new Map<string, number>();
  const { site, owner } = await makeOwnedSite({
    workers: 6,
    milliCores: 2_000,
    behave: (taskId) => {
      const start = (starts.get(taskId) ?? 0) + 1;
      starts.set(taskId, start);
      return { size: SIZE, durationMs: 1_000, crashes: taskId === `${DEADLY}.0.0.0` && start > 1 };
    },
  });
  site.record.copiesAllowed = true;
  const [slow] = [...site.workers.values()];
  if (slow) slow.slowdown = 60;
  await site.submit(owner, DEADLY, makeJob(makeStep({ count: 6, speculative: true })));
  await site.run(40_000);
  t.true(startsOf(site, `${DEADLY}.0.0.0`) <= 1 + MAXIMUM_STARTS);
});

// Guards against a task on trial that is blamed for a crash caused by a task started beside it.
test('should start nothing beside a task that is suspected of crashing workers', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 3,
    milliCores: 4_000,
    behave: (taskId) => ({ ...behaveFor(2_000)(taskId), crashes: false }),
  });
  await site.submit(owner, OTHER, makeJob(makeStep()));
  const lastRun = () => site.record.runsOf(`${OTHER}.0.0.0`).at(-1);
  for (let crash = 0; crash < 2; crash += 1) {
    while (lastRun()?.endedMs !== undefined || !lastRun()) await site.run(50);
    site.workers.get(lastRun()?.workerId ?? '')?.crash();
  }
  while (lastRun()?.endedMs !== undefined) await site.run(50);
  const trial = lastRun();
  for (let at = 0; at < 4; at += 1) {
    await site.submit(owner, `00000000000000b${at}`, makeJob(makeStep()));
  }
  await site.run(8_000);
  t.is(await site.state(owner, OTHER), 'completed');
  const beside = site.record.runs.filter(
    ({ workerId, startedMs, taskId }) =>
      taskId !== trial?.taskId &&
      workerId === trial?.workerId &&
      startedMs >= trial.startedMs &&
      startedMs < (trial.endedMs ?? 0),
  );
  t.deepEqual(beside, []);
  for (let at = 0; at < 4; at += 1) {
    t.is(await site.state(owner, `00000000000000b${at}`), 'completed');
  }
});

// Guards against runs that are held against their tasks when workers are replaced one after another.
test('should not hold workers that drain and leave against their tasks', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 3, behave: behaveFor(2_000) });
  await site.submit(owner, OTHER, makeJob(makeStep()));
  const lastRun = () => site.record.runsOf(`${OTHER}.0.0.0`).at(-1);
  while (!lastRun()) await site.run(50);
  const { workerId = '' } = lastRun() ?? {};
  site.registerWorker(workerId, { phase: 'draining', remainingMs: 600 });
  await site.run(600);
  site.workers.get(workerId)?.crash();
  await site.run(3_400);
  t.false(progressOf(site, OTHER).includes('"c"'));
  await site.run(6_000);
  t.is(await site.state(owner, OTHER), 'completed');
});

// Guards against a task that is given up because its workers were cut off, or drained and left.
test('should not hold workers that are cut off against their tasks', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 3, behave: behaveFor(2_500) });
  await site.submit(owner, OTHER, makeJob(makeStep()));
  for (let cut = 0; cut < 5; cut += 1) {
    await site.run(500);
    const { workerId = '' } = site.record.runs.at(-1) ?? {};
    site.cutFromWorkers(owner.client, [workerId]);
    await site.run(8_000);
    site.healWorkers();
    await site.run(1_000);
  }
  await site.run(6_000);
  t.is(await site.state(owner, OTHER), 'completed');
  t.false(progressOf(site, OTHER).includes('"c"'));
});

// Guards against a worker that crashes again and again by itself and has tasks given up that way.
test('should complete a job that starts on a worker that keeps crashing', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2, behave: behaveFor(1_500) });
  // The other worker is fuller, so that the crashing one is preferred.
  await site.submit(owner, '00000000000000b1', makeJob(makeStep({ longRunning: true })));
  await site.run(200);
  const { workerId: busy = '' } = site.record.runs[0] ?? {};
  const flapping = [...site.workers.values()].find(({ id }) => id !== busy);
  await site.submit(owner, OTHER, makeJob(makeStep()));
  for (let at = 0; at < 12; at += 1) {
    await site.run(700);
    if ((flapping?.activeRuns().length ?? 0) > 0) flapping?.crash();
  }
  await site.run(10_000);
  t.is(await site.state(owner, OTHER), 'completed');
  t.true(site.record.runsOf(`${OTHER}.0.0.0`).some(({ kind }) => kind === 'lost'));
});

// Guards against jobs that are given up because a rack loses power several times.
test('should complete jobs whose workers lose power together twice', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 4, behave: behaveFor(2_000) });
  for (let at = 0; at < 4; at += 1) {
    await site.submit(owner, `00000000000000b${at}`, makeJob(makeStep({ count: 3 })));
  }
  for (let outage = 0; outage < 2; outage += 1) {
    await site.run(700);
    site.workers.forEach((worker) => worker.crash());
    await site.run(4_000);
  }
  await site.run(30_000);
  for (let at = 0; at < 4; at += 1) {
    t.is(await site.state(owner, `00000000000000b${at}`), 'completed');
  }
  t.deepEqual(site.record.violations, []);
});

// Guards against a successor that starts the count of crashes anew.
test('should give up a task that crashes workers across a change of the owner', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 4, behave: behaveFor(1_000) });
  const other = site.start('b');
  await site.submit(owner, DEADLY, makeJob(makeStep()));
  while (startsOf(site, DEADLY) < 3) await site.run(50);
  owner.kill();
  await site.run(40_000);
  t.is(await site.state(other, DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS + 1, `${startsOf(site, DEADLY)} starts`);
});

// Guards against a count of crashes that is lost when a task moves to another share or back.
test('should give up a task that crashes workers in another share', async (t) => {
  const { site, owners } = await makeDividedSite({
    workers: 8,
    behave: (taskId) => ({
      ...behaveFor(taskId.startsWith('00000000000000f') ? 60_000 : 1_000)(taskId),
    }),
  });
  // The first job fills the home.
  site.putJobs(['00000000000000f1'], makeJob(makeStep({ count: 16 })), 'dc0');
  await site.run(600);
  site.putJobs([DEADLY], makeJob(makeStep()), 'dc0');
  await site.run(30_000);
  t.is(await site.state(owners[0], DEADLY), 'failed');
  t.true(startsOf(site, DEADLY) <= MAXIMUM_STARTS, `${startsOf(site, DEADLY)} starts`);
  t.true(
    site.record
      .runsOf(`${DEADLY}.0.0.0`)
      .every(({ workerId }) => Number(workerId.slice(1)) % 2 === 1),
  );
});
