/**
 * Records where each job of a partition is stored: in the head or in one of the chunks.
 */
import { encodeChunk, encodeJob } from './partitionRecord.js';
import type { Job } from './job.js';
import type { PendingChange } from './jobChange.js';

/** Least fraction of a chunk's records that must still be the latest ones to keep the chunk. */
const MINIMUM_LIVE_FRACTION = 0.5;

/** A chunk that has to be stored before a head may refer to it. */
export interface NewChunk {
  readonly name: string;
  readonly text: string;
}

/** Result of a compaction, which moves the jobs of the head into chunks. */
export interface Compaction {
  readonly layout: PartitionLayout;
  readonly newChunks: readonly NewChunk[];
}

/** Immutable map of where each job is stored; a change makes a new layout. */
export class PartitionLayout {
  /**
   * @param chunks - ids of the jobs in each chunk, by the chunk's name, oldest first; if several
   * chunks hold a job, the record in the last of them is valid
   * @param journal - encoded jobs in the head, by id; they take precedence over the chunks
   * @param removed - ids of removed jobs of which a chunk may still hold a record
   */
  constructor(
    readonly chunks: ReadonlyMap<string, ReadonlySet<string>>,
    readonly journal: ReadonlyMap<string, string>,
    readonly removed: ReadonlySet<string>,
  ) {}

  /**
   * Computes the length of the journal.
   *
   * @returns total length of the records in the head, in characters
   */
  journalLength(): number {
    let total = 0;
    for (const text of this.journal.values()) total += text.length;
    return total;
  }

  /**
   * Applies changes to the head.
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
   * Moves all jobs from the head into new chunks. The new chunks come last, so their records take
   * precedence over older ones. An older chunk is kept as long as none of its jobs was removed and
   * at least half of its records are the latest ones; otherwise its latest records are rewritten.
   *
   * @param jobs - the durable jobs, by id
   * @param maximumLength - maximum length of a chunk, in characters
   * @param nextChunkName - makes a unique name for a chunk
   * @returns the new layout, and the chunks to store before a head refers to them
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

  /** Name of the chunk that holds the latest record of a job, by the job's id. */
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
