/**
 * Retention of ended jobs and their idempotency keys.
 */
import test from 'ava';
import type { Job } from 'samphirenotch/tasks/job.js';
import { makeJobId, uniquePartOfKey, uniquePartWithoutKey } from 'samphirenotch/tasks/jobId.js';
import { jobsToDrop } from 'samphirenotch/tasks/retention.js';
import { MAXIMUM_ENDED_JOBS, RETENTION_MS } from 'samphirenotch/tasks/taskSettings.js';
import { PARTITION } from '../fixtures/taskWorld.js';

const endedJob = (unique: string, stateSinceMs: number): Job => ({
  id: makeJobId(PARTITION, unique),
  partition: PARTITION,
  taskClass: 'plan',
  tenant: 'desk',
  payload: '',
  digest: '',
  submittedAtMs: 0,
  state: 'completed',
  stateSinceMs,
  attempts: 1,
  failedAttempts: 0,
  evictions: 0,
  notBeforeMs: 0,
  excludedWorkers: [],
  cancelRequested: false,
});

// Guards against ended jobs that are dropped too early or never.
test('should drop ended jobs after the retention period, with or without a key', (t) => {
  const nowMs = 10 * RETENTION_MS;
  const old = [
    endedJob(uniquePartOfKey('desk', 'a'), nowMs - RETENTION_MS - 1),
    endedJob(uniquePartWithoutKey('b'), nowMs - RETENTION_MS - 1),
  ];
  const fresh = endedJob(uniquePartWithoutKey('c'), nowMs - RETENTION_MS + 1);
  t.deepEqual(jobsToDrop([...old, fresh], nowMs), old);
});

// Guards against a repeated submission that runs twice, because its key was dropped to make room
// for other ended jobs.
test('should keep every key for the retention period however many jobs there are', (t) => {
  const nowMs = RETENTION_MS;
  const keyed = endedJob(uniquePartOfKey('desk', 'a'), nowMs);
  const others = Array.from({ length: MAXIMUM_ENDED_JOBS }, (_, index) =>
    endedJob(uniquePartWithoutKey(`${index}`), nowMs),
  );
  t.deepEqual(jobsToDrop([keyed, ...others], nowMs), []);
  const crowded = [keyed, ...others, endedJob(uniquePartWithoutKey('last'), nowMs)];
  t.deepEqual(jobsToDrop(crowded, nowMs), [others[0]]);
});
