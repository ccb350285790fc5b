/**
 * What making jobs durable costs: against the rate of submissions and the jobs in a partition, and
 * what taking a partition over costs.
 *
 * @packageDocumentation
 */

import { pause } from 'samphirenotch-stand-ins/site/site.js';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { PartitionTrial, type Recovery } from './partitionTrial.js';
import { slopeOf, type Point, type Slope } from './slope.js';

const SUITE = 'groupCommit';
const JOBS = [100, 1000, 5000, 20_000];
const RATES = [20, 100, 500, 2000];
const RATE_MS = 3000;
const TICK_MS = 10;
const MS_PER_SECOND = 1000;
/** Changes of jobs a second, for the growth with the jobs in a partition. */
const CHANGES_PER_SECOND = 400;
const SEED = 1;
const RECOVERIES = 5;

interface Written {
  readonly calls: number;
  readonly bytes: number;
  readonly cpuMicros: number;
}

interface Held {
  readonly change: Written;
  readonly recovery: Recovery;
}

/** Sends at a steady rate and counts what is written for each job. */
const atRate = async (
  trial: PartitionTrial,
  perSecond: number,
  send: (index: number) => Promise<void>,
): Promise<Written> => {
  const { store } = trial;
  const before = { calls: store.writes, bytes: store.writtenBytes };
  const cpuBefore = process.cpuUsage();
  const count = (perSecond * RATE_MS) / MS_PER_SECOND;
  const startedMs = performance.now();
  const sent: Promise<void>[] = [];
  while (sent.length < count) {
    const due = Math.min(count, ((performance.now() - startedMs) * perSecond) / MS_PER_SECOND);
    while (sent.length < due) sent.push(send(sent.length));
    await pause(TICK_MS);
  }
  await Promise.all(sent);
  const { user, system } = process.cpuUsage(cpuBefore);
  return {
    calls: (store.writes - before.calls) / count,
    bytes: (store.writtenBytes - before.bytes) / count,
    cpuMicros: (user + system) / count,
  };
};

const submitAt = async (perSecond: number): Promise<Written> => {
  const trial = new PartitionTrial();
  await trial.open();
  const written = await atRate(trial, perSecond, (index) => trial.put(index));
  trial.close();
  console.log(`${SUITE} ${perSecond}/s: ${JSON.stringify(written)}`);
  return written;
};

const medianRecovery = async (trial: PartitionTrial): Promise<Recovery> => {
  const recoveries: Recovery[] = [];
  for (let turn = 0; turn < RECOVERIES; turn += 1) {
    const { durationMs, readBytes, jobs } = await trial.recover();
    recoveries.push({ durationMs, readBytes, jobs });
  }
  recoveries.sort((left, right) => left.durationMs - right.durationMs);
  const median = recoveries[Math.floor(RECOVERIES / 2)];
  if (!median) throw new Error('Nothing was recovered.');
  return median;
};

const withJobs = async (jobs: number): Promise<Held> => {
  const trial = new PartitionTrial();
  await trial.open();
  await Promise.all(Array.from({ length: jobs }, (_, index) => trial.put(index)));
  const random = xoroshiro128plus(SEED);
  const change = await atRate(trial, CHANGES_PER_SECOND, () =>
    trial.put(uniformInt(random, 0, jobs - 1), { state: 'starting', attempts: 1 }),
  );
  trial.close();
  const recovery = await medianRecovery(trial);
  console.log(`${SUITE} ${jobs} jobs: ${JSON.stringify({ change, recovery })}`);
  return { change, recovery };
};

const measureEach = async <T>(
  sizes: readonly number[],
  measure: (size: number) => Promise<T>,
): Promise<readonly (readonly [number, T])[]> => {
  const measured: (readonly [number, T])[] = [];
  for (const size of sizes) measured.push([size, await measure(size)]);
  return measured;
};

/**
 * Measures the writing and the taking over of a partition.
 *
 * @returns slopes
 */
export const groupCommit = async (): Promise<readonly Slope[]> => {
  const byRate = await measureEach(RATES, submitAt);
  const byJobs = await measureEach(JOBS, withJobs);
  const rateSlope = (name: string, unit: string, value: (written: Written) => number): Slope =>
    slopeOf(
      { name: `group commit: ${name}`, unit, sizeAxis: 'submissions per second to one partition' },
      byRate.map(([size, written]): Point => [size, value(written)]),
      SUITE,
    );
  const jobSlope = (name: string, unit: string, value: (held: Held) => number): Slope =>
    slopeOf(
      { name, unit, sizeAxis: 'jobs in a partition' },
      byJobs.map(([size, held]): Point => [size, value(held)]),
      SUITE,
    );
  const changes = `a change of a random job, ${CHANGES_PER_SECOND} a second`;
  return [
    rateSlope('store calls per submission', 'calls', ({ calls }) => calls),
    rateSlope('bytes written per submission', 'bytes', ({ bytes }) => bytes),
    rateSlope('processor per submission', 'µs', ({ cpuMicros }) => cpuMicros),
    jobSlope(`group commit: store calls for ${changes}`, 'calls', ({ change }) => change.calls),
    jobSlope(`group commit: bytes written for ${changes}`, 'bytes', ({ change }) => change.bytes),
    jobSlope(`group commit: processor for ${changes}`, 'µs', ({ change }) => change.cpuMicros),
    jobSlope('recovery of a partition: time', 'ms', ({ recovery }) => recovery.durationMs),
    jobSlope('recovery of a partition: bytes read', 'bytes', ({ recovery }) => recovery.readBytes),
  ];
};
