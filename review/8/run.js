/**
 * One submission that can never be done is handed in beside ordinary ones: a gang that no worker has room for.
 */
import { Site, sleep } from '../standins-2/site.js';

const GANG = 20_000;
const ORDINARY = 20;
const GAP_MS = 400;
const FINISH_MS = 14_000;
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
  for (let attempt = 0; attempt <= 4; attempt += 1) {
    const target = `/batch/${idOf(number)}`;
    const answer = await site.request(entryOf(number + attempt), method, target, body);
    if (answer.status === 200) return answer;
    await sleep(300);
  }
  return undefined;
};

const run = async () => {
  await site.start();
  if (!(await site.whenOwned())) return 2;
  if (hasTrouble) {
    const gang = [{ Count: GANG, Cpu: 10, MemMb: 1, EstimateMs: 500, Gang: true }];
    if (!(await ask(4096, 'POST', { Spec: '[500]', Steps: gang }))) return 2;
  }
  const steps = [{ Count: 4, Cpu: 1_000, MemMb: 500, EstimateMs: 500 }];
  const sent = [];
  for (let number = 1; number <= ORDINARY; number += 1) {
    sent.push(
      ask(number, 'POST', { Spec: '[500]', Steps: steps }).then((answer) => answer && number),
    );
    await sleep(GAP_MS);
  }
  const accepted = (await Promise.all(sent)).filter((number) => number !== undefined);
  await sleep(FINISH_MS);
  const answers = await Promise.all(accepted.map((number) => ask(number, 'GET')));
  const states = answers.map((answer) => answer?.body.State ?? 'no answer');
  const starts = site.lines.filter((line) => line.includes(' started {"task"')).length;
  const open = states.filter((state) => state !== 'completed').length;
  site.record('verdict', { accepted: accepted.length, open, states, starts });
  if (open > 0) return 1;
  return accepted.length === ORDINARY ? 0 : 2;
};

try {
  process.exitCode = await run();
} finally {
  await site.end();
}
