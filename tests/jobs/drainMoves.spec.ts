/**
 * Tests in which order runs on draining workers get a place while passes have no time left.
 */
import test from 'ava';
import { DrainMoves } from 'samphirenotch/jobs/placement/drainMoves.js';
import { RoomReservations } from 'samphirenotch/jobs/placement/roomReservations.js';
import type { OwnedTask } from 'samphirenotch/jobs/model/ownedJob.js';
import type { WorkerAgent } from 'samphirenotch/jobs/workers/workerAgent.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeStep } from '../fixtures/jobSite.js';
import { addRunningRun, makeOwnedStep, makeSilentAgent } from '../fixtures/silentFleet.js';

/** Passes after which a place must have been looked for once for each of the tasks. */
const MAX_PASSES = 10;

const TASKS = 20;

const DRAINING = { phase: 'draining', remainingMs: 5_000 } as const;

/** Makes a draining worker that runs a task of a job of its own. */
const makeLeaving = (clock: ManualClock, id: string): WorkerAgent => {
  const agent = makeSilentAgent(clock, { id, ...DRAINING });
  addRunningRun(agent, makeOwnedStep(makeStep({ longRunning: true })));
  return agent;
};

/** Makes moves in passes that have no time left; a place is found for the given tasks only. */
const makeMoves = (clock: ManualClock, hasRoom: (task: OwnedTask) => boolean) => {
  const held: OwnedTask[] = [];
  const moves = new DrainMoves({
    reservations: new RoomReservations(clock),
    isCountdownStored: () => true,
    isStartable: () => true,
    reserve: () => false,
    hold: ({ run: { task } }) => {
      if (!hasRoom(task)) return false;
      held.push(task);
      return true;
    },
    hasBacklog: () => true,
    clock,
  });
  return { moves, held };
};

// Guards against a task for which no place is looked for because those before it, which find none, take all
// searches of each pass (LOST, with room for it).
test('should look for a place for each leaving task after some passes without time', (t) => {
  const clock = new ManualClock();
  const agents = Array.from({ length: TASKS }, (_, at) => makeLeaving(clock, `w${at}`));
  const last = agents.at(-1)?.activeRuns()[0]?.task;
  const { moves, held } = makeMoves(clock, (task) => task === last);
  for (let pass = 0; pass < MAX_PASSES; pass += 1) moves.check(agents);
  t.is(held[0]?.id, last?.id);
});

// Guards against a task that is not tried again once another worker may have room for it.
test('should look again for a place for the task that leaves first', (t) => {
  const clock = new ManualClock();
  const agents = Array.from({ length: TASKS }, (_, at) => makeLeaving(clock, `w${at}`));
  const first = agents[0]?.activeRuns()[0]?.task;
  let hasRoom = false;
  const { moves, held } = makeMoves(clock, (task) => hasRoom && task === first);
  for (let pass = 0; pass < MAX_PASSES; pass += 1) moves.check(agents);
  t.deepEqual(held, []);
  hasRoom = true;
  for (let pass = 0; pass < MAX_PASSES; pass += 1) moves.check(agents);
  t.is(held[0]?.id, first?.id);
});
