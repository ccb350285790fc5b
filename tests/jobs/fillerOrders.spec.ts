/**
 * Orders of an owner that has more starts of fillers to send than it has time for.
 */
import test from 'ava';
import type { OwnedTask } from 'samphirenotch/jobs/model/ownedJob.js';

import { FULL_TURN, makeAnsweringAgent, type AnsweringAgent } from '../fixtures/answeringAgent.js';
import { bulk, put, urgent } from '../fixtures/bulkSite.js';
import { makeJob, makeOwnedSite, makeStep, runUntil, type JobSite } from '../fixtures/jobSite.js';
import { makeOwnedStep } from '../fixtures/silentFleet.js';

/** Number of fillers whose starts wait: several turns of orders. */
const FILLERS = 300;

const SIZE = { milliCores: 1_000, memoryMb: 10, accelerators: 0 };

const FILLER_SIZE = { ...SIZE, milliCores: 0 };

const RUN = 1;

/** Starts fillers; the first of them is sent at once. */
const startFillers = ({ agent }: AnsweringAgent, count = FILLERS): readonly OwnedTask[] => {
  const { tasks } = makeOwnedStep(makeStep({ count, filler: true, size: FILLER_SIZE }));
  tasks.forEach((task) => agent.start(task, RUN, FILLER_SIZE, undefined));
  return tasks;
};

const makeLastingTask = (): OwnedTask => {
  const [task] = makeOwnedStep(makeStep({ longRunning: true, size: SIZE })).tasks;
  if (!task) throw new Error('the step has no task');
  return task;
};

// Guards against starts that wait until hundreds of fillers are started.
test('should send the start of a task before starts of fillers that wait', async (t) => {
  const answering = await makeAnsweringAgent();
  const { clock, agent, events, end } = answering;
  startFillers(answering);
  const task = makeLastingTask();
  agent.start(task, RUN, SIZE, undefined);
  await clock.advance(10);
  const position = events.indexOf(`start ${task.id}`);
  t.true(position >= 0 && position <= FULL_TURN, `order ${position}`);
  t.is(events.length, FILLERS + 1);
  await end();
});

// Guards against moves of tasks whose stops wait until hundreds of fillers are started.
test('should send the stop of a run before starts of fillers that wait', async (t) => {
  const answering = await makeAnsweringAgent();
  const { clock, agent, events, end } = answering;
  const task = makeLastingTask();
  const run = agent.start(task, RUN, SIZE, undefined);
  await clock.advance(100);
  startFillers(answering);
  agent.stop(run, 'it moves');
  await clock.advance(10);
  const position = events.indexOf(`stop ${task.id}`);
  t.true(position >= 0 && position <= FULL_TURN, `order ${position}`);
  await end();
});

// Guards against a stop that overtakes the start of its run, which is then sent, and against one that waits
// until the fillers before it are started.
test('should not send the start of a filler that is stopped while the start waits', async (t) => {
  const answering = await makeAnsweringAgent();
  const { clock, agent, events, end } = answering;
  const tasks = startFillers(answering);
  const stopped = tasks.slice(-2);
  agent
    .activeRuns()
    .filter(({ task }) => stopped.includes(task))
    .forEach((run) => agent.stop(run, 'its job is cancelled'));
  await clock.advance(10);
  stopped.forEach(({ id }) => {
    const found = events.filter((event) => event.endsWith(` ${id}`));
    t.deepEqual(found, [`lost ${id}`]);
    const position = events.indexOf(`lost ${id}`);
    t.true(position <= FULL_TURN, `order ${position}`);
  });
  t.is(events.length, FILLERS);
  await end();
});

// Guards against fillers that are not started for as long as other orders keep coming.
test('should send some starts of fillers in each turn while more other orders wait', async (t) => {
  const answering = await makeAnsweringAgent();
  const { clock, batcher, events, end } = answering;
  const mostOrders = 100 * FULL_TURN;
  let sent = 0;
  let sentAtLastStart = Infinity;
  const send = (): void => {
    sent += 1;
    if (events.length < FULL_TURN) sentAtLastStart = sent;
    if (sent < mostOrders) batcher.enqueue(send);
  };
  for (let at = 0; at < 2 * FULL_TURN; at += 1) batcher.enqueue(send);
  startFillers(answering, FULL_TURN);
  await clock.advance(10);
  t.is(events.length, FULL_TURN);
  t.true(sentAtLastStart <= mostOrders / 2, `${sentAtLastStart} orders before the last start`);
  await end();
});

const LASTING_ID = 'aaaaaaaaaaaaaaaa';

const LASTING_SIZE = { ...SIZE, milliCores: 16_000 };

/** Workers that drain, tasks that run on each of them, and other workers. */
const DRAINING = 20;
const TASKS_EACH = 4;
const OTHERS = 40;

/** Jobs of fillers that wait, tasks of each of them, and how long a task runs, in milliseconds. */
const FILLER_JOBS = 100;
const FILLERS_OF_JOB = 60;
const FILLER_RUN_MS = 800;

/** Longest time for the moves of all tasks, in milliseconds: a few passes. */
const MAX_MOVE_MS = 250;

