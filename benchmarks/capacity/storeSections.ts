/**
 * What the letter's size asks of the store, and how long things take through it.
 *
 * @packageDocumentation
 */

import { SESSION_TIMES } from 'samphirenotch/membership/session.js';
import {
  MAXIMUM_CHUNK_LENGTH,
  MAXIMUM_COMMIT_INTERVAL_MS,
  MINIMUM_COMMIT_INTERVAL_MS,
  MAXIMUM_ENDED_JOBS,
  MAXIMUM_JOBS,
  MAXIMUM_JOURNAL_LENGTH,
  RETENTION_MS,
  IDLE_ROUND_INTERVAL_MS,
} from 'samphirenotch/tasks/taskSettings.js';

import { type CapacitySection, costAt, figure, type MeasuredSlopes, slopeOf } from './figures.js';
import { ASSUMED, BYTES_PER_MEGABYTE, LETTER, MS_PER_SECOND, SECONDS_PER_DAY } from './inputs.js';

/**
 * Works out how the store is shared.
 *
 * @param measured - what the benchmarks wrote
 * @param entries - number of entries
 * @param writesPerSecond - writes that the store takes
 * @returns rates, and the partitions of jobs
 */
export const storeLoad = (measured: MeasuredSlopes, entries: number, writesPerSecond: number) => {
  const renewals = (entries * MS_PER_SECOND) / SESSION_TIMES.renewIntervalMs;
  const publications = LETTER.changesPerDay / SECONDS_PER_DAY;
  const changes = LETTER.startsPerSecond * ASSUMED.changesPerStart;
  const encodedBytes = slopeOf(measured, 'bytes of a group commit').perItem;
  const chunks = (changes * encodedBytes) / MAXIMUM_CHUNK_LENGTH;
  const commits = Math.max(0, writesPerSecond - renewals - 2 * publications - 2 * chunks);
  const ended = (LETTER.jobsPerDay * RETENTION_MS) / (SECONDS_PER_DAY * MS_PER_SECOND);
  const jobs = LETTER.runningTasks + ASSUMED.queuedJobs + ended;
  const partitions = Math.ceil(Math.max(jobs / MAXIMUM_JOBS, ended / MAXIMUM_ENDED_JOBS));
  const intervalMs = Math.max(MINIMUM_COMMIT_INTERVAL_MS, (partitions * MS_PER_SECOND) / commits);
  const written = (commits * MAXIMUM_JOURNAL_LENGTH) / 2;

  return {
    renewals,
    publications,
    changes,
    chunks,
    commits,
    partitions,
    intervalMs,
    written,
    jobs,
  };
};

/**
 * Works out the load of the store.
 *
 * @param measured - what the benchmarks wrote
 * @param entries - number of entries
 * @returns the section
 */
export const storeSection = (measured: MeasuredSlopes, entries: number): CapacitySection => {
  const today = storeLoad(measured, entries, ASSUMED.writesPerSecond);
  const later = storeLoad(measured, entries, ASSUMED.writesPerSecond * ASSUMED.growthOfStore);
  const watches = (entries * ASSUMED.prefixesWatched * MS_PER_SECOND) / ASSUMED.watchHoldMs;
  const readers = LETTER.dataCentres * ASSUMED.readersPerDataCentre;
  const reads = (readers * MS_PER_SECOND) / ASSUMED.configurationReadMs;
  const changesPerCommit = today.changes / today.commits;

  return {
    title: 'The store',
    mechanism:
      'One session per entry carries all its shards; one compare-and-swap carries all changes of a ' +
      'partition since the last; one or two entries of a data centre read the configuration.',
    figures: [
      figure(
        'Writes that it takes',
        ASSUMED.writesPerSecond,
        'per second',
        'assumed',
        '"several hundred" of the brief',
      ),
      figure(
        'Session renewals',
        today.renewals,
        'writes per second',
        'derived',
        'entries / renewal interval of the code',
      ),
      figure(
        'Publications',
        2 * today.publications,
        'writes per second',
        'derived',
        'changes a day, content and root',
      ),
      figure(
        'Chunks of jobs',
        2 * today.chunks,
        'writes per second',
        'derived',
        'changes x encoded job / length of a chunk, written and removed',
      ),
      figure(
        'Left for commits',
        today.commits,
        'writes per second',
        'derived',
        'what it takes less the above',
      ),
      figure(
        'Changes of jobs at the peak',
        today.changes,
        'per second',
        'assumed',
        'starts x 4 (submitted, intended, running, ended)',
      ),
      figure('Changes in one commit', changesPerCommit, 'changes', 'derived', 'changes / commits'),
      figure(
        'Partitions of jobs',
        today.partitions,
        'partitions',
        'derived',
        'jobs kept / bound of a partition in the code',
      ),
      figure(
        'Time between commits of a partition',
        today.intervalMs,
        'ms',
        'derived',
        'partitions / commits',
      ),
      figure(
        'The same at ten times the store',
        later.intervalMs,
        'ms',
        'derived',
        'partitions / commits, not below 50 ms of the code',
      ),
      figure(
        'Bytes written by commits',
        today.written / BYTES_PER_MEGABYTE,
        'MB per second',
        'derived',
        'commits x half of the longest journal in a head',
      ),
      figure(
        'Watches',
        watches,
        'calls per second',
        'derived',
        'entries x 3 prefixes, each held for 4 s',
      ),
      figure(
        'Reads of the configuration',
        reads,
        'reads per second',
        'derived',
        'two entries of each data centre, every 400 ms',
      ),
      figure(
        'Reads that it takes',
        ASSUMED.readsPerSecond,
        'per second',
        'letter',
        'about two thousand of the brief',
      ),
    ],
  };
};

