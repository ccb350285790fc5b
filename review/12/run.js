/**
 * The machine that owns the site and a worker are lost for good at the same time, while tasks that last are at
 * work and the other workers have room. The worker is the only one of its zone. Another machine comes at another
 * address.
 */
import { Site, sleep } from '../standins-3/site.js';

const SETTLE_MS = 4_000;
const WATCH_MS = 30_000;
const REPLACED_AFTER_MS = 1_000;
/** The rule holds from so long after the last run, for so long, and after so much calm and time in touch. */
const AFTER_RUN_MS = 6_000;
const IDLE_MS = 3_000;
const CALM_MS = 4_000;
const CONTACT_MS = 3_000;
const FIRST_ID = 0x5c0e;
const MOST_SUBMISSIONS = 4;
const TASKS = 8;
const ENTRIES = 3;
const ZONES = ['north', 'south', 'north', 'south', 'north', 'south', 'north', 'east'];
const HOLD_LIMIT_MS = 6_000;
const LIMITS = { CpuShare: 0.27 };
const ROUTE = { Name: 'watch', Host: 'desk.example', Prefix: '/watch/', Service: 'desk' };
const [, , recordPath = 'record.txt'] = process.argv;
const hasTrouble = process.env.TROUBLE !== '0';

const site = new Site({
  recordPath,
  entries: ENTRIES,
  workers: 8,
  zones: ZONES,
  cpu: 16_000,
  memMb: 64_000,
  holdLimitMs: HOLD_LIMIT_MS,
  limits: LIMITS,
  routes: [{ ...ROUTE, Priority: 0, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 2_500 }],
});

const isRunning = (task) => site.workers.some(({ isUp, running }) => isUp && running.has(task));

/** Hands submissions in until one of their tasks runs on the worker. */
const whenUsed = async (worker) => {
  for (let count = 0; count < MOST_SUBMISSIONS; count += 1) {
    const id = (FIRST_ID + count).toString(16).padStart(16, '0');
    await site.request(site.entries[0], 'POST', `/watch/${id}`, {
      Spec: '[0]',
      Steps: [{ Count: TASKS, Cpu: 1_000, MemMb: 1_000, EstimateMs: 500, LongRunning: true }],
    });
    await sleep(SETTLE_MS);
    const [task] = worker.running.keys();
    if (task) return task;
  }
  return undefined;
};

/** Starts an entry at an address of its own beside the others. */
const addMachine = async () => {
  const octets = site.entries[0].settings.Ip.split('.').map(Number);
  const host = [...octets.slice(0, 3), octets[3] + 3 + ENTRIES].join('.');
  await site.addEntry(ENTRIES, host, ZONES, LIMITS, HOLD_LIMIT_MS);
  site.entries.at(-1).start();
};

/** Returns when the other machine was there, as the end of the disturbance. */
const loseBoth = async (worker, owner) => {
  site.record('worker is lost for good', { worker: worker.options.id });
  worker.crash();
  const lost = owner;
  lost.isWanted = false;
  owner.signal('SIGKILL');
  await sleep(REPLACED_AFTER_MS);
  await addMachine();
  return site.now();
};

const run = async () => {
  await site.start();
  if (!(await site.whenOwned())) return 2;
  const worker = site.workers.at(-1);
  const task = await whenUsed(worker);
  const owner = site.owner();
  if (!task || !owner) return 2;
  const lostMs = site.now();
  const calmMs = hasTrouble ? await loseBoth(worker, owner) : site.now();
  let missingMs = 0;
  let longestAwayMs = 0;
  let sinceMs;
  while (site.now() < lostMs + WATCH_MS) {
    const nowMs = site.now();
    sinceMs = isRunning(task) ? undefined : (sinceMs ?? lostMs);
    if (sinceMs !== undefined) {
      const fromMs = Math.max(sinceMs + AFTER_RUN_MS, calmMs + CONTACT_MS + CALM_MS);
      missingMs = Math.max(missingMs, nowMs - fromMs);
      longestAwayMs = Math.max(longestAwayMs, nowMs - sinceMs);
    }
    await sleep(10);
  }
  const entry = site.entries.find(({ isWanted }) => isWanted);
  const id = task.split('.')[0];
  const { body } = await site.request(entry, 'GET', `/watch/${id}`);
  site.record('verdict', {
    task,
    'away for ms': Math.round(longestAwayMs),
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
