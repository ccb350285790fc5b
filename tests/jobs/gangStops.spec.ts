/**
 * Stops of gangs of which members are missing.
 */
import test from 'ava';
import type { OwnedRun, OwnedTask } from 'samphirenotch/jobs/model/ownedJob.js';
import { GangStops } from 'samphirenotch/jobs/ownership/gangStops.js';

import { makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep } from '../fixtures/silentFleet.js';

const MEMBERS = 500;

/** Makes a step all of whose tasks run, and a list of the tasks that are ordered to stop. */
const makeRunningStep = (gang: boolean) => {
  const { tasks } = makeOwnedStep(makeStep({ count: MEMBERS, gang }));
  const stopped: OwnedTask[] = [];
  const agent = { id: 'w0', stop: ({ task }: OwnedRun) => stopped.push(task) };
  const startAll = (run: number): readonly OwnedRun[] =>
    tasks.map((task) => {
      const started = { task, run, agent } as unknown as OwnedRun;
      task.runs.splice(0, task.runs.length, started);
      return started;
    });
  return { startAll, stopped };
};

// Guards against an owner that is busy with a large gang until it loses its lease: it ordered all members to stop
// again for each one that was lost.
test('should stop each member of a gang once, however many are lost', (t) => {
  const { startAll, stopped } = makeRunningStep(true);
  const stops = new GangStops();
  const first = startAll(1);
  first.forEach((run) => stops.stopOthers(run));
  t.is(stopped.length, MEMBERS - 1);
  t.is(new Set(stopped).size, MEMBERS - 1);
  startAll(2)
    .slice(0, 2)
    .forEach((run) => stops.stopOthers(run));
  t.is(stopped.length, 2 * (MEMBERS - 1));
});

// Guards against tasks that are stopped although they do not wait for each other.
test('should stop no other task of a step that is not a gang', (t) => {
  const { startAll, stopped } = makeRunningStep(false);
  const stops = new GangStops();
  startAll(1).forEach((run) => stops.stopOthers(run));
  t.deepEqual(stopped, []);
});
