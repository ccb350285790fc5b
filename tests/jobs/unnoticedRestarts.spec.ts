/**
 * Workers that start again under their id, and get orders before their owner has noticed it.
 */
import test, { type ExecutionContext } from 'ava';

import { JobSite, makeJob, makeStep, runUntil, type SiteEntry } from '../fixtures/jobSite.js';
import type { TaskBehaviour } from '../fixtures/memoryTaskWorker.js';

const ID = '00000000000000a1';
const OTHER_ID = '00000000000000a2';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };
const WHOLE_WORKER = { ...SIZE, milliCores: 8_000 };

/** Longest lease that the workers accept, in milliseconds: longer than an owner grants. */
const HOLD_LIMIT_MS = 10_000;

/** Time in which an owner notices a restart by a poll and proves that it has no successor, in milliseconds. */
const NOTICED_AFTER_MS = 1_900;

/** Time after which the lease of a silent worker is counted down, in milliseconds. */
const COUNTED_DOWN_AFTER_MS = 3_000;

/** Time until a restarted worker is in the directory again, in milliseconds. */
const REGISTRATION_DELAY_MS = 2_000;

/** Time in which an idle worker is asked and gets a start, in milliseconds; an answer takes 2 ms. */
const START_MS = 50;

/** Longest lease that an owner grants, in milliseconds. */
const LONGEST_GRANT_MS = 6_000;

/** Time by which answers of a slow worker are late, in milliseconds: within the timeout of a poll. */
const SLOW_MS = 500;

/** Duration of the task that keeps the other worker busy, in milliseconds: it ends before any lease does. */
const OTHER_MS = 10_000;

const behave = (taskId: string): TaskBehaviour =>
  taskId.startsWith(OTHER_ID)
    ? { size: WHOLE_WORKER, durationMs: OTHER_MS }
    : { size: SIZE, durationMs: 40_000 };

/** Makes a site with an owner and a worker. */
const makeSite = async () => {
  const site = new JobSite({
    workers: 1,
    dataCentres: 1,
    milliCores: 8_000,
    holdLimitMs: HOLD_LIMIT_MS,
    behave,
  });
  site.registrationDelayMs = REGISTRATION_DELAY_MS;
  const owner = site.start('a');
  // No lease is left of the time before the owner.
  await site.run(HOLD_LIMIT_MS + 2_000);
  const worker = site.workers.get('w0');
  if (!worker) throw new Error('The site has no worker.');
  return { site, owner, worker };
};

/** Starts a job and waits until its task runs. */
const startTask = async (site: JobSite): Promise<void> => {
  site.putJobs([ID], makeJob(makeStep({ checkpointing: true })));
  await runUntil(site, () => site.record.runs.length > 0);
};

/** Makes a site with an owner, a busy worker, and an idle one that has not been polled for a while. */
const makeSiteWithIdleWorker = async () => {
  const { site, owner } = await makeSite();
  site.putJobs([OTHER_ID], makeJob(makeStep({ size: WHOLE_WORKER })));
  await runUntil(site, () => site.record.runs.length > 0);
  site.addWorker('w1');
  await site.run(3_000);
  const idle = site.workers.get('w1');
  if (!idle) throw new Error('The site has no second worker.');
  return { site, owner, idle };
};

/** Starts a job and waits until its task runs on the only worker with room. */
const startTaskOn = async (t: ExecutionContext, site: JobSite, id: string): Promise<void> => {
  site.putJobs([ID], makeJob(makeStep({ checkpointing: true })));
  await runUntil(site, () => site.record.runsOf(`${ID}.0.0.0`).length > 0);
  t.is(site.record.runsOf(`${ID}.0.0.0`)[0]?.workerId, id);
};

/** Parts a worker from an owner that reaches another one. */
const replaceByAnother = (site: JobSite, { client }: SiteEntry): void => {
  site.cutFromWorkers(client, ['w0']);
  site.addWorker('w1');
};

/** The task runs again, and never twice at once. */
const expectSecondRun = async (t: ExecutionContext, site: JobSite): Promise<void> => {
  await site.run(20_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runs.length, 2);
};

// Guards against a task that runs twice: the worker shortens a lease end on the clock of its former
// incarnation to the longest lease that it accepts, and its owner counts on a shorter one.
test('should not start a task again before the lease of a worker that had started again ends', async (t) => {
  const { site, owner, worker } = await makeSite();
  worker.restart();
  await startTask(site);
  replaceByAnother(site, owner);
  await expectSecondRun(t, site);
});

