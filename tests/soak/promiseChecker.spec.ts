/**
 * The checker of the soak catches each broken promise, and nothing that is allowed.
 */
import test from 'ava';

import { PromiseChecker, type CheckedWorker, type SoakRun } from './promiseChecker.js';
import { makeStep, QUEUES, type SoakJob, type SoakStep } from './soakJob.js';

const STEP = makeStep({ count: 2 });

const ID = '00000000000000a1';

const makeChecker = (...steps: readonly SoakStep[]) => {
  const clock = { nowMs: 0 };
  const checker = new PromiseChecker(
    () => clock.nowMs,
    (token) => `entry-${token}`,
  );
  const [queue] = QUEUES;
  if (!queue) throw new Error('no queue');
  const job: SoakJob = { id: ID, queue, steps: steps.length > 0 ? steps : [STEP] };
  checker.submitting(job);
  checker.submitted(ID, 'accepted');
  return { checker, clock, job };
};

const worker = (changes: Partial<CheckedWorker> = {}): CheckedWorker => ({
  id: 'w0',
  cpu: 4_000,
  memMb: 8_000,
  drainingSinceMs: undefined,
  labels: ['a', 'r0'],
  ...changes,
});

const run = (index: number, changes: Partial<SoakRun> = {}): SoakRun => ({
  task: `${ID}.0.0.${index}`,
  run: 1,
  workerId: 'w0',
  dataCentre: 'north',
  token: 1,
  step: STEP,
  orderedMs: 0,
  startedMs: 0,
  savedMs: 0,
  ...changes,
});

const promisesOf = ({ violations }: PromiseChecker): readonly string[] =>
  violations.map(({ promise }) => promise);

test('should find nothing wrong with a job that runs as it should', (t) => {
  const { checker } = makeChecker(STEP, { ...STEP, after: [0] });
  [0, 1].forEach((index) => {
    const first = run(index);
    checker.started(first, worker());
    checker.ended(first, 'done');
  });
  [0, 1].forEach((index) => {
    const later = run(index, { task: `${ID}.0.1.${index}`, step: { ...STEP, after: [0] } });
    checker.started(later, worker());
    checker.ended(later, 'done');
  });
  ['running', 'completed', 'completed'].forEach((state) => checker.shown(ID, state));
  t.deepEqual(checker.violations, []);
});

test('should catch an overloaded worker', (t) => {
  const { checker } = makeChecker();
  checker.started(run(0), worker({ cpu: 1_500 }));
  checker.started(run(1), worker({ cpu: 1_500 }));
  t.deepEqual(promisesOf(checker), ['capacity']);
});

test('should count no processors of fillers, but their memory', (t) => {
  const { checker } = makeChecker();
  const filler = { ...STEP, filler: true };
  checker.started(run(0, { step: filler }), worker({ cpu: 0, memMb: 1_500 }));
  t.deepEqual(promisesOf(checker), []);
  checker.started(run(1, { step: filler }), worker({ cpu: 0, memMb: 1_500 }));
  t.deepEqual(promisesOf(checker), ['capacity']);
});

test('should catch a task that runs in two places', (t) => {
  const { checker } = makeChecker();
  checker.started(run(0), worker());
  checker.started(run(0, { run: 2, workerId: 'w1' }), worker({ id: 'w1' }));
  t.deepEqual(promisesOf(checker), ['one-run']);
});

test('should catch a task that is started after its end, unless the end was forgotten', (t) => {
  const { checker } = makeChecker();
  const first = run(0);
  checker.started(first, worker());
  checker.ended(first, 'done');
  checker.endForgotten(first);
  checker.started(run(0, { run: 2 }), worker());
  t.deepEqual(promisesOf(checker), []);
  checker.ended(run(0, { run: 2 }), 'done');
  checker.started(run(0, { run: 3, workerId: 'w1' }), worker({ id: 'w1' }));
  t.true(promisesOf(checker).includes('one-run'));
});

