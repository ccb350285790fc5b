/**
 * What the letter's size asks of entries.
 *
 * @packageDocumentation
 */

import {
  HEARTBEAT_INTERVAL_MS,
  MOST_HEARTBEAT_PEERS,
} from 'samphirenotch/membership/heartbeats.js';
import { WORKER_HEARTBEAT_INTERVAL_MS } from 'samphirenotch/shards/taskLease.js';
import { RETENTION_MS } from 'samphirenotch/tasks/taskSettings.js';

import {
  type CapacitySection,
  costAt,
  figure,
  largestPerItem,
  type MeasuredSlopes,
  slopeOf,
} from './figures.js';
import {
  ASSUMED,
  BYTES_PER_MEGABYTE,
  LETTER,
  MS_PER_SECOND,
  SECONDS_PER_DAY,
  US_PER_SECOND,
} from './inputs.js';

/**
 * Works out how many entries the heartbeats to workers need.
 *
 * @param measured - what the benchmarks wrote
 * @returns entries, and what they follow from
 */
export const processorModel = (measured: MeasuredSlopes) => {
  const tasksPerWorker = LETTER.runningTasks / LETTER.workers;
  const heartbeatUs = costAt(slopeOf(measured, 'heartbeat to a worker'), tasksPerWorker);
  const heartbeatsPerSecond = (LETTER.workers * MS_PER_SECOND) / WORKER_HEARTBEAT_INTERVAL_MS;
  const cores = (heartbeatsPerSecond * heartbeatUs) / US_PER_SECOND;
  const entries = Math.ceil(cores / LETTER.coreShare);

  return { tasksPerWorker, heartbeatUs, heartbeatsPerSecond, cores, entries };
};

/**
 * Works out the processor of entries.
 *
 * @param measured - what the benchmarks wrote
 * @param entries - number of entries
 * @returns the section
 */
export const entriesSection = (measured: MeasuredSlopes, entries: number): CapacitySection => {
  const processor = processorModel(measured);
  const workersPerEntry = LETTER.workers / entries;
  const placementUs = costAt(slopeOf(measured, 'placement decision'), workersPerEntry);

  return {
    title: 'Entries: processor',
    mechanism:
      'One owner per shard: its heartbeats renew the leases of all tasks of a worker in one call, ' +
      'and placement looks only at the workers of the shard.',
    figures: [
      figure(
        'Tasks per worker',
        processor.tasksPerWorker,
        'tasks',
        'derived',
        'running tasks / workers',
      ),
      figure(
        'One heartbeat to a worker',
        processor.heartbeatUs,
        'us of processor',
        'measured',
        'slope "heartbeat to a worker" at that many tasks',
      ),
      figure(
        'Heartbeats to workers',
        processor.heartbeatsPerSecond,
        'per second',
        'derived',
        'workers / heartbeat interval of the code',
      ),
      figure(
        'Processor for them, all entries',
        processor.cores,
        'cores',
        'derived',
        'heartbeats x cost of one',
      ),
      figure(
        'Entries needed',
        entries,
        'entries',
        'derived',
        'those cores / 3.3 % of a core for each',
      ),
      figure('Workers per entry', workersPerEntry, 'workers', 'derived', 'workers / entries'),
      figure(
        'One placement decision',
        placementUs,
        'us',
        'measured',
        'slope "placement decision" at the workers of an entry',
      ),
      figure(
        'Placement at the peak, all entries',
        (placementUs * LETTER.startsPerSecond) / US_PER_SECOND,
        'cores',
        'derived',
        'starts per second x cost of one',
      ),
    ],
  };
};

/**
 * Works out the memory of entries.
 *
 * @param measured - what the benchmarks wrote
 * @param entries - number of entries
 * @returns the section
 */
