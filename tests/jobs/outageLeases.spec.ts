/**
 * Runs of an owner that cannot reach the store, beside a worker that is lost.
 */
import test from 'ava';

import { JobSite, makeJob, makeStep } from '../fixtures/jobSite.js';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const WORKERS = 6;

/** Makes a busy site of one data centre whose owner is the only entry; the store is out for a time. */
const runOutage = async (
  outageMs: number,
  disturb: (site: JobSite, client: string) => void,
): Promise<JobSite> => {
  const site = new JobSite({
    workers: WORKERS,
    dataCentres: 1,
    milliCores: 8_000,
    behave: () => ({ size: SIZE, durationMs: 40_000 }),
  });
  const owner = site.start('a');
  await site.run(800);
  site.putJobs(['00000000000000a1'], makeJob(makeStep({ count: 24 })));
  await site.run(3_000);
  const { store } = owner;
  store.isCutOff = true;
  await site.run(1_000);
  disturb(site, owner.client);
  await site.run(outageMs - 1_000);
  store.isCutOff = false;
  await site.run(3_000);
  return site;
};

const lostBesides = ({ record }: JobSite, id: string): number =>
  record.runs.filter(({ workerId, kind }) => workerId !== id && kind !== undefined).length;

// Guards against runs that are killed in an outage of the store although nobody else owns the site.
test('should keep the runs of other workers when one is lost during an outage of the store', async (t) => {
  for (const outageMs of [6_000, 8_000, 9_000, 10_000, 11_000]) {
    const site = await runOutage(outageMs, ({ workers }) => workers.get('w5')?.crash());
    t.is(lostBesides(site, 'w5'), 0, `an outage of ${outageMs} ms, a worker that crashes`);
  }
});

// Guards against the same beside a worker that does not answer.
test('should keep the runs of other workers when one is cut off during an outage of the store', async (t) => {
  for (const outageMs of [6_000, 8_000, 9_000, 10_000, 11_000]) {
    const site = await runOutage(outageMs, (each, client) => each.cutFromWorkers(client, ['w5']));
    t.is(lostBesides(site, 'w5'), 0, `an outage of ${outageMs} ms, a worker that is cut off`);
  }
});
