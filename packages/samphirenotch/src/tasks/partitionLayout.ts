/**
 * Which job of a partition is stored where: in the head, or in one of the chunks.
 */
import { encodeChunk, encodeJob } from './partitionRecord.js';
import type { Job } from './job.js';
import type { PendingChange } from './jobChange.js';

/** Share of a chunk's jobs that must still count for the chunk to stay. */
const MINIMUM_LIVE_FRACTION = 0.5;

/** A chunk that has to be written before a head may name it. */
export interface NewChunk {
  readonly name: string;
  readonly text: string;
}

/** The chunks that folding the head's jobs into chunks leaves behind. */
export interface Compaction {
  readonly layout: PartitionLayout;
  readonly newChunks: readonly NewChunk[];
}

/** A value that says where each job is; changes make a new value. */
export class PartitionLayout {
  /**
   * @param chunks - jobs of each chunk, by the chunk's name; the copy in the last one counts
   * @param journal - encoded jobs in the head, by id
   * @param removed - ids of jobs that a chunk holds but that exist no more
   */
  constructor(
    readonly chunks: ReadonlyMap<string, ReadonlySet<string>>,
    readonly journal: ReadonlyMap<string, string>,
    readonly removed: ReadonlySet<string>,
  ) {}

  /**
   * Adds up the jobs in the head.
   *
   * @returns characters of their records
   */
  journalLength(): number {
    let total = 0;
    for (const text of this.journal.values()) total += text.length;
    return total;
  }

  /**
   * Puts changes into the head.
   *
   * @param changes - the changes, in order
   * @returns the layout after them
   */
  withChanges(changes: readonly PendingChange[]): PartitionLayout {
    const journal = new Map(this.journal);
    const removed = new Set(this.removed);
    for (const { jobId, job, text } of changes) {
      if (job) {
        journal.set(jobId, text);
        removed.delete(jobId);
        continue;
      }
      journal.delete(jobId);
      removed.add(jobId);
    }
    return new PartitionLayout(this.chunks, journal, removed);
  }

  /**
   * Moves all jobs from the head into new chunks, which come last and so count before older copies.
   * An older chunk stays as long as nothing in it was removed and at least half of it counts.
   *
   * @param jobs - the durable jobs, by id
   * @param maximumLength - characters that a chunk may have
   * @param nextChunkName - makes names of chunks
   * @returns the layout after it and what has to be written first
   */
  compact(
    jobs: ReadonlyMap<string, Job>,
    maximumLength: number,
    nextChunkName: () => string,
  ): Compaction {
    const chunks = new Map<string, ReadonlySet<string>>();
    const recordsToWrite = new Map(this.journal);
    const latest = this.latestChunkByJob();
    for (const [name, ids] of this.chunks) {
      const liveIds = [...ids].filter((id) => latest.get(id) === name && !this.journal.has(id));
      if (liveIds.length >= ids.size * MINIMUM_LIVE_FRACTION && !this.containsRemovedJob(ids)) {
        chunks.set(name, ids);
        continue;
      }
      for (const id of liveIds) {
        const job = jobs.get(id);
        if (job && !this.removed.has(id)) recordsToWrite.set(id, encodeJob(job));
      }
    }
    const newChunks: NewChunk[] = [];
    for (const group of this.splitByLength(recordsToWrite, maximumLength)) {
      const name = nextChunkName();
      chunks.set(name, new Set(group.map(([id]) => id)));
      newChunks.push({ name, text: encodeChunk(group.map(([, text]) => text)) });
    }
    return { layout: new PartitionLayout(chunks, new Map(), new Set()), newChunks };
  }

  /** The chunk whose copy of a job counts, by the job's id. */
  private latestChunkByJob(): ReadonlyMap<string, string> {
    const latest = new Map<string, string>();
    for (const [name, ids] of this.chunks) {
      for (const id of ids) latest.set(id, name);
    }
    return latest;
  }

  private containsRemovedJob(ids: ReadonlySet<string>): boolean {
    for (const id of this.removed) {
      if (ids.has(id)) return true;
    }
    return false;
  }

  private splitByLength(
    texts: ReadonlyMap<string, string>,
    maximumLength: number,
  ): readonly (readonly [string, string][])[] {
    const splitByLength: [string, string][][] = [];
    let length = Infinity;
    for (const entry of texts) {
      if (length + entry[1].length > maximumLength) {
        splitByLength.push([]);
        length = 0;
      }
      splitByLength.at(-1)?.push(entry);
      length += entry[1].length;
    }
    return splitByLength;
  }
}
