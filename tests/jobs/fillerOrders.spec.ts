/**
 * Orders of an owner that has more starts of fillers to send than it has time for.
 */
import test from 'ava';
import type { OwnedTask } from 'samphirenotch/jobs/model/ownedJob.js';

import { FULL_TURN, makeAnsweringAgent, type AnsweringAgent } from '../fixtures/answeringAgent.js';
import { makeStep } from '../fixtures/jobSite.js';
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
