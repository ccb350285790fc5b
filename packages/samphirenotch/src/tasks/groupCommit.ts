/**
 * Group commit of job changes: at most one compare-and-swap of the partition's head is in progress,
 * and the next one contains the changes that were added in the meantime.
 */
import type { Failure } from '../failure.js';
import { partLog } from '../observability/log.js';
import { Err, Ok, type Result } from '../results.js';
import type { Recorder } from '../observability/recorder.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import type { Clock } from '../time/clock.js';
import { ChunkWriter } from './chunkWriter.js';
import { CommitPace } from './commitPace.js';
import { HeadWriter, type HeadWriteOutcome, type HeadWrite } from './headWriter.js';
import { encodeHead, encodeJob } from './partitionRecord.js';
import {
  MAXIMUM_BATCH_BYTES,
  MAXIMUM_CHUNK_LENGTH,
  MINIMUM_COMMIT_INTERVAL_MS,
  MAXIMUM_JOURNAL_LENGTH,
} from './taskSettings.js';
import { ownershipLost, storeUnavailable } from './taskFailure.js';
import { Wakeup } from '../time/wakeup.js';
import type { Job } from './job.js';
import type { JobChange, PendingChange } from './jobChange.js';
import type { Compaction, PartitionLayout } from './partitionLayout.js';
import type { TaskRandom } from './taskRandom.js';

const log = partLog('task-store');

const STEP = 'tasks.commit';
const IDLE_WAIT_MS = 60_000;
/** Values are kept to this fraction of the largest value that the store accepts, as a margin. */
const MAXIMUM_VALUE_DIVISOR = 4;

/** Dependencies of the commits of one partition. */
export interface CommitContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly random: TaskRandom;
  readonly recorder: Recorder;
  /** Resource name of the partition. */
  readonly partition: string;
  /** Id of the entry that owns the partition. */
  readonly owner: string;
  /** Epoch of that ownership. */
  readonly epoch: number;
  /** Aborted when the partition is given up. */
  readonly signal: AbortSignal;
  /** Called with changes once they are durable, in the order in which they were added. */
  readonly onDurable: (changes: readonly JobChange[]) => void;
  /** Called once when the head in the store is gone or was written by another owner. */
  readonly onOwnershipLost: () => void;
  /** Called when the store answers again, with the length of the outage in milliseconds. */
  readonly onStoreRecovered: (outageMs: number) => void;
}

/** A write of the head, with the layout, changes and new chunks that become valid with it. */
interface Commit extends HeadWrite {
  readonly layout: PartitionLayout;
  readonly changes: readonly PendingChange[];
  readonly chunks: readonly string[];
}

/** Writes the job records of one partition. */
export class GroupCommit {
  private pending: PendingChange[] = [];

  private storeAnswers = true;

  private unansweredSinceMs = 0;

  private hasLostOwnership = false;

  private readonly pace: CommitPace;

  private readonly wakeup: Wakeup;

  private readonly head: HeadWriter<Commit>;

  private readonly chunks: ChunkWriter;

  private readonly maximumValueLength: number;

  /**
   * @param context - dependencies of the commits
   * @param layout - which record in the store holds which durable job
   * @param durable - the durable jobs by id; the caller updates them in `onDurable`
   * @param revision - store revision of the partition's head
   * @param chunkRevisions - store revisions of the chunks that exist, by name
   */
  constructor(
    private readonly context: CommitContext,
    private layout: PartitionLayout,
    private readonly durable: ReadonlyMap<string, Job>,
    revision: number,
    chunkRevisions: Map<string, number>,
  ) {
    const { store, clock, recorder, partition } = context;
    this.head = new HeadWriter(store, clock, partition, revision);
    this.chunks = new ChunkWriter(store, clock, recorder, partition, chunkRevisions);
    this.pace = new CommitPace(context.random);
    this.wakeup = new Wakeup(clock);
    const referenced = new Set(layout.chunks.keys());
    this.chunks.discard([...chunkRevisions.keys()].filter((name) => !referenced.has(name)));
    this.maximumValueLength = Math.floor(store.maximumValueBytes / MAXIMUM_VALUE_DIVISOR);
  }

