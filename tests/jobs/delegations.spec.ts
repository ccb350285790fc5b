/**
 * Jobs whose tasks run in other shares than their home.
 */
import test from 'ava';
import {
  decodeDelegation,
  decodeReport,
  type DelegatedTask,
} from 'samphirenotch/jobs/model/delegation.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import {
  makeDividedSite,
  makeJob,
  makeStep,
  type JobSite,
  type JobSiteOptions,
} from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const behaveFor = (durationMs: number) => () => ({ size: SIZE, durationMs });

/** Returns the data centre of each run, derived from the number of its worker. */
const dataCentresOf = (site: JobSite): readonly string[] =>
  site.record.runs.map(({ workerId }) => `dc${Number(workerId.slice(1)) % 2}`);

const countAt = (site: JobSite, dataCentre: string): number =>
  dataCentresOf(site).filter((place) => place === dataCentre).length;

/** Makes a home whose workers hold four tasks, and another share with room for four more. */
const makeSpilledSite = async (options: JobSiteOptions = {}, count = 8) => {
  const made = await makeDividedSite({ workers: 2, behave: behaveFor(4_000), ...options });
  made.site.putJobs([ID], makeJob(makeStep({ count })), 'dc0');
  await made.site.run(1_000);
  return made;
};

const exchangeKeys = (site: JobSite): readonly string[] =>
  [...site.data.items.keys()].filter((key) => /^exchange\/|\/away\//u.test(key));

// Guards against tasks that wait for their home although another share has room.
test('should run tasks that find no room at home in a share that has some', async (t) => {
  const { site, owners } = await makeSpilledSite({ workers: 4 }, 8);
  // The first job fills the eight places of the home.
  site.putJobs(['00000000000000a2'], makeJob(makeStep({ count: 4 })), 'dc0');
  await site.run(600);
  t.is(countAt(site, 'dc0'), 8);
  t.is(countAt(site, 'dc1'), 4);
  await site.run(6_000);
  t.is(await site.state(owners[0], ID), 'completed');
  t.is(await site.state(owners[1], '00000000000000a2'), 'completed');
  t.is(site.record.runs.length, 12);
  t.deepEqual(site.record.violations, []);
  t.deepEqual(exchangeKeys(site), []);
});

test('should run the steps of a job elsewhere once its data centre is evacuated', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(1_000) });
  const job = makeJob(makeStep({ count: 2 }), makeStep({ count: 2, after: [0] }));
  site.putJobs([ID], job, 'dc0');
  await site.run(500);
  site.data.put('operator/evacuate/dc0', '');
  await site.run(3_500);
  t.is(await site.state(owners[0], ID), 'completed');
  t.deepEqual(dataCentresOf(site), ['dc0', 'dc0', 'dc1', 'dc1']);
  t.deepEqual(site.record.violations, []);
});

test('should accept no job for a share whose data centre is evacuated', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(500) });
  site.data.put('operator/evacuate/dc0', '');
  await site.run(1_500);
  for (let at = 0; at < 6; at += 1) {
    await site.submit(owners[0], `00000000000000b${at}`, makeJob(makeStep()));
  }
  await site.run(1_000);
  t.is(countAt(site, 'dc1'), 6);
  t.is(site.data.changes.filter(({ key }) => key.startsWith('exchange/')).length, 0);
});

test('should stop the runs of a cancelled job in every share', async (t) => {
  const { site, owners } = await makeSpilledSite();
  t.is(await site.cancel(owners[1], ID), 'done');
  await site.run(1_000);
  t.true(site.record.runs.every(({ kind }) => kind === 'stopped'));
  t.is(site.record.runs.length, 8);
  await site.run(500);
  t.deepEqual(exchangeKeys(site), []);
});

test('should count failures of a task over all shares', async (t) => {
  const { site, owners } = await makeDividedSite({
    workers: 2,
    behave: (taskId) => ({ size: SIZE, durationMs: 300, fails: taskId.startsWith(ID) }),
  });
  site.data.put('operator/evacuate/dc0', '');
  await site.run(600);
  site.putJobs([ID], makeJob(makeStep({ count: 2 })), 'dc0');
  await site.run(900);
  site.data.remove('operator/evacuate/dc0');
  site.data.put('operator/evacuate/dc1', '');
  await site.run(6_000);
  t.is(await site.state(owners[0], ID), 'failed');
  const failures = site.record.runsOf(`${ID}.0.0.0`).length;
  t.true(failures <= 3, `${failures} runs of a task that may fail three times`);
  t.deepEqual(exchangeKeys(site), []);
});

test('should start nothing twice when the home is taken over while tasks are delegated', async (t) => {
  const { site, owners } = await makeSpilledSite();
  const successor = site.start('c', false, 1, 'dc0');
  await site.run(200);
  owners[0].kill();
  await site.run(12_000);
  t.is(await site.state(successor, ID), 'completed');
  t.is(site.record.runs.length, 8);
  t.deepEqual(site.record.violations, []);
  t.deepEqual(exchangeKeys(site), []);
});

