/**
 * Ten large submissions, each of them a schedule for a day, are handed in beside ordinary ones.
 */
import { fileURLToPath } from 'node:url';

import { Site, sleep } from '../standins-2/site.js';

const SCHEDULES = 10;
const EVERY_MS = 10_000;
const TIMES_A_DAY = 8_640;
const ORDINARY = 12;
const FINISH_MS = 14_000;
const LEAST_ENDS = 3;
const LEAST_MACHINES = 2;
const ROUTE = { Name: 'batch', Host: 'desk.example', Prefix: '/batch/', Service: 'desk' };
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
  routes: [{ ...ROUTE, Priority: 0, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1_000 }],
});

const idOf = (number) => number.toString(16).padStart(16, '0');
const entryOf = (number) => site.entries[number % site.entries.length];

const handInSchedules = async () => {
  let accepted = 0;
  for (let at = 0; at < SCHEDULES; at += 1) {
    const { status } = await site.request(entryOf(at), 'POST', `/batch/${idOf(4096 + at)}`, {
      Spec: '[500]',
      RepeatCount: TIMES_A_DAY,
      StartAtMs: Date.now() + 3_600_000,
      IntervalMs: EVERY_MS,
      Steps: [{ Count: 2, Cpu: 1_000, MemMb: 500, EstimateMs: 500 }],
    });
    if (status === 200) accepted += 1;
  }
  site.record('schedules accepted', { accepted });
  return accepted;
};

/** Hands a submission in as clients do, who try again at other nodes. */
const handIn = async (number) => {
  for (let attempt = 0; attempt <= 4; attempt += 1) {
    const { status } = await site.request(
      entryOf(number + attempt),
      'POST',
      `/batch/${idOf(number)}`,
      { Spec: '[500]', Steps: [{ Count: 4, Cpu: 1_000, MemMb: 500, EstimateMs: 500 }] },
    );
    if (status === 200) return true;
    await sleep(300);
  }
  return false;
};

const stateOf = async (number) => {
  for (let attempt = 0; attempt <= 4; attempt += 1) {
    const { status, body } = await site.request(
      entryOf(number + attempt),
      'GET',
      `/batch/${idOf(number)}`,
    );
    if (status === 200) return body.State;
    await sleep(300);
  }
  return 'no answer';
};

const run = async () => {
  await site.start();
  if (!(await site.whenOwned())) return 2;
  if (hasTrouble) await handInSchedules();
  const accepted = [];
  for (let number = 1; number <= ORDINARY; number += 1) {
    if (await handIn(number)) accepted.push(number);
    await sleep(700);
  }
  await sleep(FINISH_MS);
  const states = await Promise.all(accepted.map((number) => stateOf(number)));
  const ends = site.entries.map((entry) => entry.ends.filter(({ asked }) => !asked).length);
  const ended = ends.filter((count) => count >= LEAST_ENDS).length;
  const open = states.filter((state) => state !== 'completed').length;
  site.record('verdict', { accepted: accepted.length, open, states, 'ends by themselves': ends });
  if (ended >= LEAST_MACHINES) return 1;
  return open === 0 && accepted.length === ORDINARY && ends.every((count) => count === 0) ? 0 : 2;
};

try {
  process.exitCode = await run();
} finally {
  await site.end();
}