  /**
   * Checks whether the store answered the last call.
   *
   * @returns false during an outage
   */
  isStoreAnswering(): boolean {
    return this.storeAnswers;
  }

  /**
   * Adds a change to the next commit.
   *
   * @param change - the change
   * @returns nothing once the change is durable, or why it is not
   */
  add(change: JobChange): Promise<Result<void, Failure>> {
    if (this.hasLostOwnership || this.context.signal.aborted) {
      return Promise.resolve(Err(ownershipLost(STEP, this.context.partition, 'not-run')));
    }
    if (change.failFast && !this.storeAnswers)
      return Promise.resolve(Err(storeUnavailable(STEP, this.context.partition)));
    const text = change.job ? encodeJob(change.job) : '';
    return new Promise((resolve) => {
      const bytes = Buffer.byteLength(text);
      this.pending.push({ ...change, text, bytes, settle: resolve });
      this.wakeup.wake();
    });
  }

  /** Waits until all changes are durable or the partition is given up. */
  async drain(): Promise<void> {
    const { clock, signal } = this.context;
    while (this.pending.length > 0 && !signal.aborted && !this.hasLostOwnership) {
      await clock.sleep(MINIMUM_COMMIT_INTERVAL_MS, signal);
    }
  }

  /** Commits changes until the partition is given up, then fails those that remain. */
  async run(): Promise<void> {
    const { clock, signal } = this.context;
    while (!signal.aborted && !this.hasLostOwnership) {
      if (this.isIdle()) await this.wakeup.wait(IDLE_WAIT_MS, signal);
      if (signal.aborted) break;
      const startedMs = clock.monotonicMs();
      await this.commitOnce();
      const nextMs = startedMs + this.pace.nextIntervalMs();
      const waitMs = this.storeAnswers ? nextMs - clock.monotonicMs() : this.pace.backoffMs();
      await clock.sleep(waitMs, signal);
    }
    this.failPending();
  }

  private async commitOnce(): Promise<void> {
    if (this.pending.length === 0) {
      await this.workWithoutChanges();
      return;
    }
    const commit = await this.prepareCommit();
    if (commit.err) {
      this.handleFailure(commit.val);
      return;
    }
    this.context.recorder.count('task_commits');
    const outcome = await this.head.write(commit.val, this.context.signal);
    this.applyOutcome(outcome);
    if (outcome.kind === 'stored') await this.chunks.removeDiscarded(this.context.signal);
  }

  private async workWithoutChanges(): Promise<void> {
    const { signal } = this.context;
    if (this.storeAnswers) await this.chunks.removeDiscarded(signal);
    else this.recordAnswer((await this.head.probe(signal)).ok);
  }

  private isIdle(): boolean {
    return this.pending.length === 0 && this.storeAnswers && !this.chunks.hasDiscarded();
  }

  private applyOutcome(outcome: HeadWriteOutcome<Commit>): void {
    if (outcome.kind === 'failed') {
      this.handleFailure(outcome.failure);
      return;
    }
    if (outcome.kind === 'lost') {
      log.warn('Partition has another owner.', {
        partition: this.context.partition,
        owner: outcome.owner,
      });
      this.hasLostOwnership = true;
      this.context.onOwnershipLost();
      return;
    }
    this.applyStored(outcome.write, outcome.superseded);
    this.recordAnswer(true);
  }

  private applyStored(commit: Commit, superseded: readonly Commit[]): void {
    const kept = new Set(commit.layout.chunks.keys());
    const unused = [...this.layout.chunks.keys(), ...superseded.flatMap((each) => each.chunks)];
    this.chunks.discard(unused.filter((name) => !kept.has(name)));
    this.layout = commit.layout;
    const stored = new Set(commit.changes);
    this.pending = this.pending.filter((change) => !stored.has(change));
    this.context.onDurable(commit.changes);
    for (const change of commit.changes) change.settle(Ok(undefined));
  }

