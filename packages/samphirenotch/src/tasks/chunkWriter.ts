/**
 * Writes and removes the chunks of a partition: the records in the store that hold the jobs which
 * are not in the partition's head.
 */
import pLimit from 'p-limit';
import { Ok, type Result } from '../results.js';
import { callWithin } from '../time/call.js';
import type { Failure } from '../failure.js';
import type { Recorder } from '../observability/recorder.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import type { Clock } from '../time/clock.js';
import { chunkKey } from './partitionRecord.js';
import { STORE_TIMEOUT_MS } from './taskSettings.js';
import type { NewChunk } from './partitionLayout.js';

const MAXIMUM_CONCURRENT_WRITES = 4;
const MAXIMUM_REMOVALS_PER_COMMIT = 4;

/** Writes and removes the chunks of one partition. */
export class ChunkWriter {
  private readonly limit = pLimit(MAXIMUM_CONCURRENT_WRITES);

  private readonly discarded: string[] = [];

  /**
   * @param store - store that holds the chunks
   * @param clock - clock for the time limits of calls
   * @param recorder - counts writes and removals
   * @param partition - resource name of the partition
   * @param revisions - store revisions of the chunks that exist, by name
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly recorder: Recorder,
    private readonly partition: string,
    private readonly revisions: Map<string, number>,
  ) {}

  /**
   * Writes chunks that no head refers to yet. If one of them cannot be written, all are discarded.
   *
   * @param chunks - the chunks
   * @param signal - aborts the calls
   * @returns nothing once all chunks are stored, or why one of them is not
   */
  async write(chunks: readonly NewChunk[], signal: AbortSignal): Promise<Result<void, Failure>> {
    const writes = chunks.map((chunk) => this.limit(() => this.writeOne(chunk, signal)));
    const results = await Promise.all(writes);
    const failed = results.find((result) => result.err);
    if (!failed) return Ok(undefined);
    this.discard(chunks.map(({ name }) => name));
    return failed;
  }

  /**
   * Marks chunks for removal. No head may refer to them, now or later.
   *
   * @param names - names of the chunks
   */
  discard(names: readonly string[]): void {
    this.discarded.push(...names);
  }

  /**
   * Checks whether discarded chunks have still to be removed.
   *
   * @returns true if there are any
   */
  hasDiscarded(): boolean {
    return this.discarded.length > 0;
  }

  /**
   * Removes a few of the discarded chunks. Those that cannot be removed are tried again later.
   *
   * @param signal - aborts the calls
   */
  async removeDiscarded(signal: AbortSignal): Promise<void> {
    for (const name of this.discarded.splice(0, MAXIMUM_REMOVALS_PER_COMMIT)) {
      const revision = this.revisions.get(name);
      if (revision === undefined) continue;
      const call = callWithin(this.clock, STORE_TIMEOUT_MS, signal);
      this.recorder.count('task_chunk_removals');
      const removed = await this.store.remove(chunkKey(this.partition, name), revision, call);
      if (removed.err) this.discarded.push(name);
      else this.revisions.delete(name);
    }
  }

  private async writeOne(
    { name, text }: NewChunk,
    signal: AbortSignal,
  ): Promise<Result<void, Failure>> {
    const call = callWithin(this.clock, STORE_TIMEOUT_MS, signal);
    const swap = { key: chunkKey(this.partition, name), expectedRevision: 0, value: text };
    this.recorder.count('task_chunk_writes');
    const answer = await this.store.swap(swap, call);
    if (answer.err) return answer;
    if (answer.val.kind === 'swapped') this.revisions.set(name, answer.val.revision);
    return Ok(undefined);
  }
}
