/**
 * Tests of the choice among workers that fail, do not answer or return.
 *
 * @packageDocumentation
 */

import test from 'ava';
import { LearnedInterference } from 'samphirenotch/decisions/learnedInterference.js';
import {
  LEARNED_WORKER_CHOICE_DEFAULTS,
  LearnedWorkerChoice,
} from 'samphirenotch/decisions/learnedWorkerChoice.js';
import type { WorkerCandidate } from 'samphirenotch/decisions/workerChoice.js';

const SEED = 7;
const WORKERS = 10;

const candidates = (busy = 0): WorkerCandidate[] =>
  Array.from({ length: WORKERS }, (_, index) => ({
    workerId: `worker-${index}`,
    busySlots: busy,
    slots: 8,
    neighbours: [],
  }));

const newChoice = () => new LearnedWorkerChoice(SEED, new LearnedInterference());

const observe = (
  choice: LearnedWorkerChoice,
  workerId: string,
  kind: 'answered' | 'failed' | 'silent',
  nowMs: number,
) => choice.observe({ workerId, taskClass: 'quick', kind, latencyMs: 10, nowMs });

const failEverything = (choice: LearnedWorkerChoice, workerIds: readonly string[], nowMs: number) =>
  workerIds.forEach((workerId) => {
    for (let count = 0; count < 20; count += 1) observe(choice, workerId, 'failed', nowMs);
  });

const chosenIds = (choice: LearnedWorkerChoice, nowMs: number, times = 500, busy = 0) =>
  new Set(
    Array.from(
      { length: times },
      () => choice.choose('quick', candidates(busy), nowMs)?.workerId ?? 'none',
    ),
  );

// A worker that fails at once looks idle and fast, and would attract more and more requests.
test('should not choose a worker that fails every request', (t) => {
  const choice = newChoice();
  choice.choose('quick', candidates(), 0);
  failEverything(choice, ['worker-3'], 0);

  t.false(chosenIds(choice, 1).has('worker-3'));
});

// If all workers fail, the cause is probably not the workers. Ejecting all of them would stop the
// service completely.
test('should keep most workers in use when all of them fail', (t) => {
  const choice = newChoice();
  choice.choose('quick', candidates(), 0);
  failEverything(
    choice,
    candidates().map(({ workerId }) => workerId),
    0,
  );
  const used = chosenIds(choice, 1);
  const { maximumEjectedShare } = LEARNED_WORKER_CHOICE_DEFAULTS;

  t.false(used.has('none'));
  t.true(used.size >= WORKERS * (1 - maximumEjectedShare));
});

// A request to a worker that does not answer costs its whole timeout, a failure only a short time.
// So fewer of them lead to an ejection.
test('should eject an unresponsive worker after fewer requests than a failing one', (t) => {
  const choice = newChoice();
  choice.choose('quick', candidates(), 0);
  observe(choice, 'worker-1', 'silent', 0);
  observe(choice, 'worker-1', 'silent', 0);
  observe(choice, 'worker-2', 'failed', 0);
  observe(choice, 'worker-2', 'failed', 0);
  const used = chosenIds(choice, 1);

  t.false(used.has('worker-1'));
  t.true(used.has('worker-2'));
});

// A worker that returns may still be faulty. It gets one request at a time until it has answered
// several in a row.
test('should send single trial requests to a returning worker until it is trusted again', (t) => {
  const choice = newChoice();
  const { firstEjectionMs, answersToRestore } = LEARNED_WORKER_CHOICE_DEFAULTS;
  choice.choose('quick', candidates(), 0);
  failEverything(choice, ['worker-3'], 0);

  t.false(chosenIds(choice, firstEjectionMs + 1, 500, 1).has('worker-3'));
  t.true(chosenIds(choice, firstEjectionMs + 1).has('worker-3'));

  for (let count = 0; count < answersToRestore; count += 1) {
    observe(choice, 'worker-3', 'answered', firstEjectionMs + 1);
  }

  t.true(chosenIds(choice, firstEjectionMs + 2, 500, 1).has('worker-3'));
});

// A worker that keeps failing must not cost trial requests at a constant rate.
test('should double the length of an ejection when the trial request fails', (t) => {
  const choice = newChoice();
  const { firstEjectionMs } = LEARNED_WORKER_CHOICE_DEFAULTS;
  choice.choose('quick', candidates(), 0);
  failEverything(choice, ['worker-3'], 0);
  observe(choice, 'worker-3', 'failed', firstEjectionMs + 1);

  t.false(chosenIds(choice, 2 * firstEjectionMs + 2).has('worker-3'));
  t.true(chosenIds(choice, 3 * firstEjectionMs + 2).has('worker-3'));
});
