/**
 * Compaction of the chunks of a partition: its write volume depends on the number of changes, not
 * on the number of jobs.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import test from 'ava';
import type { Job } from 'samphirenotch/tasks/job.js';
import { PartitionLayout } from 'samphirenotch/tasks/partitionLayout.js';
import { encodeJob } from 'samphirenotch/tasks/partitionRecord.js';

const JOB_COUNT = 1000;
const CHANGES_PER_COMPACTION = 20;
const COMPACTIONS = 200;
const MAXIMUM_CHUNK_LENGTH = 8 * 1024;

const jobOf = (id: string, attempts: number): Job => ({
  id,
  partition: 'partition/timaru/0',
  taskClass: 'plan',
  tenant: 'desk',
  payload: 'x'.repeat(100),
  digest: 'd',
  submittedAtMs: 0,
  state: 'queued',
  stateSinceMs: 0,
  attempts,
  failedAttempts: 0,
  evictions: 0,
  notBeforeMs: 0,
  excludedWorkers: [],
  cancelRequested: false,
});

/** Applies and compacts random changes repeatedly, and keeps all chunks like a store. */
const compactRepeatedly = (withRemovals: boolean) => {
  const random = xoroshiro128plus(7);
  const draw = (end: number): number => uniformInt(random, 0, end - 1);
  const jobs = new Map<string, Job>();
  const stored = new Map<string, string>();
  let layout = new PartitionLayout(new Map(), new Map(), new Set());
  let chunkCount = 0;
  const nextChunkName = (): string => {
    chunkCount += 1;
    return `c${chunkCount}`;
  };
  let changed = 0;
  let written = 0;
  const put = (id: string, job: Job | undefined): void => {
    const text = job ? encodeJob(job) : '';
    changed += text.length;
    layout = layout.withChanges([
      { jobId: id, ...(job ? { job } : {}), text, bytes: 0, failFast: false, settle: () => {} },
    ]);
    if (job) jobs.set(id, job);
    else jobs.delete(id);
  };
  const compact = (): void => {
    const next = layout.compact(jobs, MAXIMUM_CHUNK_LENGTH, () => nextChunkName());
    next.newChunks.forEach(({ name, text }) => {
      written += text.length;
      stored.set(name, text);
    });
    layout = next.layout;
  };
  const read = (): ReadonlyMap<string, number> => {
    const found = new Map<string, number>();
    for (const name of layout.chunks.keys()) {
      const chunk = JSON.parse(stored.get(name) ?? '') as { readonly jobs: readonly Job[] };
      chunk.jobs.forEach(({ id, attempts }) => found.set(id, attempts));
    }
    return found;
  };
  for (let index = 0; index < JOB_COUNT; index += 1) put(`j${index}`, jobOf(`j${index}`, 0));
  compact();
  for (let round = 1; round <= COMPACTIONS; round += 1) {
    for (let change = 0; change < CHANGES_PER_COMPACTION; change += 1) {
      const id = `j${draw(JOB_COUNT)}`;
      put(id, withRemovals && draw(4) === 0 ? undefined : jobOf(id, round));
    }
    compact();
  }
  const held = new Map([...jobs.values()].map(({ id, attempts }) => [id, attempts]));
  return { changed, written, held, read: read() };
};

// Guards against an outdated record, or the record of a removed job, being read back from a chunk.
for (const withRemovals of [false, true]) {
  test(`should find the latest record of each job in the chunks, removals: ${withRemovals}`, (t) => {
    const { held, read } = compactRepeatedly(withRemovals);
    t.deepEqual([...read].sort(), [...held].sort());
  });
}

// Guards against write amplification: compactions that rewrite chunks whose jobs did not change.
test('should write at most twice what was changed, however many jobs there are', (t) => {
  const { changed, written } = compactRepeatedly(false);
  t.true(written <= 2 * changed);
});
