/**
 * Long-running tasks that were interrupted wait for the worker that may still run them, and for no
 * other.
 */
import test from 'ava';

import type { JobSite } from '../fixtures/jobSite.js';
import {
  countRunning,
  LASTING_TASKS as TASKS,
  makeSiteWithLastingTasks,
} from '../fixtures/lastingTasks.js';

/**
 * Time after its last run within which a task that lasts has to run again, as the platform's pages
 * say, in milliseconds.
 */
const LASTING_BOUND_MS = 6_000;

const workerOf = (site: JobSite, id: string) => {
  const worker = site.workers.get(id);
  if (!worker) throw new Error(`no worker ${id}`);
  return worker;
};

/** Returns the ids of the workers with runs, and of those without. */
const splitWorkers = (site: JobSite): readonly [readonly string[], readonly string[]] => {
  const ids = [...site.workers.keys()];
  const hasRuns = (id: string): boolean => workerOf(site, id).activeRuns().length > 0;
  return [ids.filter(hasRuns), ids.filter((id) => !hasRuns(id))];
};

// Guards against tasks that last and wait for many seconds for a worker which never had them.
test('should start an interrupted task again although an idle worker of the former owner is silent', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks({ workers: TASKS + 1 });
  const [[busy = ''], [idle = '']] = splitWorkers(site);
  await site.run(2_000);
  site.entries.forEach(({ client }) => site.cutFromWorkers(client, [idle]));
  owner.kill();
  workerOf(site, busy).crash();
  await site.run(LASTING_BOUND_MS);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against places that are lost with an owner which is killed before it has taken over.
test('should start an interrupted task again although the next owner is killed early and an idle worker is silent', async (t) => {
  for (let delayMs = 0; delayMs < 120; delayMs += 12) {
    const { site, owner, successor } = await makeSiteWithLastingTasks({ workers: TASKS + 1 });
    site.start('c');
    const [[busy = ''], [idle = '']] = splitWorkers(site);
    await site.run(2_000);
    site.entries.forEach(({ client }) => site.cutFromWorkers(client, [idle]));
    owner.kill();
    while (successor.entry.status().terms.length === 0) await site.clock.advance(2);
    await site.clock.advance(delayMs);
    successor.kill();
    workerOf(site, busy).crash();
    await site.run(LASTING_BOUND_MS);
    t.is(countRunning(site), TASKS, `${delayMs} ms`);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
  }
});
