/**
 * Admission of jobs by the memory of the owner of their home.
 */
import test from 'ava';
import {
  MAXIMUM_OPEN_TASKS_OF_LARGE_JOBS,
  MAXIMUM_OPEN_TASKS_OF_OTHER_JOBS,
  OpenTaskLimit,
} from 'samphirenotch/jobs/admission/openTaskLimit.js';
import { encodeAccepted } from 'samphirenotch/jobs/model/acceptedJob.js';
import { LARGE_JOB_TASKS, type JobSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import {
  ACCEPTED_PREFIX,
  CANCELLED_PREFIX,
  ENDED_PREFIX,
} from 'samphirenotch/jobs/store/jobKeys.js';
import { JobReplica } from 'samphirenotch/jobs/store/jobReplica.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeJob, makeOwnedSite, makeQueue, makeStep } from '../fixtures/jobSite.js';

const HOME = 'dc0';

const LARGEST_JOB = makeJob(makeStep({ count: 20_000 }));

const SMALL_JOB = makeJob(makeStep({ count: 4 }));

/** Makes the rule of an entry with the jobs that it knows. */
const makeEntry = () => {
  const clock = new ManualClock();
  const replica = new JobReplica(clock);
  const limit = new OpenTaskLimit({ replica, clock });
  const queue = makeQueue();
  let revision = 0;
  const put = (key: string, value: string | undefined): void => {
    revision += 1;
    replica.onChange(key, value, revision);
  };
  const isAdmitted = (jobId: string, job: JobSpec, home = HOME): boolean =>
    limit.check({ jobId, queue, home, job }) === undefined;
  const accept = (id: string, job: JobSpec, home = HOME): void =>
    put(ACCEPTED_PREFIX + id, encodeAccepted({ id, home, queue, acceptedAtMs: 0, job }));
  return { clock, limit, queue, put, isAdmitted, accept };
};

const LARGE_JOBS = MAXIMUM_OPEN_TASKS_OF_LARGE_JOBS / 20_000;

/** Accepts as many large jobs as there is room for. */
const fill = ({ accept }: ReturnType<typeof makeEntry>, home = HOME): readonly string[] => {
  const ids = Array.from({ length: LARGE_JOBS }, (_each, index) => `${home}-${index}`);
  ids.forEach((id) => accept(id, LARGEST_JOB, home));
  return ids;
};

// Guards against an owner that is ended at its heap limit by large jobs that other entries have accepted.
test('should refuse a large job whose tasks its home could not hold, and say when to return', (t) => {
  const entry = makeEntry();
  fill(entry);
  const { limit, queue } = entry;
  const refusal = limit.check({ jobId: 'x', queue, home: HOME, job: LARGEST_JOB });
  t.deepEqual(refusal, { reason: 'too many tasks are open', retryAfterMs: 5_000 });
  t.true(entry.isAdmitted('x', LARGEST_JOB, 'dc1'));
});

// Guards against large jobs that can never run and keep all others out.
test('should admit small jobs beside as many large ones as there may be', (t) => {
  const entry = makeEntry();
  fill(entry);
  t.true(entry.isAdmitted('x', SMALL_JOB));
  const least = makeJob(makeStep({ count: LARGE_JOB_TASKS }));
  t.false(entry.isAdmitted('y', least));
  const small = makeJob(makeStep({ count: LARGE_JOB_TASKS - 1 }));
  const count = Math.floor(MAXIMUM_OPEN_TASKS_OF_OTHER_JOBS / (LARGE_JOB_TASKS - 1));
  Array.from({ length: count }, (_each, index) => entry.accept(`small-${index}`, small));
  t.false(entry.isAdmitted('z', small));
});

// Guards against room that is lost with jobs that are over.
test('should admit large jobs again once others are over', (t) => {
  const entry = makeEntry();
  const [ended, cancelled, removed] = fill(entry);
  t.false(entry.isAdmitted('x', LARGEST_JOB));
  [`${ENDED_PREFIX}${ended}`, `${CANCELLED_PREFIX}${cancelled}`].forEach((key) =>
    entry.put(key, key.startsWith(ENDED_PREFIX) ? 'completed' : '1'),
  );
  entry.put(`${ACCEPTED_PREFIX}${removed}`, undefined);
  t.true(entry.isAdmitted('x', LARGEST_JOB));
  t.true(entry.isAdmitted('y', LARGEST_JOB));
  t.true(entry.isAdmitted('z', LARGEST_JOB));
  t.false(entry.isAdmitted('v', LARGEST_JOB));
});

// Guards against jobs that are admitted at once while the store has none of them yet.
test('should count jobs that are being stored, each once', async (t) => {
  const { clock, isAdmitted } = makeEntry();
  const ids = Array.from({ length: LARGE_JOBS }, (_each, index) => `a${index}`);
  t.true([...ids, ...ids].every((id) => isAdmitted(id, LARGEST_JOB)));
  t.false(isAdmitted('x', LARGEST_JOB));
  await clock.advance(5_000);
  t.true(isAdmitted('x', LARGEST_JOB));
});

// Guards against schedules that are refused for occurrences that are held one after the other.
test('should count one occurrence of a schedule, and all if their tasks never end', (t) => {
  const schedule = { repeatCount: 8_640, startAtMs: 0, intervalMs: 10_000 };
  const { isAdmitted, accept } = makeEntry();
  const ordinary = { ...makeJob(makeStep({ count: 2 })), ...schedule };
  Array.from({ length: 100 }, (_each, index) => accept(`s${index}`, ordinary));
  t.true(isAdmitted('x', LARGEST_JOB));
  const lasting = { ...makeJob(makeStep({ count: 2, longRunning: true })), ...schedule };
  Array.from({ length: 4 }, (_each, index) => accept(`l${index}`, lasting));
  t.false(isAdmitted('y', LARGEST_JOB));
});

// Guards against an owner that is ended at its heap limit by large jobs that several entries have accepted at once, and
// against large jobs that keep small ones out.
test('should accept no more large jobs at once at several entries than at one', async (t) => {
  const { site, owner } = await makeOwnedSite({ milliCores: 500 });
  const entries = [owner, site.start('b'), site.start('c')];
  await site.run(500);
  const submitted = Array.from({ length: 12 }, (_each, index) => {
    const { commands } = (entries[index % entries.length] ?? owner).entry.callerApi;
    const call = callWithin(site.clock, 3_000);
    return commands.submit(`00000000000000${10 + index}`, site.queue, LARGEST_JOB, call);
  });
  await site.run(3_000);
  const outcomes = await Promise.all(submitted);
  t.is(outcomes.filter(({ kind }) => kind === 'done').length, LARGE_JOBS);
  t.true(outcomes.every(({ kind }) => kind === 'done' || kind === 'refused'));
  t.is(await site.submit(owner, '00000000000000b0', SMALL_JOB), 'done');
});

// Guards against a job that is refused, and runs: it was stored although its first answer was lost.
test('should accept a large job once if the answer of the store is lost', async (t) => {
  const { site, owner } = await makeOwnedSite();
  const large = makeJob(makeStep({ count: LARGE_JOB_TASKS }));
  owner.store.failCommitsUnder('jobs/accepted/', 'answer-lost');
  t.is(await site.submit(owner, '00000000000000a1', large), 'done');
  t.is(await site.submit(owner, '00000000000000a1', large), 'done');
});

// Guards against a rule that no entry applies.
test('should refuse a large job at an entry whose site has too many open tasks', async (t) => {
  const { site, owner } = await makeOwnedSite({ milliCores: 500 });
  const outcomes: string[] = [];
  for (let index = 0; index <= LARGE_JOBS; index += 1) {
    outcomes.push(await site.submit(owner, `00000000000000a${index}`, LARGEST_JOB));
  }
  t.deepEqual(outcomes, [...Array.from({ length: LARGE_JOBS }, () => 'done'), 'refused']);
  t.is(await site.submit(owner, '00000000000000b0', SMALL_JOB), 'done');
});
