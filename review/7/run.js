/**
 * Workers crash one at a time while a submission whose tasks last is at work.
 */
import { fileURLToPath } from 'node:url';

import { Site, sleep } from '../standins-2/site.js';

const CRASHES = 4;
const CRASH_AFTER_MS = 1_500;
const DOWN_MS = 1_000;
const WATCH_MS = 45_000;
const ID = '5c0e7a21d94b36f8';
const ROUTE = { Name: 'watch', Host: 'desk.example', Prefix: '/watch/', Service: 'desk' };
const hasTrouble = process.env.TROUBLE !== '0';

const site = new Site({
  folder: fileURLToPath(new URL('.', import.meta.url)),
  entries: 3,
  workers: 8,
  zones: ['north', 'south'],
  cpu: 16_000,
  memMb: 64_000,
  holdLimitMs: 6_000,
  limits: { CpuShare: 0.27 },
  routes: [{ ...ROUTE, Priority: 0, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 2_500 }],
});

/** Lets the worker crash that runs the first task, once it has run it for a while. */
const crashWorkers = async () => {
  for (let crash = 0; crash < CRASHES; crash += 1) {
    let at;
    const untilMs = site.now() + 12_000;
    while (!at && site.now() < untilMs) {
      at = site.workers.find(({ running }) => running.has(`${ID}.0.0.0`));
      if (!at) await sleep(20);
    }
    if (!at) return;
    await sleep(CRASH_AFTER_MS);
    site.record('worker crashes', { worker: at.options.id });
    at.crash();
    await sleep(DOWN_MS);
    at.restart();
    site.beat();
    site.record('worker is back', { worker: at.options.id });
  }
};

const run = async () => {
  await site.start();
  if (!(await site.whenOwned())) return 2;
  const [entry, other] = site.entries;
  const submitted = await site.request(entry, 'POST', `/watch/${ID}`, {
    Spec: '[0]',
    Steps: [{ Count: 2, Cpu: 3_200, MemMb: 6_400, EstimateMs: 500, LongRunning: true }],
  });
  if (submitted.status !== 200) return 2;
  const crashing = hasTrouble ? crashWorkers() : Promise.resolve();
  const untilMs = site.now() + WATCH_MS;
  let state;
  while (site.now() < untilMs && state !== 'failed') {
    await sleep(500);
    const { status, body } = await site.request(other, 'GET', `/watch/${ID}`);
    if (status === 200) state = body.State;
  }
  await crashing;
  const failures = site.lines.filter((line) => line.includes(' failed {"task"')).length;
  site.record('verdict', { state, 'ends failed': failures });
  if (state === 'failed' && failures === 0) return 1;
  return state === 'running' ? 0 : 2;
};

try {
  process.exitCode = await run();
} finally {
  await site.end();
}