  private handleFailure(failure: Failure): void {
    log.warn('Store did not accept a commit.', {
      partition: this.context.partition,
      failure: failure.message,
    });
    if (failure.code === 'overloaded' && failure.effect === 'not-run') {
      this.pace.recordOverload();
      return;
    }
    this.recordAnswer(false);
    const unconfirmed = new Set(this.head.unconfirmedWrites().flatMap((write) => write.changes));
    // A change whose write may have been applied must stay pending: its outcome is not known yet.
    const refused = this.pending.filter((change) => change.failFast && !unconfirmed.has(change));
    this.pending = this.pending.filter((change) => !refused.includes(change));
    for (const change of refused)
      change.settle(Err(storeUnavailable(STEP, this.context.partition)));
  }

  private recordAnswer(hasAnswered: boolean): void {
    const nowMs = this.context.clock.monotonicMs();
    const hasRecovered = hasAnswered && !this.storeAnswers;
    if (!hasAnswered && this.storeAnswers) this.unansweredSinceMs = nowMs;
    this.storeAnswers = hasAnswered;
    if (hasAnswered) this.pace.recordAnswer();
    else this.pace.recordNoAnswer();
    if (hasRecovered) this.context.onStoreRecovered(nowMs - this.unansweredSinceMs);
  }

  private async prepareCommit(): Promise<Result<Commit, Failure>> {
    const { random, owner, epoch } = this.context;
    const compaction = await this.compactHead();
    if (compaction.err) return compaction;
    const changes = this.nextBatch();
    const layout = compaction.val.layout.withChanges(changes);
    const writeId = `${owner}-${epoch}-${random.uniqueId()}`;
    const text = encodeHead({
      writeId,
      owner,
      epoch,
      chunks: [...layout.chunks.keys()],
      removed: [...layout.removed],
      jobs: [...layout.journal.values()],
    });
    const chunks = compaction.val.newChunks.map(({ name }) => name);
    return Ok({ writeId, text, layout, changes, chunks });
  }

  /**
   * Moves the jobs in the head into chunks once they exceed the journal length. If the chunks
   * cannot be written, the head grows further, up to the maximum length of a value.
   */
  private async compactHead(): Promise<Result<Compaction, Failure>> {
    const { random, epoch, signal } = this.context;
    const withoutCompaction = { layout: this.layout, newChunks: [] };
    const length = this.layout.journalLength();
    if (length <= Math.min(MAXIMUM_JOURNAL_LENGTH, this.maximumValueLength))
      return Ok(withoutCompaction);
    const maximum = Math.min(MAXIMUM_CHUNK_LENGTH, this.maximumValueLength);
    const compaction = this.layout.compact(
      this.durable,
      maximum,
      () => `${epoch}-${random.uniqueId()}`,
    );
    const stored = await this.chunks.write(compaction.newChunks, signal);
    if (stored.ok) return Ok(compaction);
    return length <= this.maximumValueLength ? Ok(withoutCompaction) : stored;
  }

  private nextBatch(): readonly PendingChange[] {
    const limit = Math.min(MAXIMUM_BATCH_BYTES, this.maximumValueLength);
    let bytes = 0;
    const end = this.pending.findIndex((change, index) => {
      bytes += change.bytes;
      return index > 0 && bytes > limit;
    });
    return end < 0 ? [...this.pending] : this.pending.slice(0, end);
  }

  private failPending(): void {
    const unconfirmed = new Set(this.head.unconfirmedWrites().flatMap((write) => write.changes));
    for (const change of this.pending.splice(0)) {
      const effect = unconfirmed.has(change) ? 'unknown' : 'not-run';
      change.settle(Err(ownershipLost(STEP, this.context.partition, effect)));
    }
  }
}