test('should adopt runs of another share when their owner is replaced', async (t) => {
  const { site, owners } = await makeSpilledSite();
  const successor = site.start('c', false, 1, 'dc1');
  await site.run(200);
  owners[1].kill();
  await site.run(12_000);
  t.is(await site.state(successor, ID), 'completed');
  t.is(site.record.runs.length, 8);
  t.deepEqual(site.record.violations, []);
  t.deepEqual(exchangeKeys(site), []);
});

test('should finish a job that runs in several shares when every entry is killed at once', async (t) => {
  const { site, owners } = await makeSpilledSite();
  owners.forEach((owner) => owner.kill());
  await site.run(1_000);
  const restarted = [site.start('a', false, 1, 'dc0'), site.start('b', false, 1, 'dc1')] as const;
  await site.run(14_000);
  t.is(await site.state(restarted[0], ID), 'completed');
  t.is(site.record.runs.length, 8);
  t.deepEqual(site.record.violations, []);
  t.deepEqual(exchangeKeys(site), []);
});

// Guards against tasks lost by a home that ends after it wrote a delegation under its own keys, and
// before it wrote it to the other share.
test('should write a delegation to the other share if the former home did not', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 2, behave: behaveFor(1_000) });
  owners[0].store.failCommitsUnder(
    keysOfShare('dc1').receivedDelegationsPrefix,
    'silent',
    'silent',
    'silent',
  );
  site.putJobs([ID], makeJob(makeStep({ count: 6 })), 'dc0');
  await site.run(800);
  owners[0].kill();
  const successor = site.start('c', false, 1, 'dc0');
  await site.run(12_000);
  t.is(await site.state(successor, ID), 'completed');
  t.is(site.record.runs.length, 6);
  t.deepEqual(site.record.violations, []);
});

test('should take tasks back from a share that finds no worker for them', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 2, behave: behaveFor(2_500) });
  site.putJobs([ID], makeJob(makeStep({ count: 4 })), 'dc0');
  await site.run(300);
  // The room that the other share published is taken by the time the tasks arrive.
  site.putJobs(['00000000000000a2'], makeJob(makeStep({ count: 4 })), 'dc1');
  site.putJobs(['00000000000000a3'], makeJob(makeStep({ count: 1 })), 'dc0');
  await site.run(8_000);
  t.is(await site.state(owners[0], '00000000000000a3'), 'completed');
  t.is(site.record.runs.length, 9);
  t.deepEqual(site.record.violations, []);
  t.deepEqual(exchangeKeys(site), []);
});

test('should keep long-running tasks running when their home has lost all workers', async (t) => {
  const { site } = await makeDividedSite({
    workers: 2,
    behave: () => ({ size: SIZE, durationMs: Infinity }),
  });
  site.putJobs([ID], makeJob(makeStep({ count: 2, longRunning: true })), 'dc0');
  await site.run(500);
  site.registerWorker('w0', { phase: 'draining' });
  site.workers.get('w0')?.restart();
  await site.run(4_000);
  const active = site.record.runs.filter(({ endedMs }) => endedMs === undefined);
  t.deepEqual(
    active.map(({ workerId }) => workerId),
    ['w1', 'w1'],
  );
  t.deepEqual(site.record.violations, []);
});

// Guards against a limit that is applied to each delegation of a step separately.
test('should keep the limit of tasks of a step on one worker over all its delegations', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 2, behave: behaveFor(7_000) });
  site.putJobs([ID], makeJob(makeStep({ count: 4, perWorkerLimit: 1 })), 'dc0');
  for (let at = 0; at < 100; at += 1) {
    await site.run(200);
    site.workers.forEach((worker) => t.true(worker.activeRuns().length <= 1));
  }
  t.is(await site.state(owners[0], ID), 'completed');
});

// Guards against delegated tasks that run on after their job has failed at home.
test('should stop the delegated tasks of a job that has failed', async (t) => {
  const { site, owners } = await makeDividedSite({
    workers: 2,
    behave: (taskId) => ({
      size: SIZE,
      durationMs: taskId.endsWith('.0') ? 200 : 30_000,
      fails: taskId.endsWith('.0'),
    }),
  });
  site.putJobs([ID], makeJob(makeStep({ count: 7 })), 'dc0');
  await site.run(4_000);
  t.is(await site.state(owners[0], ID), 'failed');
  t.true(countAt(site, 'dc1') > 0);
  t.deepEqual(
    site.record.runs.filter(({ endedMs }) => endedMs === undefined),
    [],
  );
  t.deepEqual(exchangeKeys(site), []);
});