export const memorySection = (measured: MeasuredSlopes, entries: number): CapacitySection => {
  const recordBytes = slopeOf(measured, 'memory of job records').perItem;
  const encodedBytes = slopeOf(measured, 'bytes of a group commit').perItem;
  const ended = (LETTER.jobsPerDay * RETENTION_MS) / (SECONDS_PER_DAY * MS_PER_SECOND);
  const jobs = LETTER.runningTasks + ASSUMED.queuedJobs + ended;
  const jobBytes = (jobs * (recordBytes + encodedBytes)) / entries;
  const seriesBytes = largestPerItem(slopeOf(measured, 'memory of histogram series'));
  const series = ASSUMED.classes * ASSUMED.stepsPerClass + LETTER.teams;
  const choiceBytes = largestPerItem(slopeOf(measured, 'memory of the choice'));
  const choiceTotal = (choiceBytes * LETTER.workers) / entries;
  const totalBytes = measured.processBytes + jobBytes + series * seriesBytes + choiceTotal;
  const megabytes = (bytes: number): number => bytes / BYTES_PER_MEGABYTE;

  return {
    title: 'Entries: memory',
    mechanism:
      'Partitions of jobs and shards of workers are spread over entries; ended jobs leave after a ' +
      'day; histograms are kept by class and step, and by team in total.',
    figures: [
      figure(
        'Process with the library loaded',
        megabytes(measured.processBytes),
        'MB',
        'measured',
        'resident size of an idle process',
      ),
      figure(
        'Jobs kept, all entries',
        jobs,
        'jobs',
        'derived',
        'running + queued + ended in a day',
      ),
      figure(
        'One job in memory',
        recordBytes,
        'bytes',
        'measured',
        'slope "memory of job records"',
      ),
      figure(
        'One job encoded',
        encodedBytes,
        'bytes',
        'measured',
        'slope "bytes of a group commit"',
      ),
      figure(
        'Jobs of an entry',
        megabytes(jobBytes),
        'MB',
        'derived',
        'jobs x (in memory + encoded) / entries',
      ),
      figure(
        'One series of histograms',
        seriesBytes,
        'bytes',
        'measured',
        'largest of the slope "memory of histogram series"',
      ),
      figure(
        'Series of an entry',
        series,
        'series',
        'assumed',
        '40 classes x 5 steps + one for each team',
      ),
      figure(
        'Histograms of an entry',
        megabytes(series * seriesBytes),
        'MB',
        'derived',
        'series x bytes of one',
      ),
      figure(
        'Memory of the choice among workers',
        megabytes(choiceTotal),
        'MB',
        'derived',
        'slope "memory of the choice" x workers of an entry',
      ),
      figure('Sum', megabytes(totalBytes), 'MB', 'derived', 'the above'),
      figure('Budget', LETTER.memoryMegabytes, 'MB', 'letter', 'for control'),
    ],
  };
};

/**
 * Works out the bytes of heartbeats that an entry sends.
 *
 * @param measured - what the benchmarks wrote
 * @param others - other entries told of in each
 * @param peers - peers that it exchanges heartbeats with
 * @returns bytes per second
 */
export const heartbeatBytes = (measured: MeasuredSlopes, others: number, peers: number): number => {
  const bytes = costAt(slopeOf(measured, 'bytes of a heartbeat'), others);
  return (2 * peers * bytes * MS_PER_SECOND) / HEARTBEAT_INTERVAL_MS;
};

/**
 * Works out the messages among entries.
 *
 * @param measured - what the benchmarks wrote
 * @param entries - number of entries
 * @returns the section
 */
export const messageSection = (measured: MeasuredSlopes, entries: number): CapacitySection => {
  const { othersPerHeartbeat } = ASSUMED;
  const peers = Math.min(MOST_HEARTBEAT_PEERS, entries - 1);
  const slope = slopeOf(measured, 'bytes of a heartbeat');

  return {
    title: 'Entries: messages among themselves',
    mechanism: 'Heartbeats to a bounded number of peers, each with news of a few other entries.',
    figures: [
      figure(
        'One heartbeat',
        costAt(slope, othersPerHeartbeat),
        'bytes',
        'measured',
        'slope "bytes of a heartbeat" at 6 other entries, without framing',
      ),
      figure(
        'Sent by an entry',
        heartbeatBytes(measured, othersPerHeartbeat, peers),
        'bytes per second',
        'derived',
        'heartbeats to 10 peers and answers to 10, one a second each',
      ),
      figure('Budget', LETTER.bytesPerSecond, 'bytes per second', 'letter', 'for control'),
      figure(
        'Sent with one other entry in each',
        heartbeatBytes(measured, 1, peers),
        'bytes per second',
        'derived',
        'the same at 1 other entry',
      ),
      figure(
        'Today, 7 entries',
        heartbeatBytes(measured, 5, 6),
        'bytes per second',
        'derived',
        '6 peers, 5 other entries in each',
      ),
    ],
  };
};