// Guards against a report of two runs that does not tell which owners ordered them, and where.
test('should name both runs of a task that runs in two data centres', (t) => {
  const { checker } = makeChecker();
  checker.started(run(0, { orderedMs: 1_000, startedMs: 1_200 }), worker());
  const changes = { run: 2, workerId: 'w1', dataCentre: 'south', token: 7, orderedMs: 3_400 };
  checker.started(run(0, { ...changes, startedMs: 3_500 }), worker({ id: 'w1' }));
  const [violation] = checker.violations;
  t.true(violation?.text.includes('run 2 on w1 (south) from entry-7, token 7, ordered 3.400'));
  t.true(violation?.text.includes('run 1 on w0 (north) from entry-1, token 1, ordered 1.000'));
});

// Guards against a start that is missed because an older end of the task was forgotten elsewhere.
test('should catch a start after an acknowledged end although another end was forgotten', (t) => {
  const { checker, clock } = makeChecker();
  const first = run(0);
  checker.started(first, worker());
  checker.ended(first, 'done');
  checker.endForgotten(first);
  const second = run(0, { run: 2, workerId: 'w1' });
  checker.started(second, worker({ id: 'w1' }));
  checker.ended(second, 'done');
  clock.nowMs = 2_500;
  checker.doneAcknowledged(second);
  checker.endForgotten(first);
  checker.endForgotten(second);
  checker.started(run(0, { run: 3, workerId: 'w2' }), worker({ id: 'w2' }));
  t.deepEqual(promisesOf(checker), ['one-run']);
  t.true(checker.violations[0]?.text.includes('noted 2.500'));
});

// Guards against an end that is taken note of only after the task was started again elsewhere.
test('should catch an end that is acknowledged after the task was started again', (t) => {
  const { checker } = makeChecker();
  const first = run(0);
  checker.started(first, worker());
  checker.ended(first, 'done');
  checker.started(run(0, { run: 2, workerId: 'w1' }), worker({ id: 'w1' }));
  checker.doneAcknowledged(first);
  checker.doneAcknowledged(first);
  t.deepEqual(promisesOf(checker), ['one-run', 'one-run']);
  t.true(checker.violations[1]?.text.includes('taken note of after it was started again'));
});

// Guards against a job that is called failed without cause: an attempt counts once its run has failed,
// whether or not a crash of the worker came before the acknowledgement.
test('should count failed runs whose ends were not acknowledged as attempts', (t) => {
  const { checker, job } = makeChecker();
  for (let at = 0; at < job.queue.maxAttempts; at += 1) {
    const failed = run(0, { run: at + 1 });
    checker.started(failed, worker());
    checker.ended(failed, 'failed');
  }
  checker.shown(ID, 'failed');
  t.deepEqual(checker.violations, []);
});

test('should catch a step that is started before the one it comes after', (t) => {
  const { checker } = makeChecker({ ...STEP, count: 1 }, { ...STEP, after: [0] });
  checker.started(run(0, { task: `${ID}.0.1.0`, step: { ...STEP, after: [0] } }), worker());
  t.deepEqual(promisesOf(checker), ['order']);
});

test('should catch too many tasks of a step on a worker', (t) => {
  const step = { ...STEP, perWorker: 1 };
  const { checker } = makeChecker(step);
  checker.started(run(0, { step }), worker());
  checker.started(run(1, { step }), worker());
  t.deepEqual(promisesOf(checker), ['per-worker-limit']);
});

test('should catch a start after all attempts have failed', (t) => {
  const { checker, job } = makeChecker();
  for (let at = 0; at < job.queue.maxAttempts; at += 1) checker.failureAcknowledged(run(0).task);
  checker.started(run(0), worker());
  t.deepEqual(promisesOf(checker), ['attempts']);
});

test('should catch work that nobody handed in, or that was refused', (t) => {
  const { checker, job } = makeChecker();
  checker.started(run(0, { task: '00000000000000ff.0.0.0' }), worker());
  const refused = { ...job, id: '00000000000000b1' };
  checker.submitting(refused);
  checker.submitted(refused.id, 'refused');
  checker.started(run(0, { task: `${refused.id}.0.0.0` }), worker());
  t.deepEqual(promisesOf(checker), ['asked-for', 'refused']);
});

test('should catch a refusal that comes after the start', (t) => {
  const { checker, job } = makeChecker();
  const late = { ...job, id: '00000000000000b1' };
  checker.submitting(late);
  checker.started(run(0, { task: `${late.id}.0.0.0` }), worker());
  t.deepEqual(promisesOf(checker), []);
  checker.submitted(late.id, 'refused');
  t.deepEqual(promisesOf(checker), ['refused']);
});

