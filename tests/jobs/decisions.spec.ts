/**
 * Tests decisions about jobs without running a site.
 */
import test, { type ExecutionContext } from 'ava';
import {
  decodeDelegation,
  decodeReport,
  encodeDelegation,
  encodeReport,
  type DelegatedTask,
} from 'samphirenotch/jobs/model/delegation.js';
import { decodeProgress, encodeProgress } from 'samphirenotch/jobs/model/jobProgress.js';
import { JobReplica } from 'samphirenotch/jobs/store/jobReplica.js';
import { encodeAccepted } from 'samphirenotch/jobs/model/acceptedJob.js';
import type { OwnedJob } from 'samphirenotch/jobs/model/ownedJob.js';
import { PairSlopes } from 'samphirenotch/jobs/pacing/pairSlopes.js';
import {
  decodeShareCapacity,
  encodeShareCapacity,
  NO_CAPACITY,
} from 'samphirenotch/jobs/model/shareCapacity.js';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { findQueue } from 'samphirenotch/jobs/model/siteConfiguration.js';
import { DeadlineStepOrder } from 'samphirenotch/jobs/placement/stepOrder.js';
import { WorkerClock } from 'samphirenotch/jobs/workers/workerClock.js';
import { WorkerHealth } from 'samphirenotch/jobs/workers/workerHealth.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import type { JobSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import type { Queue } from 'samphirenotch/jobs/model/siteConfiguration.js';
import { makeJob, makeQueue, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedJob } from '../fixtures/ownedJobs.js';

const makeOwned = (job: JobSpec, queue: Queue = makeQueue(), id = '00000000000000a1'): OwnedJob =>
  makeOwnedJob(job, { id, queue, revision: 5 });

const firstStep = (job: OwnedJob) => {
  const step = job.occurrences.get(0)?.steps[0];
  if (!step) throw new Error('the job has no step');
  return step;
};

// Guards against done tasks that run again, and failures that are forgotten, after a new owner
// reads the stored progress of a job.
test('should keep done tasks and failed runs when the progress of a job is encoded and decoded', (t) => {
  const job = makeOwned(makeJob(makeStep({ count: 6 }), makeStep({ count: 2, after: [0] })));
  const step = firstStep(job);
  [0, 1, 4].forEach((index) => {
    const task = step.tasks[index];
    if (task) task.done = true;
  });
  step.tasks[5]?.failedRuns.push(3, 4);
  const clock = new ManualClock();
  const progress = decodeProgress(encodeProgress(job, 1, clock), 1, clock).occurrences.get(0);
  t.deepEqual([...(progress?.[0]?.done ?? [])], [0, 1, 4]);
  t.deepEqual(progress?.[0]?.failedRuns.get(5), [3, 4]);
  t.is(progress?.[1]?.done.size, 0);
});

// Guards against a successor that starts the count of crashes of a task anew.
test('should keep the runs under which workers crashed when progress is encoded and decoded', (t) => {
  const job = makeOwned(makeJob(makeStep({ count: 3 })));
  firstStep(job).tasks[2]?.crashedRuns.push(4, 7);
  const clock = new ManualClock();
  const [step] = decodeProgress(encodeProgress(job, 1, clock), 1, clock).occurrences.get(0) ?? [];
  t.deepEqual([...(step?.crashedRuns ?? [])], [[2, [4, 7]]]);
});

// Guards against a successor that counts an interruption from its own takeover.
test('should keep since when tasks are interrupted when progress is encoded and decoded', async (t) => {
  const job = makeOwned(makeJob(makeStep({ count: 3, longRunning: true })));
  const [, interrupted, neverRun] = firstStep(job).tasks;
  if (!interrupted || !neverRun) throw new Error('the step has too few tasks');
  const clock = new ManualClock();
  interrupted.interruptedMs = clock.monotonicMs();
  interrupted.hasRun = true;
  neverRun.interruptedMs = clock.monotonicMs();
  const text = encodeProgress(job, 1, clock);
  const other = new ManualClock();
  await other.advance(1_500);
  const [step] = decodeProgress(text, 1, other).occurrences.get(0) ?? [];
  t.deepEqual([...(step?.interruptions ?? [])], [[1, other.monotonicMs() - 1_500]]);
});