const putFillers = (site: JobSite): void => {
  const step = makeStep({ count: FILLERS_OF_JOB, filler: true, size: SIZE, estimateMs: 800 });
  const ids = Array.from({ length: FILLER_JOBS }, (_, at) => at.toString(16).padStart(16, '0'));
  put(site, bulk, ids, makeJob(step));
};

/** Makes a site of workers that are full of lasting tasks, others that have room, and fillers that wait. */
const makeFillerSite = async (): Promise<JobSite> => {
  const { site } = await makeOwnedSite({
    workers: DRAINING,
    milliCores: TASKS_EACH * LASTING_SIZE.milliCores,
    startCostMs: 0.5,
    behave: (taskId) =>
      taskId.startsWith(LASTING_ID)
        ? { size: LASTING_SIZE, durationMs: Infinity }
        : { size: FILLER_SIZE, durationMs: FILLER_RUN_MS },
  });
  site.configure([site.queue, bulk]);
  await site.run(200);
  const count = DRAINING * TASKS_EACH;
  site.putJobs([LASTING_ID], makeJob(makeStep({ count, longRunning: true, size: LASTING_SIZE })));
  await site.run(1_000);
  for (let at = 0; at < OTHERS; at += 1) site.addWorker(`w${DRAINING + at}`);
  await site.run(500);
  putFillers(site);
  await site.run(1_000);
  return site;
};

const countStopped = (site: JobSite): number =>
  site.record.runs.filter(
    ({ taskId, endedMs }) => taskId.startsWith(LASTING_ID) && endedMs !== undefined,
  ).length;

// Guards against moves whose number is that of a pass without time left, because starts of fillers wait: the
// others are stopped without a place when the notice ends.
test('should move all tasks off draining workers at once while fillers are started', async (t) => {
  const site = await makeFillerSite();
  for (let at = 0; at < DRAINING; at += 1)
    site.registerWorker(`w${at}`, { phase: 'draining', remainingMs: 7_000 });
  const drainedMs = site.clock.monotonicMs();
  await runUntil(site, () => countStopped(site) === DRAINING * TASKS_EACH);
  const tookMs = site.clock.monotonicMs() - drainedMs;
  t.true(tookMs <= MAX_MOVE_MS, `${tookMs} ms`);
  t.deepEqual(site.record.violations, []);
});

const URGENT_ID = 'ffffffffffffffff';

const URGENT_TASKS = 60;

/** Longest time until all urgent tasks are started, in milliseconds. */
const MAX_URGENT_MS = 250;

// Guards against passes that start one urgent task each until all fillers are started that wait for the first
// answer of their workers.
test('should start urgent tasks while many starts of fillers wait to be sent', async (t) => {
  const { site } = await makeOwnedSite({
    workers: OTHERS,
    milliCores: 64_000,
    startCostMs: 0.5,
    holdLimitMs: 10_000,
    behave: () => ({ size: FILLER_SIZE, durationMs: 60_000 }),
  });
  site.configure([site.queue, bulk, urgent]);
  await site.run(10_000);
  putFillers(site);
  await runUntil(site, () => site.record.runs.length > 0);
  put(site, urgent, [URGENT_ID], makeJob(makeStep({ count: URGENT_TASKS, size: SIZE })));
  const putMs = site.clock.monotonicMs();
  const countStarted = (): number =>
    site.record.runs.filter(({ taskId }) => taskId.startsWith(URGENT_ID)).length;
  await runUntil(site, () => countStarted() === URGENT_TASKS);
  const tookMs = site.clock.monotonicMs() - putMs;
  t.true(tookMs <= MAX_URGENT_MS, `${tookMs} ms, ${site.record.runs.length} starts`);
  t.deepEqual(site.record.violations, []);
});

const COPIED_ID = 'cccccccccccccccc';

const SLOW_WORKERS = 8;

// Guards against tasks on slow workers that get no copies for as long as fillers wait.
test('should start copies of slow runs while fillers are started', async (t) => {
  const { site } = await makeOwnedSite({
    workers: OTHERS,
    milliCores: 64_000,
    startCostMs: 0.5,
    behave: (taskId) =>
      taskId.startsWith(COPIED_ID)
        ? { size: SIZE, durationMs: 4_000 }
        : { size: FILLER_SIZE, durationMs: FILLER_RUN_MS },
  });
  site.record.copiesAllowed = true;
  site.configure([site.queue, bulk, urgent]);
  [...site.workers.values()].slice(0, SLOW_WORKERS).forEach((worker) => {
    const slow = worker;
    slow.slowdown = 10;
  });
  const step = makeStep({ count: 2 * OTHERS, speculative: true, size: SIZE, estimateMs: 4_000 });
  put(site, urgent, [COPIED_ID], makeJob(step));
  await site.run(500);
  putFillers(site);
  await site.run(2_500);
  const copied = site.record.runs.filter(({ taskId }) => taskId.startsWith(COPIED_ID));
  t.is(copied.length, 2 * OTHERS + 2 * SLOW_WORKERS);
  t.deepEqual(site.record.violations, []);
});
