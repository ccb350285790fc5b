/**
 * Workers that start again under their ids as machines of another kind.
 */
import test from 'ava';

import {
  makeJob,
  makeOwnedSite,
  makeStep,
  type JobSite,
  type SiteEntry,
} from '../fixtures/jobSite.js';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Labels of a worker of each kind. */
const KIND_A = ['a', 'r1'];
const KIND_B = ['b', 'r1'];

/** Makes a site whose one worker is of kind a. */
const makeSiteOfKindA = async () => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    behave: () => ({ size: SIZE, durationMs: 200 }),
  });
  // The tests write the entries of restarted workers themselves.
  site.registrationDelayMs = Number.POSITIVE_INFINITY;
  site.registerWorker('w0', { labels: KIND_A });
  await site.run(500);
  return { site, owner };
};

const submitFor = (site: JobSite, owner: SiteEntry, number: number, requiredLabel: string) => {
  const id = String(number).padStart(16, '0');
  return site.submit(owner, id, makeJob(makeStep({ count: 4, requiredLabel })));
};

// Guards against tasks that are started on a worker of a kind they must not run on: it came back as
// another kind, its polls were answered before the directory had its new entry, and its former labels
// counted.
test('should start nothing on a restarted worker before the directory describes it', async (t) => {
  const { site, owner } = await makeSiteOfKindA();
  await submitFor(site, owner, 1, 'a');
  await site.run(1_000);
  t.is(site.record.runs.length, 4);
  site.workers.get('w0')?.restart();
  await site.run(1_500);
  await submitFor(site, owner, 2, 'a');
  await site.run(1_500);
  site.registerWorker('w0', { labels: KIND_B });
  await site.run(1_500);
  t.is(site.record.runs.length, 4);
  await submitFor(site, owner, 3, 'b');
  await site.run(2_000);
  t.is(site.record.runs.length, 8);
});

// Guards against the same for a successor, whose first answer comes from the new incarnation.
test('should start nothing as a successor on a worker with an outdated entry', async (t) => {
  const { site, owner } = await makeSiteOfKindA();
  const successor = site.start('b');
  await site.run(500);
  owner.stop();
  site.workers.get('w0')?.restart();
  await submitFor(site, successor, 1, 'a');
  await site.run(3_000);
  t.is(site.record.runs.length, 0);
  site.registerWorker('w0', { labels: KIND_A });
  await site.run(3_000);
  t.is(site.record.runs.length, 4);
  t.is(await site.state(successor, '1'.padStart(16, '0')), 'completed');
});
