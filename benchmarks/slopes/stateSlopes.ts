/**
 * Costs of what entries keep and send: configuration, jobs, histograms and heartbeats.
 *
 * @packageDocumentation
 */

import { LatencySeries } from 'samphirenotch/observability/latencySeries.js';
import { HeartbeatRequest } from 'samphirenotch/protocol/generated/samphirenotch/v1/membership.js';
import { heartbeatToWire } from 'samphirenotch/protocol/membershipMessages.js';
import type { MemberStatus } from 'samphirenotch/membership/heartbeatMessage.js';
import type { Job } from 'samphirenotch/tasks/job.js';
import { JobIndex } from 'samphirenotch/tasks/jobIndex.js';
import {
  decodeChunk,
  decodeHead,
  encodeChunk,
  encodeHead,
  encodeJob,
} from 'samphirenotch/tasks/partitionRecord.js';

import { keptBytes, measureSlope, microseconds, type Slope } from './measure.js';
import { type NamedValue, SortedBlocks } from './sortedBlocks.js';

const CONFIGURATION_SIZES = [1_000, 4_000, 16_000, 64_000];
const JOBS_PER_CHUNK = 200;

const configurationObjects = (count: number): NamedValue<{ readonly version: number }>[] =>
  Array.from({ length: count }, (_, index) => ({
    name: `tenant-${String((index * 7_919) % count).padStart(6, '0')}`,
    value: { version: 1 },
  }));

const changedName = (sequence: number, count: number): string =>
  `tenant-${String((sequence * 104_729) % count).padStart(6, '0')}`;

const blocksTime = (count: number): number => {
  let index = SortedBlocks.of(configurationObjects(count));
  let sequence = 0;

  return microseconds(() => {
    sequence += 1;
    index = index.with(changedName(sequence, count), { version: sequence });
  }, 50);
};

const mapCopyTime = (count: number): number => {
  let map = new Map(configurationObjects(count).map(({ name, value }) => [name, value]));
  let sequence = 0;

  return microseconds(() => {
    sequence += 1;
    map = new Map(map).set(changedName(sequence, count), { version: sequence });
  }, 10);
};

const rebuildTime = (count: number): number => {
  const objects = configurationObjects(count);

  return microseconds(() => {
    const sorted = [...objects].sort((left, right) => (left.name < right.name ? -1 : 1));
    return new Map(sorted.map(({ name, value }) => [name, value]));
  }, 3);
};

const blocksLookupTime = (count: number): number => {
  const index = SortedBlocks.of(configurationObjects(count));
  let sequence = 0;

  return microseconds(() => {
    sequence += 1;
    index.get(changedName(sequence, count));
  }, 1_000);
};

const mapLookupTime = (count: number): number => {
  const map = new Map(configurationObjects(count).map(({ name, value }) => [name, value]));
  let sequence = 0;

  return microseconds(() => {
    sequence += 1;
    map.get(changedName(sequence, count));
  }, 1_000);
};

const newJob = (index: number): Job => ({
  id: `job-${String(index).padStart(12, '0')}-0123456789abcdef`,
  partition: 'nitra/partition-3',
  taskClass: 'season-plan',
  tenant: `tenant-${index % 700}`,
  payload: `{"season":"2026-summer","enclosure":${index}}`,
  digest: `0123456789abcdef${index}`,
  submittedAtMs: 1_760_000_000_000 + index,
  state: 'running',
  stateSinceMs: 1_760_000_001_000 + index,
  attempt: {
    id: `attempt-${index}-0123456789abcdef`,
    number: 1,
    shard: 'nitra/rack-7',
    workerId: `worker-${index % 1_500}`,
    epoch: 12,
    size: { milliCores: 4_000, memoryMb: 8_192, accelerators: 0 },
    intendedAtMs: 1_760_000_000_500 + index,
    restarts: true,
    resumed: false,
  },
  attempts: 1,
  failedAttempts: 0,
  evictions: 0,
  notBeforeMs: 0,
  excludedWorkers: [],
  cancelRequested: false,
});

const jobs = (count: number): Job[] => Array.from({ length: count }, (_, index) => newJob(index));

const jobMemory = (count: number): number =>
  keptBytes(() => {
    const index = new JobIndex();
    for (const text of jobs(count).map(encodeJob)) index.set(JSON.parse(text) as Job);

    return index;
  });

const headOf = (count: number): string =>
  encodeHead({
    writeId: 'entry-1-0123456789abcdef',
    owner: 'entry-1',
    epoch: 12,
    chunks: [],
    removed: [],
    jobs: jobs(count).map(encodeJob),
  });