// Guards against labels that are not published again because a worker was replaced by one of the
// same size, so that the room of the share has stayed the same.
test('should delegate tasks to a share that has only just got their label', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 2, behave: behaveFor(300) });
  site.registerWorker('w1', { labels: ['fast'] });
  await site.run(1_500);
  site.putJobs([ID], makeJob(makeStep({ requiredLabel: 'fast' })), 'dc0');
  await site.run(3_000);
  t.is(await site.state(owners[0], ID), 'completed');
  t.deepEqual(dataCentresOf(site), ['dc1']);
});

/** Drains a worker and ends what it runs. */
const interruptOn = (site: JobSite, workerId: string): void => {
  site.registerWorker(workerId, { phase: 'draining', remainingMs: 60_000 });
  const worker = site.workers.get(workerId);
  worker?.activeRuns().forEach(({ taskId }) => worker.endRuns(taskId, 'failed'));
};

/** Returns the tasks of all delegations or reports that were written to a share. */
const exchangedTasks = (
  site: JobSite,
  prefix: string,
  decode: (text: string) => { readonly tasks: readonly DelegatedTask[] },
): readonly DelegatedTask[] =>
  site.data.changes
    .filter(({ key }) => key.startsWith(prefix))
    .flatMap(({ value }) => (value === undefined ? [] : decode(value).tasks));

// Guards against interrupted tasks that wait behind all others in another share, or at home after they come back, since
// nobody there knows that they have run (LOST).
test('should tell the other share, and later the home, since when a task is interrupted', async (t) => {
  const { site } = await makeDividedSite({
    workers: 2,
    behave: () => ({ size: SIZE, durationMs: Infinity }),
  });
  site.putJobs([ID], makeJob(makeStep({ longRunning: true })), 'dc0');
  await site.run(500);
  const homeEndMs = site.clock.wallMs();
  interruptOn(site, 'w0');
  await site.run(3_000);
  const { receivedDelegationsPrefix } = keysOfShare('dc1');
  const [sent] = exchangedTasks(site, receivedDelegationsPrefix, decodeDelegation);
  t.true(sent?.hasRun);
  t.true(Math.abs((sent?.interruptedAtMs ?? 0) - homeEndMs) <= 500);
  const guestEndMs = site.clock.wallMs();
  interruptOn(site, 'w1');
  site.registerWorker('w0');
  await site.run(3_000);
  const { receivedReportsPrefix } = keysOfShare('dc0');
  const returned = exchangedTasks(site, receivedReportsPrefix, decodeReport).at(-1);
  t.true(returned?.hasRun);
  t.true(Math.abs((returned?.interruptedAtMs ?? 0) - guestEndMs) <= 500);
  t.is(site.record.runs.at(-1)?.workerId, 'w0');
  t.deepEqual(site.record.violations, []);
});

const OTHER = '00000000000000a2';

/** Makes two shares of two workers each that are full of tasks which last. */
const makeLastingSite = async (): Promise<JobSite> => {
  const { site } = await makeDividedSite({
    workers: 4,
    behave: () => ({ size: SIZE, durationMs: Infinity }),
  });
  const step = makeStep({ count: 8, longRunning: true });
  site.putJobs([ID], makeJob(step), 'dc0');
  site.putJobs([OTHER], makeJob(step), 'dc1');
  await site.run(1_000);
  return site;
};

const delegatedTo = (site: JobSite, share: string): readonly DelegatedTask[] =>
  exchangedTasks(site, keysOfShare(share).receivedDelegationsPrefix, decodeDelegation);

const runningCount = (site: JobSite): number =>
  site.record.runs.filter(({ endedMs }) => endedMs === undefined).length;

// Guards against interrupted tasks that go back and forth between shares none of which has room for them.
test('should hand over no interrupted tasks while all shares lack as much room', async (t) => {
  const site = await makeLastingSite();
  interruptOn(site, 'w0');
  interruptOn(site, 'w1');
  await site.run(10_000);
  t.deepEqual(delegatedTo(site, 'dc0'), []);
  t.deepEqual(delegatedTo(site, 'dc1'), []);
  site.addWorker('w4');
  site.addWorker('w6');
  await site.run(2_000);
  t.is(runningCount(site), 16);
  t.deepEqual(site.record.violations, []);
});

// Guards against interrupted guests that wait for room while their home has some (LOST).
test('should give interrupted guests back once there is room at home, and not before', async (t) => {
  const site = await makeLastingSite();
  interruptOn(site, 'w0');
  await site.run(8_000);
  const guests = delegatedTo(site, 'dc1').length;
  t.true(guests > 0 && guests < 4, `${guests} of 4 tasks were handed over`);
  t.deepEqual(exchangedTasks(site, keysOfShare('dc0').receivedReportsPrefix, decodeReport), []);
  site.addWorker('w4');
  await site.run(2_000);
  t.is(runningCount(site), 16);
  t.is(delegatedTo(site, 'dc1').length, guests);
  t.deepEqual(site.record.violations, []);
});