// Guards against an owner that cannot read what an owner of a former version has stored.
test('should read progress, delegations and reports of former versions', (t) => {
  const clock = new ManualClock();
  const [step] =
    decodeProgress('{"o":[{"k":0,"s":[{"d":[0,2],"f":{"3":[1]}}]}]}', 1, clock).occurrences.get(
      0,
    ) ?? [];
  t.is(step?.crashedRuns.size, 0);
  t.is(step?.interruptions.size, 0);
  t.deepEqual(step?.failedRuns.get(3), [1]);
  const delegation = decodeDelegation(
    '{"j":"a1","n":"1-1","h":"dc0","t":"dc1","k":0,"s":0,"r":[[2,5,[4],"c"]]}',
  );
  t.deepEqual(delegation.tasks[0]?.crashedRuns, []);
  t.is(delegation.tasks[0]?.hasRun, false);
  t.is(delegation.tasks[0]?.interruptedAtMs, undefined);
  t.is(delegation.toToken, undefined);
  const report = decodeReport('{"t":"dc1","b":true,"r":[[2,5,[4],"c","r"]]}');
  t.like(report.tasks[0], { outcome: 'returned', crashedRuns: [], failedRuns: [4], hasRun: false });
  t.is(decodeShareCapacity('{"c":[4,3,2,1],"l":["r1"]}').forInterrupted.size, 0);
});

/** Makes a task of a delegation or a report. */
const makeDelegatedTask = (changes: Partial<DelegatedTask> = {}): DelegatedTask => ({
  index: 2,
  nextRun: 5,
  failedRuns: [],
  crashedRuns: [],
  checkpoint: '',
  hasRun: false,
  interruptedAtMs: undefined,
  ...changes,
});

/** Checks that delegations and reports are read as they were written. */
const checkExchanged = (t: ExecutionContext, ...sent: readonly DelegatedTask[]): void => {
  const names = { jobId: 'a1', name: '1-1', home: 'dc0', to: 'dc1', occurrence: 0, step: 0 };
  const delegation = { ...names, toToken: 7, tasks: sent };
  t.deepEqual(decodeDelegation(encodeDelegation(delegation)), delegation);
  const tasks = sent.map((task) => ({ ...task, outcome: 'open' as const }));
  const report = { from: 'dc1', hasStarted: true, tasks };
  t.deepEqual(decodeReport(encodeReport(report)), report);
};

// Guards against a count of crashes that is lost when a task moves to another share or back.
test('should keep the runs under which workers crashed in delegations and reports', (t) => {
  checkExchanged(t, makeDelegatedTask({ crashedRuns: [3, 4] }));
});

// Guards against interrupted tasks that are owed no room once they have moved to another share or back (LOST).
test('should keep since when tasks are interrupted in delegations and reports', (t) => {
  checkExchanged(
    t,
    makeDelegatedTask({ hasRun: true, interruptedAtMs: 1_700_000_000_123 }),
    makeDelegatedTask({ index: 3, hasRun: true }),
    makeDelegatedTask({ index: 4 }),
  );
});

// Guards against a share whose room for interrupted tasks the others do not learn of (LOST).
test('should keep the room for interrupted tasks by service in the capacity of a share', (t) => {
  const forInterrupted = new Map([
    ['desk', { capacity: 9_000, free: 4_000 }],
    ['archive', { capacity: 0, free: -2_000 }],
  ]);
  const room = { ...NO_CAPACITY, forInterrupted };
  t.deepEqual(decodeShareCapacity(encodeShareCapacity(room)), room);
});

// Guards against an owner that starts jobs which a listing of the store also shows as ended or
// cancelled.
test('should not report a listed job as accepted if it has ended or is cancelled', (t) => {
  const replica = new JobReplica(new ManualClock());
  const delivered: string[] = [];
  replica.listen({
    share: WHOLE_SITE_SHARE_ID,
    onAccepted: ({ accepted }) => delivered.push(accepted.id),
    onCancelled: () => undefined,
    onOwner: () => undefined,
  });
  const accept = (id: string) => ({
    key: `jobs/accepted/${id}`,
    value: encodeAccepted({
      id,
      home: WHOLE_SITE_SHARE_ID,
      queue: makeQueue(),
      acceptedAtMs: 0,
      job: makeJob(makeStep()),
    }),
    revision: 3,
  });
  replica.onListing([
    accept('open'),
    accept('over'),
    accept('gone'),
    { key: 'jobs/cancelled/gone', value: '1', revision: 4 },
    { key: 'jobs/ended/over', value: 'completed', revision: 5 },
  ]);
  t.deepEqual(delivered, ['open']);
  t.is(replica.stateOf('over'), 'completed');
  t.is(replica.stateOf('gone'), 'cancelled');
});

// Guards against an owner that keeps its share because a listing without its lease passes
// unnoticed.
test('should report that a share has no owner if a listing shows no lease', (t) => {
  const replica = new JobReplica(new ManualClock());
  const owners: unknown[] = [];
  replica.listen({
    share: WHOLE_SITE_SHARE_ID,
    onAccepted: () => undefined,
    onCancelled: () => undefined,
    onOwner: (owner) => owners.push(owner),
  });
  replica.onListing([]);
  t.deepEqual(owners, [undefined]);
});