test('should catch starts long after a cancellation, or on a draining worker, in calm', (t) => {
  const { checker, clock } = makeChecker();
  checker.cancelling(ID);
  checker.cancelled(ID);
  clock.nowMs = 5_000;
  checker.started(run(0), worker({ drainingSinceMs: 0 }));
  t.deepEqual(promisesOf(checker), ['cancelled', 'draining']);
  checker.isCalm = false;
  checker.started(run(1), worker({ drainingSinceMs: 0 }));
  t.is(checker.violations.length, 2);
});

test('should catch states that are not true', (t) => {
  const { checker } = makeChecker();
  checker.shown(ID, 'gone');
  checker.shown(ID, 'cancelled');
  t.deepEqual(promisesOf(checker), ['lost', 'state']);
  const other = makeChecker();
  other.checker.shown(ID, 'failed');
  t.deepEqual(promisesOf(other.checker), ['state']);
  const third = makeChecker();
  third.checker.shown(ID, 'completed');
  // One for each task that is not done.
  t.deepEqual(promisesOf(third.checker), ['state', 'state']);
});

test('should let copies run at once and after an end, but not long after its acknowledgement', (t) => {
  const step = makeStep({ speculative: true });
  const { checker, clock } = makeChecker(step);
  const first = run(0, { step });
  const copy = run(0, { step, run: 2, workerId: 'w1' });
  checker.started(first, worker());
  checker.started(copy, worker({ id: 'w1' }));
  checker.ended(first, 'done');
  checker.doneAcknowledged(first);
  checker.ended(copy, 'stopped');
  clock.nowMs = 900;
  checker.started(run(0, { step, run: 3, orderedMs: 900 }), worker());
  t.deepEqual(promisesOf(checker), []);
  clock.nowMs = 1_100;
  checker.started(run(0, { step, run: 4, orderedMs: 1_100 }), worker());
  t.deepEqual(promisesOf(checker), ['one-run']);
});

test('should count failures of copies only a second after their acknowledgement', (t) => {
  const step = makeStep({ speculative: true });
  const { checker, clock, job } = makeChecker(step);
  for (let at = 0; at < job.queue.maxAttempts; at += 1) checker.failureAcknowledged(run(0).task);
  checker.started(run(0, { step, orderedMs: 500 }), worker());
  t.deepEqual(promisesOf(checker), []);
  clock.nowMs = 1_100;
  checker.started(run(0, { step, run: 2, orderedMs: 1_100 }), worker());
  t.deepEqual(promisesOf(checker), ['attempts']);
});

test('should catch an occurrence that is started before it is due, or twice', (t) => {
  const { checker, job } = makeChecker();
  const id = '00000000000000c1';
  const schedule = { repeatCount: 2, startAtMs: Date.now(), intervalMs: 60_000 };
  checker.submitting({ ...job, id, schedule });
  checker.submitted(id, 'accepted');
  [0, 1].forEach((index) => {
    const first = run(index, { task: `${id}.0.0.${index}` });
    checker.started(first, worker());
    checker.ended(first, 'done');
  });
  t.deepEqual(promisesOf(checker), []);
  checker.started(run(0, { task: `${id}.1.0.0` }), worker());
  t.deepEqual(promisesOf(checker), ['early']);
  checker.shown(id, 'completed');
  t.deepEqual(promisesOf(checker), ['early', 'state', 'state']);
  checker.started(run(0, { task: `${id}.0.0.0`, run: 2 }), worker());
  t.true(promisesOf(checker).includes('one-run'));
});

test('should keep occurrences apart in the order of steps and in the limit per worker', (t) => {
  const step = makeStep({ perWorker: 1 });
  const later = makeStep({ after: [0] });
  const { checker, job } = makeChecker();
  const id = '00000000000000c1';
  const schedule = { repeatCount: 2, startAtMs: 0, intervalMs: 0 };
  checker.submitting({ ...job, id, steps: [step, later], schedule });
  const first = run(0, { task: `${id}.0.0.0`, step });
  checker.started(first, worker());
  checker.started(run(0, { task: `${id}.1.0.0`, step }), worker());
  checker.ended(first, 'done');
  checker.started(run(0, { task: `${id}.0.1.0`, step: later }), worker());
  t.deepEqual(promisesOf(checker), []);
  checker.started(run(0, { task: `${id}.1.1.0`, step: later }), worker());
  t.deepEqual(promisesOf(checker), ['order']);
});

