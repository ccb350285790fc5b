/**
 * A partition of jobs in this process, whose commits are counted.
 *
 * @packageDocumentation
 */

import { MemoryKeyValueStore } from 'samphirenotch-stand-ins/memoryKeyValueStore.js';
import { SilentRecorder } from 'samphirenotch/observability/recorder.js';
import { GroupCommit } from 'samphirenotch/tasks/groupCommit.js';
import type { Job } from 'samphirenotch/tasks/job.js';
import { loadPartition, type LoadedPartition } from 'samphirenotch/tasks/partitionLoad.js';
import { TaskRandom } from 'samphirenotch/tasks/taskRandom.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { CountedStore } from './countedStore.js';

const PARTITION = 'partition/Ashburton/0';
const PAYLOAD = 'x'.repeat(200);
const UNBOUNDED = { readsPerSecond: Infinity, writesPerSecond: Infinity };
const SEED = 1;

/** What taking a partition over took. */
export interface Recovery {
  readonly durationMs: number;
  readonly readBytes: number;
  readonly jobs: number;
}

/** A partition with one owner at a time. */
export class PartitionTrial {
  readonly store: CountedStore;

  private readonly clock = new SystemClock();

  private readonly random = new TaskRandom('costs', SEED);

  private readonly durable = new Map<string, Job>();

  private readonly ended = new AbortController();

  private commit: GroupCommit | undefined;

  private epoch = 0;

  constructor() {
    this.store = new CountedStore(new MemoryKeyValueStore(this.clock, UNBOUNDED));
  }

  /**
   * Takes the partition over and begins to write.
   *
   * @returns what it took
   */
  async open(): Promise<Recovery> {
    const recovery = await this.recover();
    const { layout, jobs, headRevision: revision, chunkRevisions } = recovery.loaded;
    jobs.forEach((job, id) => this.durable.set(id, job));
    const context = {
      ...this.context(),
      onDurable: (changes: readonly { readonly jobId: string; readonly job?: Job }[]): void =>
        changes.forEach(({ jobId, job }) => job && this.durable.set(jobId, job)),
    };
    this.commit = new GroupCommit(context, layout, this.durable, revision, chunkRevisions);
    this.commit.run().catch((error: unknown) => console.error(error));
    return recovery;
  }

  /**
   * Takes the partition over and does nothing else.
   *
   * @returns what it took
   */
  async recover(): Promise<Recovery & { readonly loaded: LoadedPartition }> {
    this.epoch += 1;
    const readBefore = this.store.readBytes;
    const startedMs = performance.now();
    const loaded = await loadPartition({ ...this.context(), signal: new AbortController().signal });
    const durationMs = performance.now() - startedMs;
    if (!loaded.ok) throw new Error(loaded.val.message);
    const readBytes = this.store.readBytes - readBefore;
    return { durationMs, readBytes, jobs: loaded.val.jobs.size, loaded: loaded.val };
  }

  /**
   * Stores a record of a job.
   *
   * @param index - which job
   * @param change - fields that differ from a job that was just submitted
   */
  async put(index: number, change: Partial<Job> = {}): Promise<void> {
    const job: Job = { ...this.newJob(index), ...change };
    const stored = await this.commit?.add({ jobId: job.id, job, failFast: false });
    if (!stored?.ok) throw new Error(stored?.val.message ?? 'The partition is not open.');
  }

  /** Ends the writing. */
  close(): void {
    this.ended.abort();
  }

  private newJob(index: number): Job {
    return {
      id: `Ashburton~0~${String(index).padStart(32, '0')}`,
      partition: PARTITION,
      taskClass: 'settlement',
      tenant: 'desk',
      payload: PAYLOAD,
      digest: 'd'.repeat(32),
      submittedAtMs: this.clock.wallMs(),
      state: 'queued',
      stateSinceMs: this.clock.wallMs(),
      attempts: 0,
      failedAttempts: 0,
      evictions: 0,
      notBeforeMs: 0,
      excludedWorkers: [],
      cancelRequested: false,
    };
  }

  private context() {
    return {
      store: this.store,
      clock: this.clock,
      random: this.random,
      recorder: new SilentRecorder(),
      partition: PARTITION,
      owner: `owner-${this.epoch}`,
      epoch: this.epoch,
      signal: this.ended.signal,
      onOwnershipLost: (): void => {},
      onStoreRecovered: (): void => {},
    };
  }
}