// Guards against late or long-running jobs that take capacity from jobs that can still be in time.
test('should order steps of urgent jobs in time first and those of late jobs last', (t) => {
  const urgent = makeOwned(makeJob(makeStep()), makeQueue({ priority: 0 }), 'urgent');
  const heavy = makeOwned(makeJob(makeStep()), makeQueue({ priority: 2 }), 'heavy');
  const lasting = makeOwned(makeJob(makeStep({ longRunning: true })), makeQueue(), 'lasting');
  const late = makeOwned(
    makeJob(makeStep()),
    makeQueue({ priority: 0, stretch: 0.1, targetLatencyMs: 10 }),
    'late',
  );
  const sorted = new DeadlineStepOrder().sort([late, lasting, heavy, urgent].map(firstStep), 500);
  t.deepEqual(
    sorted.map(({ occurrence }) => occurrence.job.id),
    ['urgent', 'heavy', 'lasting', 'late'],
  );
});

// Guards against a quiet filler that is slowed down because it ran beside a noisy one.
test('should learn which filler image interferes and keep the slopes of the others near the prior', (t) => {
  const slopes = new PairSlopes();
  for (let round = 0; round < 40; round += 1) {
    slopes.learn([{ image: 'noisy', workerFraction: 0.1 }], 0.06);
    slopes.learn([{ image: 'quiet', workerFraction: 0.1 }], 0.002);
    slopes.learn(
      [
        { image: 'noisy', workerFraction: 0.05 },
        { image: 'quiet', workerFraction: 0.1 },
      ],
      0.032,
    );
  }
  t.true(slopes.slope('noisy') > 0.4);
  t.true(slopes.slope('quiet') < 0.1);
  t.true(slopes.slope('unknown') > 0);
});

// Guards against a slope that stays at its first value when a filler's interference changes.
test('should update the slope of a pair of images whose interference changes', (t) => {
  const slopes = new PairSlopes();
  const slopeAfter = (lost: number): number => {
    for (let round = 0; round < 400; round += 1)
      slopes.learn([{ image: 'f', workerFraction: 0.1 }], lost);
    return slopes.slope('f');
  };
  const before = slopeAfter(0.01);
  t.true(slopeAfter(0.08) > 2 * before);
});

// Guards against a lease that the owner treats as expired while a slow worker clock still holds it.
test('should allow for a slow worker clock before it reports that a lease has expired', (t) => {
  const clock = new ManualClock();
  const workerClock = new WorkerClock(clock);
  const hasPassed = (workerMs: number): boolean =>
    clock.monotonicMs() >= workerClock.latestAt(workerMs);
  t.false(hasPassed(0));
  workerClock.addReading(1_000);
  clock.jump(10_000);
  t.false(hasPassed(11_000));
  t.true(hasPassed(10_800));
});

// Guards against a worker that is avoided because the tasks of a single job fail on it.
test('should avoid a worker that fails tasks of several jobs but not one on which a single job fails', (t) => {
  const failingJobHealth = new WorkerHealth();
  const avoidTimes = [0, 1, 2, 3].map((at) => failingJobHealth.recordEnd('job', true, at * 100));
  t.deepEqual(avoidTimes, [0, 0, 0, 0]);
  const failingWorkerHealth = new WorkerHealth();
  failingWorkerHealth.recordEnd('job 1', true, 0);
  const firstAvoidMs = failingWorkerHealth.recordEnd('job 2', true, 100);
  t.true(firstAvoidMs > 0);
  t.true(failingWorkerHealth.recordEnd('job 3', true, 200) > firstAvoidMs);
});

// Guards against jobs in the wrong queue when prefixes or hosts overlap.
test('should route to the queue with the longest matching prefix of the host', (t) => {
  const queues = [
    makeQueue({ name: 'outer', prefix: '/a/' }),
    makeQueue({ name: 'inner', prefix: '/a/b/' }),
    makeQueue({ name: 'other', host: 'else.example', prefix: '/a/b/c/' }),
  ];
  const configuration = {
    version: 1,
    queues,
    standbyServices: new Set<string>(),
    maximumBodyBytes: 1,
  };
  t.is(findQueue(configuration, 'desk.example', '/a/b/c/1')?.name, 'inner');
  t.is(findQueue(configuration, 'desk.example', '/a/1')?.name, 'outer');
  t.is(findQueue(configuration, 'desk.example', '/x'), undefined);
});
