/**
 * Ten large submissions, each of them a schedule for a day, are handed in beside ordinary ones.
 */
import { Site, sleep } from '../standins-2/site.js';

const SCHEDULES = 10;
const EVERY_MS = 10_000;
const TIMES_A_DAY = 8_640;
const FIRST_SCHEDULE = 4_096;
const ORDINARY = 12;
const GAP_MS = 700;
const RETRIES = 4;
const RETRY_MS = 300;
const FINISH_MS = 14_000;
const LONGER_MS = 30_000;
const LEAST_ENDS = 3;
const LEAST_MACHINES = 2;
const ROUTE = { Name: 'batch', Host: 'desk.example', Prefix: '/batch/', Service: 'desk' };
const [, , recordPath = 'record.txt'] = process.argv;
const hasTrouble = process.env.TROUBLE !== '0';

const site = new Site({
  recordPath,
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

/** Asks as clients do, who try again at other nodes. */
const ask = async (number, method, body) => {
  for (let attempt = 0; attempt <= RETRIES; attempt += 1) {
    const target = `/batch/${idOf(number)}`;
    const answer = await site.request(entryOf(number + attempt), method, target, body);
    if (answer.status === 200) return answer;
    await sleep(RETRY_MS);
  }
  return undefined;
};

const handInSchedules = async () => {
  const schedule = {
    Spec: '[500]',
    RepeatCount: TIMES_A_DAY,
    StartAtMs: Date.now() + 3_600_000,
    IntervalMs: EVERY_MS,
    Steps: [{ Count: 2, Cpu: 1_000, MemMb: 500, EstimateMs: 500 }],
  };
  const numbers = Array.from({ length: SCHEDULES }, (_, at) => FIRST_SCHEDULE + at);
  const answers = await Promise.all(numbers.map((number) => ask(number, 'POST', schedule)));
  site.record('schedules accepted', { accepted: answers.filter(Boolean).length });
};

/** Counts how often the process of an entry has ended by itself. */
const ownEnds = ({ ends }) => ends.filter(({ asked }) => !asked).length;

const machinesThatEnd = () => site.entries.filter((entry) => ownEnds(entry) >= LEAST_ENDS).length;

const run = async () => {
  await site.start();
  if (!(await site.whenOwned())) return 2;
  if (hasTrouble) await handInSchedules();
  const ordinary = {
    Spec: '[500]',
    Steps: [{ Count: 4, Cpu: 1_000, MemMb: 500, EstimateMs: 500 }],
  };
  const sent = [];
  for (let number = 1; number <= ORDINARY; number += 1) {
    sent.push(ask(number, 'POST', ordinary).then((answer) => answer && number));
    await sleep(GAP_MS);
  }
  const accepted = (await Promise.all(sent)).filter((number) => number !== undefined);
  await sleep(FINISH_MS);
  const answers = await Promise.all(accepted.map((number) => ask(number, 'GET')));
  const states = answers.map((answer) => answer?.body.State ?? 'no answer');
  const open = states.filter((state) => state !== 'completed').length;
  const untilMs = site.now() + LONGER_MS;
  while (open > 0 && machinesThatEnd() < LEAST_MACHINES && site.now() < untilMs) await sleep(500);
  const ends = site.entries.map(ownEnds);
  site.record('verdict', { accepted: accepted.length, open, states, 'ends by themselves': ends });
  if (machinesThatEnd() >= LEAST_MACHINES) return 1;
  return open === 0 && accepted.length === ORDINARY && ends.every((count) => count === 0) ? 0 : 2;
};

try {
  process.exitCode = await run();
} finally {
  await site.end();
}
