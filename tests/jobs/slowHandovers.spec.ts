/**
 * Workers that are lost as their owner stops, while the store answers slowly.
 */
import test from 'ava';

import { runUntil } from '../fixtures/jobSite.js';
import { LASTING_JOB_ID, makeSiteWithLastingTasks } from '../fixtures/lastingTasks.js';

/** Time after its last run within which a task that lasts has to run again, in milliseconds. */
const LOST_MS = 9_000;

// Guards against tasks that wait because their owner could not store in time when all leases end.
for (const latencyMs of [2, 200, 350, 500, 700]) {
  test(`should start tasks of a lost worker in time while the store takes ${latencyMs} ms`, async (t) => {
    const late: string[] = [];
    for (const offsetMs of [0, 150, 300, 450, 600]) {
      const { site, owner } = await makeSiteWithLastingTasks({ milliCores: 8_000 });
      await site.run(2_000);
      site.entries.forEach(({ store }) => Object.assign(store, { latencyMs: () => latencyMs }));
      await site.run(2_000 + offsetMs);
      const { taskId } = site.workers.get('w0')?.activeRuns()[0] ?? {};
      site.loseWorker('w0');
      const fromMs = site.clock.monotonicMs();
      owner.stop();
      const others = site.entries.filter((each) => each !== owner);
      await runUntil(site, () => others.some(({ entry }) => entry.status().terms.length > 0));
      const electedMs = site.clock.monotonicMs() - fromMs;
      await site.run(20_000);
      const backMs = (site.record.runsOf(taskId ?? '').at(-1)?.startedMs ?? Infinity) - fromMs;
      t.log(`${offsetMs}: elected ${Math.round(electedMs)}, back ${Math.round(backMs)}`);
      if (backMs > LOST_MS) late.push(`${offsetMs}: ${Math.round(backMs)} ms`);
      const lost = site.record.runs.filter(({ kind }) => kind !== undefined).length;
      if (lost > 1) late.push(`${offsetMs}: ${lost} runs are over`);
      t.true(taskId?.startsWith(LASTING_JOB_ID));
      t.deepEqual(site.record.violations, []);
    }
    t.deepEqual(late, []);
  });
}
