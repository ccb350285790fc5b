/**
 * What the letter's size asks of entries.
 *
 * @packageDocumentation
 */

import { WORKER_HEARTBEAT_INTERVAL_MS } from 'samphirenotch/shards/taskLease.js';
import { RETENTION_MS } from 'samphirenotch/tasks/taskSettings.js';

import type { Slope as SiteSlope } from '../costs/slope.js';
import {
  type CapacitySection,
  costAt,
  figure,
  largestPerItem,
  type MeasuredSlopes,
  siteSlope,
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
        'Entries needed for them',
        processor.entries,
        'entries',
        'derived',
        'those cores / 3.3 % of a core for each',
      ),
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
 * Works out the memory of one entry.
 *
 * @param measured - slopes of single decisions, state and messages
 * @param costs - slopes of whole entries
 * @param entries - number of entries
 * @returns bytes by what takes them
 */
export const entryMemory = (
  measured: MeasuredSlopes,
  costs: readonly SiteSlope[],
  entries: number,
) => {
  const recordBytes = slopeOf(measured, 'memory of job records').perItem;
  const encodedBytes = slopeOf(measured, 'bytes of a group commit').perItem;
  const ended = (LETTER.jobsPerDay * RETENTION_MS) / (SECONDS_PER_DAY * MS_PER_SECOND);
  const jobs = LETTER.runningTasks + ASSUMED.queuedJobs + ended;
  const jobBytes = (jobs * (recordBytes + encodedBytes)) / entries;
  const seriesBytes = largestPerItem(slopeOf(measured, 'memory of histogram series'));
  const series = ASSUMED.classes * ASSUMED.stepsPerClass + LETTER.teams;
  const atRest = siteSlope(costs, 'entry at rest: resident memory');
  const restBytes = costAt(atRest, LETTER.workers / entries);
  const totalBytes = restBytes + jobBytes + series * seriesBytes;

  return { recordBytes, encodedBytes, jobs, jobBytes, seriesBytes, series, restBytes, totalBytes };
};

/**
 * Works out the memory of entries.
 *
 * @param measured - slopes of single decisions, state and messages
 * @param costs - slopes of whole entries
 * @param entries - number of entries
 * @returns the section
 */
export const memorySection = (
  measured: MeasuredSlopes,
  costs: readonly SiteSlope[],
  entries: number,
): CapacitySection => {
  const memory = entryMemory(measured, costs, entries);
  const { recordBytes, encodedBytes, jobs, jobBytes, seriesBytes, series } = memory;
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
        'Entry at rest with its workers',
        megabytes(memory.restBytes),
        'MB',
        'measured',
        'costs, at the workers of an entry',
      ),
      figure(
        'Sum',
        megabytes(memory.totalBytes),
        'MB',
        'derived',
        'entry at rest, jobs and histograms',
      ),
      figure('Budget', LETTER.memoryMegabytes, 'MB', 'letter', 'for control'),
    ],
  };
};