test('should catch a worker without the label that a step needs', (t) => {
  const step = makeStep({ requirement: 'r1' });
  const { checker } = makeChecker(step);
  checker.started(run(0, { step }), worker({ labels: ['a', 'r1'] }));
  checker.started(run(1, { step }), worker());
  t.deepEqual(promisesOf(checker), ['label']);
});

test('should catch members of a gang with unlike checkpoints', (t) => {
  const step = makeStep({ count: 2, gang: true });
  const { checker } = makeChecker(step);
  checker.started(run(0, { step, savedMs: 500 }), worker());
  checker.started(run(1, { step, savedMs: 0 }), worker());
  t.deepEqual(promisesOf(checker), ['checkpoint']);
});

test('should catch a member of a gang that waits in vain in calm', (t) => {
  const step = makeStep({ count: 2, gang: true });
  const { checker, clock } = makeChecker(step);
  const member = run(0, { step });
  checker.started(member, worker());
  checker.ended(member, 'alone');
  t.deepEqual(promisesOf(checker), ['gang']);
  checker.disturbed();
  clock.nowMs = 3_000;
  checker.started(member, worker());
  checker.ended(member, 'alone');
  t.is(checker.violations.length, 1);
});

test('should count the failure of a gang once, whichever member failed', (t) => {
  const step = makeStep({ count: 2, gang: true });
  const { checker, job } = makeChecker(step);
  for (let at = 0; at < job.queue.maxAttempts; at += 1) {
    if (at === 1) checker.shown(ID, 'failed');
    const failed = run(at % 2, { step, run: at + 1 });
    checker.started(failed, worker());
    checker.ended(failed, 'failed');
  }
  t.deepEqual(promisesOf(checker), ['state']);
  checker.shown(ID, 'failed');
  t.is(checker.violations.length, 1);
});

test('should catch a deadly task that is started again and again', (t) => {
  const step = makeStep({ deadly: true });
  const { checker } = makeChecker(step);
  for (let at = 0; at < 6; at += 1) {
    const deadly = run(0, { step, run: at + 1 });
    checker.started(deadly, worker());
    checker.crashedUnder(deadly);
    checker.ended(deadly, 'lost');
  }
  t.deepEqual(promisesOf(checker), []);
  checker.started(run(0, { step, run: 7 }), worker());
  t.deepEqual(promisesOf(checker), ['attempts']);
});

test('should take a gang for done with the end of one member, and no sooner', (t) => {
  const step = makeStep({ count: 2, gang: true });
  const later = makeStep({ after: [0] });
  const { checker } = makeChecker(step, later);
  const [first, second] = [run(0, { step }), run(1, { step })];
  [first, second].forEach((member) => checker.started(member, worker()));
  checker.started(run(0, { task: `${ID}.0.1.0`, step: later }), worker());
  t.deepEqual(promisesOf(checker), ['order', 'order']);
  checker.ended(first, 'done');
  checker.ended(second, 'lapsed');
  checker.started(run(0, { task: `${ID}.0.1.0`, step: later, run: 2 }), worker());
  t.false(promisesOf(checker).slice(2).includes('order'));
});

test('should catch fillers that hold a serving task over its target in calm', (t) => {
  const { checker, clock } = makeChecker();
  const serving = run(0, { step: makeStep({ longRunning: true }) });
  const see = (atMs: number, tailMs: number): void => {
    clock.nowMs = atMs;
    checker.tailSeen(serving, tailMs);
  };
  see(0, 70);
  see(3_900, 70);
  see(3_950, 20);
  see(4_000, 70);
  see(7_900, 70);
  checker.isCalm = false;
  see(8_100, 70);
  checker.isCalm = true;
  see(8_200, 70);
  t.deepEqual(promisesOf(checker), []);
  see(12_200, 70);
  t.deepEqual(promisesOf(checker), ['harm']);
});