const commitBytes = (changes: number): number => Buffer.byteLength(headOf(changes));

const commitTime = (changes: number): number => {
  const changed = jobs(changes);

  return microseconds(() => {
    encodeHead({
      writeId: 'entry-1-0123456789abcdef',
      owner: 'entry-1',
      epoch: 12,
      chunks: [],
      removed: [],
      jobs: changed.map(encodeJob),
    });
  }, 20);
};

const recoveryTime = (count: number): number => {
  const records = jobs(count).map(encodeJob);
  const chunks: string[] = [];
  for (let start = 0; start < count; start += JOBS_PER_CHUNK) {
    chunks.push(encodeChunk(records.slice(start, start + JOBS_PER_CHUNK)));
  }
  const head = headOf(0);

  return microseconds(() => {
    decodeHead(head, 'head');
    const index = new JobIndex();
    for (const chunk of chunks) {
      const decoded = decodeChunk(chunk, 'chunk');
      if (decoded.ok) decoded.val.forEach((job) => index.set(job));
    }
  }, 1);
};

const seriesMemory = (count: number): number =>
  keptBytes(() =>
    Array.from({ length: count }, (_, index) => {
      const series = new LatencySeries();
      series.record(index % 100);

      return series;
    }),
  );

const newsOf = (index: number): MemberStatus => ({
  id: `entry-nitra-${index}`,
  dataCentre: 'nitra',
  address: `10.20.30.${index}:7001`,
  leaving: false,
  load: { freeSlots: 120 + index, queuedRequests: 3, services: ['rota-planner', 'spot-desk'] },
  ageMs: 500,
});

const heartbeatBytes = (others: number): number => {
  const message = heartbeatToWire({
    sender: newsOf(0),
    others: Array.from({ length: others }, (_, index) => newsOf(index + 1)),
    configuration: {
      version: 42_000,
      digest: '0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef',
      confirmedAgeMs: 400,
    },
  });

  return HeartbeatRequest.encode(message).finish().length;
};

const heartbeatTime = (others: number): number => {
  const message = heartbeatToWire({
    sender: newsOf(0),
    others: Array.from({ length: others }, (_, index) => newsOf(index + 1)),
  });

  return microseconds(() => {
    HeartbeatRequest.decode(HeartbeatRequest.encode(message).finish());
  }, 500);
};

const CHANGE_LABELS = { sizeOf: 'objects', unit: 'us' };

/**
 * Measures state and messages.
 *
 * @returns their slopes
 */
export const measureState = (): Slope[] => [
  measureSlope('change in sorted blocks', CHANGE_LABELS, CONFIGURATION_SIZES, blocksTime),
  measureSlope('change in a copied map', CHANGE_LABELS, CONFIGURATION_SIZES, mapCopyTime),
  measureSlope('change by a rebuild', CHANGE_LABELS, CONFIGURATION_SIZES, rebuildTime),
  measureSlope('look-up in sorted blocks', CHANGE_LABELS, CONFIGURATION_SIZES, blocksLookupTime),
  measureSlope('look-up in a map', CHANGE_LABELS, CONFIGURATION_SIZES, mapLookupTime),
  measureSlope(
    'memory of job records',
    { sizeOf: 'jobs', unit: 'bytes' },
    [1_000, 4_000, 16_000, 64_000],
    jobMemory,
  ),
  measureSlope(
    'bytes of a group commit',
    { sizeOf: 'changed jobs', unit: 'bytes' },
    [1, 10, 50, 200],
    commitBytes,
  ),
  measureSlope(
    'encoding of a group commit',
    { sizeOf: 'changed jobs', unit: 'us' },
    [1, 10, 50, 200],
    commitTime,
  ),
  measureSlope(
    'decoding of a partition',
    { sizeOf: 'jobs', unit: 'us' },
    [1_000, 2_000, 4_000, 8_000],
    recoveryTime,
  ),
  measureSlope(
    'memory of histogram series',
    { sizeOf: 'series', unit: 'bytes' },
    [400, 1_600, 3_200, 6_400],
    seriesMemory,
  ),
  measureSlope(
    'bytes of a heartbeat',
    { sizeOf: 'other entries told of', unit: 'bytes' },
    [0, 4, 8, 16],
    heartbeatBytes,
  ),
  measureSlope(
    'encoding and decoding of a heartbeat',
    { sizeOf: 'other entries told of', unit: 'us' },
    [0, 4, 8, 16],
    heartbeatTime,
  ),
];