// Guards against the same if the owner gets no answer to the start.
test('should not start a task again before the lease of an unanswered start ends', async (t) => {
  const { site, owner, worker } = await makeSite();
  worker.restart();
  worker.failStarts('answer-lost');
  await startTask(site);
  replaceByAnother(site, owner);
  await expectSecondRun(t, site);
});

// Guards against the same by a successor, which goes by the time left in the store.
test('should count down the lease of a worker that had started again to its end', async (t) => {
  const { site, owner, worker } = await makeSite();
  worker.restart();
  await startTask(site);
  replaceByAnother(site, owner);
  const successor = site.start('b');
  site.cutFromWorkers(successor.client, ['w0']);
  await site.run(COUNTED_DOWN_AFTER_MS);
  owner.kill();
  await expectSecondRun(t, site);
});

// Guards against the same by a lease that was extended right before the owner noticed the restart.
test('should count the lease that a restarted worker had before its first report', async (t) => {
  const { site, owner, worker } = await makeSite();
  worker.restart();
  await startTask(site);
  await site.run(NOTICED_AFTER_MS);
  replaceByAnother(site, owner);
  await expectSecondRun(t, site);
});

// Guards against the same by a successor that meets the worker while it has such a lease.
test('should count the lease that a restarted worker has got from a former owner', async (t) => {
  const { site, owner, worker } = await makeSite();
  worker.restart();
  await startTask(site);
  const successor = site.start('b');
  owner.stop();
  await runUntil(site, () => successor.entry.status().terms.length > 0);
  await runUntil(site, () => successor.entry.status().workers.some(({ runs }) => runs > 0));
  replaceByAnother(site, successor);
  await expectSecondRun(t, site);
});

// Guards against the same by a successor that goes by the time of a former owner that dies at once.
test('should wait for the longest lease of a restarted worker if its owner dies at once', async (t) => {
  const { site, owner, worker } = await makeSite();
  const successor = site.start('b');
  await site.run(1_000);
  worker.restart();
  await startTask(site);
  site.addWorker('w1');
  site.cutFromWorkers(successor.client, ['w0']);
  owner.kill();
  await site.run(30_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runs.length, 2);
});

// Guards against the same if the successor reaches another worker of the data centre.
test('should wait for the longest lease of a restarted worker if others answer', async (t) => {
  const { site, owner, idle } = await makeSiteWithIdleWorker();
  const successor = site.start('b');
  await site.run(1_000);
  idle.restart();
  await startTaskOn(t, site, idle.id);
  site.cutFromWorkers(successor.client, [idle.id]);
  owner.kill();
  await site.run(30_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runsOf(`${ID}.0.0.0`).length, 2);
});

// Guards against the same by a successor that is elected as soon as its predecessor stops.
test('should wait for the longest lease of a restarted worker after a planned change of the owner', async (t) => {
  const { site, owner, idle } = await makeSiteWithIdleWorker();
  const successor = site.start('b');
  await site.run(1_000);
  idle.restart();
  await startTaskOn(t, site, idle.id);
  site.cutFromWorkers(successor.client, [idle.id]);
  site.cutFromWorkers(owner.client, [idle.id]);
  owner.stop();
  await site.run(30_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runsOf(`${ID}.0.0.0`).length, 2);
});

// Guards against a task that runs twice because a successor waits for the leases only that owners grant.
test('should give a worker that restarted unnoticed no longer lease than others', async (t) => {
  const { site, idle } = await makeSiteWithIdleWorker();
  idle.restart();
  await startTaskOn(t, site, idle.id);
  t.true(idle.leaseLeftMs <= LONGEST_GRANT_MS, `${idle.leaseLeftMs} ms`);
});

// Guards against tasks that wait because their worker is asked first whether it has started again.
test('should start a task at once on a worker that has been idle', async (t) => {
  const { site, idle } = await makeSiteWithIdleWorker();
  const fromMs = site.clock.monotonicMs();
  await startTaskOn(t, site, idle.id);
  t.true(site.clock.monotonicMs() - fromMs <= START_MS, `${site.clock.monotonicMs() - fromMs} ms`);
});

// Guards against runs that lapse because their worker is asked too seldom whether it has started again.
test('should go on extending the lease of a worker whose answers are slow', async (t) => {
  const { site, idle } = await makeSiteWithIdleWorker();
  await startTaskOn(t, site, idle.id);
  const hold = idle.hold.bind(idle);
  idle.hold = async (order, call) => {
    await site.clock.sleep(SLOW_MS, call.signal);
    return hold(order, call);
  };
  await site.run(30_000);
  t.is(site.record.runsOf(`${ID}.0.0.0`).length, 1);
  t.is(site.record.runsOf(`${ID}.0.0.0`)[0]?.endedMs, undefined);
});
