/**
 * Pacing of fillers, and what is learned about interference from the workers it polls.
 */
import test from 'ava';
import { FillerPacing } from 'samphirenotch/jobs/pacing/fillerPacing.js';
import { Interference } from 'samphirenotch/jobs/pacing/interference.js';
import { FULL_PERCENT } from 'samphirenotch/jobs/model/ownedJob.js';
import type { WorkerAgent } from 'samphirenotch/jobs/workers/workerAgent.js';
import type { WorkerFleet } from 'samphirenotch/jobs/workers/workerFleet.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';
import { NO_SIZE } from 'samphirenotch/infrastructure/sizes.js';

import { makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeSilentAgent, addRunningRun } from '../fixtures/silentFleet.js';

const POLL_INTERVAL_MS = 500;

/** Polls a worker with a serving task and a filler several times and adjusts paces after each. */
const pollWorker = (agent: WorkerAgent, clock: ManualClock, interference: Interference): void => {
  const serving = addRunningRun(agent, makeOwnedStep(makeStep({ image: 'touchy', targetMs: 20 })));
  const filler = addRunningRun(agent, makeOwnedStep(makeStep({ image: 'loud', filler: true })));
  serving.percent = FULL_PERCENT;
  serving.gauge = 30;
  filler.gauge = 900;
  const pacing = new FillerPacing(
    { all: () => [agent] } as unknown as WorkerFleet,
    interference,
    clock,
  );
  const polled = agent;
  for (let poll = 0; poll < 6; poll += 1) {
    clock.jump(POLL_INTERVAL_MS);
    polled.pollCount += 1;
    pacing.adjust();
  }
};

// Guards against learning from workers that a new owner has taken over before the directory has
// their capacity: usage as a fraction of zero processors corrupts the slopes of every pair for the
// rest of the term.
test('should learn nothing from a worker whose capacity is not known yet', (t) => {
  const clock = new ManualClock();
  const interference = new Interference();
  pollWorker(makeSilentAgent(clock, { capacity: NO_SIZE }), clock, interference);
  t.is(interference.slope('touchy', 'loud'), new Interference().slope('touchy', 'loud'));
  pollWorker(makeSilentAgent(clock, { id: 'w1' }), clock, interference);
  t.true(Number.isFinite(interference.slope('touchy', 'loud')));
});
