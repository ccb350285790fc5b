/**
 * A data centre that is cut off together with the owner, and reached again by its successor.
 */
import test from 'ava';

import { JobSite, makeJob, makeStep, type SiteEntry } from '../fixtures/jobSite.js';

const DATA_CENTRES = 3;

const WORKERS = 12;

/** Jobs that need much more room than the site has. */
const JOB_IDS = Array.from({ length: 12 }, (_, index) => `00000000000000${160 + index}`);

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Time without a heartbeat after which an entry is gone from the directory, in milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 1_500;

/** Time between the first answers of two workers after the cut, in milliseconds. */
const ANSWER_SPREAD_MS = 200;

/** Makes a site with many tasks of 1 to 6 s and an owner in `dc1`. */
const makeBusySite = async () => {
  const site = new JobSite({
    workers: WORKERS,
    dataCentres: DATA_CENTRES,
    behave: (taskId) => ({
      size: SIZE,
      durationMs: 1_000 + ((Number(taskId.split('.').at(-1)) * 700) % 5_000),
    }),
  });
  const owner = site.start('a', false, 1, 'dc1');
  await site.run(500);
  ['dc0', 'dc2'].forEach((dataCentre) => site.start(`b-${dataCentre}`, false, 1, dataCentre));
  await site.run(1_000);
  site.putJobs(JOB_IDS, makeJob(makeStep({ count: 40, estimateMs: 3_000 })));
  await site.run(2_000);
  return { site, owner };
};

const setCutOff = (entry: SiteEntry, isCutOff: boolean): void => {
  const { store } = entry;
  store.isCutOff = isCutOff;
};

/** Cuts the data centre of the owner off for a time; its workers answer one after the other then. */
const cutOffFor = async (
  { site, owner }: Awaited<ReturnType<typeof makeBusySite>>,
  durationMs: number,
): Promise<void> => {
  const ids = [...site.workers.keys()];
  const inside = ids.filter((id) => Number(id.slice(1)) % DATA_CENTRES === 1);
  const outside = ids.filter((id) => !inside.includes(id));
  setCutOff(owner, true);
  site.cutFromWorkers(owner.client, outside);
  site.entries
    .filter((entry) => entry !== owner)
    .forEach(({ client }) => site.cutFromWorkers(client, inside));
  await site.run(HEARTBEAT_TIMEOUT_MS);
  const listed = inside.map(
    (id) => [`workers/${id}`, site.data.items.get(`workers/${id}`)] as const,
  );
  listed.forEach(([key]) => site.data.remove(key));
  await site.run(durationMs - HEARTBEAT_TIMEOUT_MS);
  setCutOff(owner, false);
  outside.forEach((id) => site.workers.get(id)?.unreachableFrom.clear());
  listed.forEach(([key, item]) => site.data.put(key, item?.value ?? ''));
  for (const id of inside) {
    site.workers.get(id)?.unreachableFrom.clear();
    await site.run(ANSWER_SPREAD_MS);
  }
};

// Guards against tasks that run twice, or again after they are done: when the first worker of a data
// centre answered after a cut, its owner's successor gave up on those that had not answered yet.
test('should start no task of a data centre again when the first of its workers answers after a cut', async (t) => {
  for (const durationMs of [10_500, 11_500, 12_000, 12_500, 13_500, 15_000]) {
    const busy = await makeBusySite();
    await cutOffFor(busy, durationMs);
    await busy.site.run(8_000);
    t.deepEqual(busy.site.record.violations, [], `a cut of ${durationMs} ms`);
  }
});
