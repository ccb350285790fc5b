/**
 * A worker is lost for good and the owner's process is killed at the same time, while tasks that last are at
 * work and the other workers have room. The worker is the only one of its zone.
 */
import { Site, sleep } from '../standins-2/site.js';

const SETTLE_MS = 4_000;
const WATCH_MS = 30_000;
/** The rule holds from so long after the last run, for so long, and after so much calm and time in touch. */
const AFTER_RUN_MS = 6_000;
const IDLE_MS = 3_000;
const CALM_MS = 4_000;
const CONTACT_MS = 3_000;
const ID = '5c0e7a21d94b36f8';
const TASKS = 8;
const ROUTE = { Name: 'watch', Host: 'desk.example', Prefix: '/watch/', Service: 'desk' };
const [, , recordPath = 'record.txt'] = process.argv;
const hasTrouble = process.env.TROUBLE !== '0';

const site = new Site({
  recordPath,
  entries: 3,
  workers: 8,
  zones: ['north', 'south', 'north', 'south', 'north', 'south', 'north', 'east'],
  cpu: 16_000,
  memMb: 64_000,
  holdLimitMs: 6_000,
  limits: { CpuShare: 0.27 },
  routes: [{ ...ROUTE, Priority: 0, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 2_500 }],
});

const runsOn = (worker) => [...worker.running.keys()];

const isRunning = (task) => site.workers.some(({ isUp, running }) => isUp && running.has(task));

/** Returns when the owner's process was there again, as the end of the disturbance. */
const loseBoth = async (worker, owner) => {
  const restarted = new Promise((resolve) => {
    owner.whenSpawned.push(() => resolve(site.now()));
  });
  site.record('worker is lost for good', { worker: worker.options.id });
  worker.crash();
  owner.signal('SIGKILL');
  return restarted;
};

const run = async () => {
  await site.start();
  if (!(await site.whenOwned())) return 2;
  const submitted = await site.request(site.entries[0], 'POST', `/watch/${ID}`, {
    Spec: '[0]',
    Steps: [{ Count: TASKS, Cpu: 5_000, MemMb: 6_400, EstimateMs: 500, LongRunning: true }],
  });
  if (submitted.status !== 200) return 2;
  await sleep(SETTLE_MS);
  const worker = site.workers.at(-1);
  const owner = site.owner();
  const [task] = runsOn(worker);
  if (!task || !owner) return 2;
  const lostMs = site.now();
  const calmMs = hasTrouble ? await loseBoth(worker, owner) : site.now();
  let missingMs = 0;
  let sinceMs;
  while (site.now() < lostMs + WATCH_MS) {
    const nowMs = site.now();
    sinceMs = isRunning(task) ? undefined : (sinceMs ?? nowMs);
    const fromMs = Math.max(lostMs + AFTER_RUN_MS, calmMs + CONTACT_MS + CALM_MS, sinceMs ?? nowMs);
    if (sinceMs !== undefined) missingMs = Math.max(missingMs, nowMs - fromMs);
    await sleep(10);
  }
  const { body } = await site.request(site.entries[1], 'GET', `/watch/${ID}`);
  site.record('verdict', {
    task,
    'calm and missing for ms': Math.round(missingMs),
    'allowed ms': IDLE_MS,
    state: body?.State,
  });
  return missingMs > IDLE_MS ? 1 : 0;
};

try {
  process.exitCode = await run();
} finally {
  await site.end();
}
