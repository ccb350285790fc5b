/**
 * Takes over a partition: reads its records, then writes its own epoch into the head by
 * compare-and-swap. From then on a swap by the former owner fails with a conflict.
 */
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import { callWithin } from '../time/call.js';
import type { KeyValue } from '../infrastructure/keyValueStore.js';
import type { CommitContext } from './groupCommit.js';
import { PartitionLayout } from './partitionLayout.js';
import {
  chunkKey,
  decodeChunk,
  decodeHead,
  encodeHead,
  encodeJob,
  headKey,
  keyPrefixOf,
  type PartitionHead,
} from './partitionRecord.js';
import { STORE_TIMEOUT_MS } from './taskSettings.js';
import type { Job } from './job.js';

/** Contents of a partition at its takeover. */
export interface LoadedPartition {
  readonly layout: PartitionLayout;
  readonly jobs: ReadonlyMap<string, Job>;
  /** Store revision of the head, as written by the takeover. */
  readonly headRevision: number;
  /** Store revisions of all chunks, by name, including chunks that no head refers to. */
  readonly chunkRevisions: Map<string, number>;
}

/** Components that loading uses. */
export type LoadContext = Omit<CommitContext, 'onDurable'>;

/** Contents of a partition as stored before the takeover. */
interface StoredPartition {
  readonly head: PartitionHead;
  readonly headRevision: number;
  readonly layout: PartitionLayout;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly chunkRevisions: Map<string, number>;
}

const EMPTY_HEAD: PartitionHead = {
  writeId: '',
  owner: '',
  epoch: 0,
  chunks: [],
  removed: [],
  jobs: [],
};

const internalFailure = (partition: string, message: string): Failure =>
  new Failure({
    code: 'internal',
    step: 'tasks.load',
    peer: partition,
    effect: 'not-run',
    message,
  });

const supersededFailure = (partition: string, owner: string): Failure =>
  new Failure({
    code: 'not-owner',
    step: 'tasks.load',
    peer: partition,
    effect: 'not-run',
    message: `${owner} took the partition over later`,
  });

const assemblePartition = (
  partition: string,
  head: PartitionHead,
  items: ReadonlyMap<string, KeyValue>,
): Result<Omit<StoredPartition, 'headRevision' | 'chunkRevisions'>, Failure> => {
  const jobs = new Map<string, Job>();
  const chunks = new Map<string, ReadonlySet<string>>();
  for (const name of head.chunks) {
    const key = chunkKey(partition, name);
    const item = items.get(key);
    if (!item) return Err(internalFailure(partition, `chunk ${name} is missing`));
    const chunk = decodeChunk(item.value, key);
    if (chunk.err) return chunk;
    chunks.set(name, new Set(chunk.val.map(({ id }) => id)));
    for (const job of chunk.val) jobs.set(job.id, job);
  }
  for (const id of head.removed) jobs.delete(id);
  for (const job of head.jobs) jobs.set(job.id, job);
  const journal = new Map(head.jobs.map((job) => [job.id, encodeJob(job)]));
  const layout = new PartitionLayout(chunks, journal, new Set(head.removed));
  return Ok({ head, layout, jobs });
};

const readPartition = async (context: LoadContext): Promise<Result<StoredPartition, Failure>> => {
  const { store, clock, partition, signal } = context;
  const call = callWithin(clock, STORE_TIMEOUT_MS, signal);
  const listing = await store.list(keyPrefixOf(partition), call);
  if (listing.err) return listing;
  const items = new Map(listing.val.items.map((item) => [item.key, item]));
  const key = headKey(partition);
  const stored = items.get(key);
  const head = stored ? decodeHead(stored.value, key) : Ok(EMPTY_HEAD);
  if (head.err) return head;
  const assembled = assemblePartition(partition, head.val, items);
  if (assembled.err) return assembled;
  const chunkPrefix = chunkKey(partition, '');
  const chunkRevisions = new Map(
    listing.val.items
      .filter((item) => item.key.startsWith(chunkPrefix))
      .map((item) => [item.key.slice(chunkPrefix.length), item.revision]),
  );
  return Ok({ ...assembled.val, headRevision: stored?.revision ?? 0, chunkRevisions });
};

/**
 * Takes over a partition. After a failure with the code `not-owner` a newer owner exists, and a
 * retry is useless; other failures may be retried.
 *
 * @param context - the new owner
 * @returns the records and the revision of the head
 */
export const loadPartition = async (
  context: LoadContext,
): Promise<Result<LoadedPartition, Failure>> => {
  const { store, clock, partition, owner, epoch, random, signal } = context;
  const stored = await readPartition(context);
  if (stored.err) return stored;
  const { head, layout, jobs, headRevision, chunkRevisions } = stored.val;
  if (head.epoch > epoch) return Err(supersededFailure(partition, head.owner));
  const text = encodeHead({
    writeId: `${owner}-${epoch}-${random.uniqueId()}`,
    owner,
    epoch,
    chunks: head.chunks,
    removed: head.removed,
    jobs: [...layout.journal.values()],
  });
  const call = callWithin(clock, STORE_TIMEOUT_MS, signal);
  const key = headKey(partition);
  const claimed = await store.swap({ key, expectedRevision: headRevision, value: text }, call);
  if (claimed.err) return claimed;
  if (claimed.val.kind === 'conflict')
    return Err(internalFailure(partition, 'the head changed meanwhile'));
  return Ok({ layout, jobs, headRevision: claimed.val.revision, chunkRevisions });
};