/**
 * Works out what a partition of jobs costs.
 *
 * @param measured - what the benchmarks wrote
 * @param entries - number of entries
 * @returns the section
 */
export const recoverySection = (measured: MeasuredSlopes, entries: number): CapacitySection => {
  const { partitions, jobs } = storeLoad(measured, entries, ASSUMED.writesPerSecond);
  const jobsPerPartition = jobs / partitions;
  const decodeUs = costAt(slopeOf(measured, 'decoding of a partition'), jobsPerPartition);
  const encodedBytes = slopeOf(measured, 'bytes of a group commit').perItem;
  const chunks = Math.ceil((jobsPerPartition * encodedBytes) / MAXIMUM_CHUNK_LENGTH);
  const orderUs = costAt(slopeOf(measured, 'order of the queue'), ASSUMED.queuedJobs / partitions);

  return {
    title: 'Partitions of jobs',
    mechanism: 'A head with the latest changes, and chunks that are written once.',
    figures: [
      figure('Jobs of a partition', jobsPerPartition, 'jobs', 'derived', 'jobs / partitions'),
      figure(
        'Reads to take one over',
        chunks + 1,
        'reads',
        'derived',
        'encoded jobs / length of a chunk, and the head',
      ),
      figure(
        'Decoding to take one over',
        decodeUs / MS_PER_SECOND,
        'ms of processor',
        'derived',
        'slope "decoding of a partition" beyond its largest point of 8,000 jobs',
      ),
      figure(
        'Ordering its queue once',
        orderUs / MS_PER_SECOND,
        'ms of processor',
        'measured',
        'slope "order of the queue" at its share of 50,000 queued',
      ),
      figure(
        'Ordering, share of a core',
        (orderUs / MS_PER_SECOND / IDLE_ROUND_INTERVAL_MS) * 100,
        '%',
        'derived',
        'at one look in 250 ms',
      ),
    ],
  };
};

/**
 * Adds up the steps of an urgent start and of a change of configuration.
 *
 * @param measured - what the benchmarks wrote
 * @param entries - number of entries
 * @returns the section
 */
export const stepsSection = (measured: MeasuredSlopes, entries: number): CapacitySection => {
  const { intervalMs } = storeLoad(measured, entries, ASSUMED.writesPerSecond);
  const commitMs = intervalMs + ASSUMED.storeCallMs;
  const startMs = 4 * ASSUMED.callBetweenDataCentresMs;
  const urgentMs = 2 * commitMs + IDLE_ROUND_INTERVAL_MS + startMs;
  const worstMs =
    2 * (MAXIMUM_COMMIT_INTERVAL_MS + ASSUMED.storeCallMs) + IDLE_ROUND_INTERVAL_MS + startMs;
  const rebuildUs = slopeOf(measured, 'change by a rebuild').points[2]?.[1] ?? 0;
  const applyMs = rebuildUs / MS_PER_SECOND;
  const configurationMs =
    ASSUMED.storeCallMs * 2 +
    ASSUMED.configurationReadMs +
    ASSUMED.configurationFetchMs +
    ASSUMED.callBetweenDataCentresMs +
    applyMs;

  return {
    title: 'Times by steps',
    mechanism: 'Durable submission and intent by group commit; configuration by readers and peers.',
    figures: [
      figure(
        'Commit of a submission',
        commitMs,
        'ms',
        'derived',
        'time between commits + 10 ms for the store',
      ),
      figure('Look at the queue', IDLE_ROUND_INTERVAL_MS, 'ms', 'setting', 'interval of the code'),
      figure(
        'Reservation and start',
        startMs,
        'ms',
        'assumed',
        'four calls of 5 ms between data centres',
      ),
      figure('Urgent start', urgentMs, 'ms', 'derived', 'two commits and the above'),
      figure(
        'Urgent start while the store is at its ceiling',
        worstMs,
        'ms',
        'derived',
        'the same at the longest time between commits of the code',
      ),
      figure('Bound', LETTER.urgentStartMs, 'ms', 'letter', 'urgent work starts within'),
      figure(
        'Applying a change',
        applyMs,
        'ms',
        'measured',
        'slope "change by a rebuild" at 16,000 objects; checking the set is not in it',
      ),
      figure(
        'Configuration in force',
        configurationMs,
        'ms',
        'derived',
        'two store calls, a read interval, a fetch interval, a call, applying',
      ),
      figure('Bound', LETTER.configurationMs, 'ms', 'letter', 'in force everywhere within'),
    ],
  };
};
