/**
 * What a request through an entry costs, direct and forwarded, above a bare relay.
 *
 * @packageDocumentation
 */

import { randomUUID } from 'node:crypto';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { ChildProgram } from 'samphirenotch-stand-ins/site/childProgram.js';
import type { SiteEntry } from 'samphirenotch-stand-ins/site/site.js';
import { Pool } from 'undici';

import { quantile } from '../support/statistics.js';
import { withSite, type CostSite } from './costSite.js';
import { processUse } from './processUse.js';
import { slopeOf, type Point, type Slope } from './slope.js';

const SUITE = 'requestPath';
const COUNTS = [250, 500, 1000, 2000];
const WARM_UP = 1000;
const CONCURRENCY = 8;
const BODY = 'x'.repeat(1024);
const RACK = 16;

/** Requests sent to one origin, and the processes that they cost something. */
interface Way {
  readonly name: string;
  readonly origin: string;
  readonly processes: readonly number[];
}

interface Sent {
  readonly count: number;
  readonly latenciesMs: readonly number[];
  readonly cpuMs: number;
}

const cpuOf = (pids: readonly number[]): number =>
  pids.reduce((sum, pid) => sum + processUse(pid).cpuMs, 0);

const sendOne = async (pool: Pool): Promise<number> => {
  const startedMs = performance.now();
  const response = await pool.request({
    path: '/services/spot-desk/echo?ms=0',
    method: 'POST',
    headers: {
      'x-request-id': randomUUID(),
      'task-class': 'price-check',
      tenant: 'desk',
      prefer: 'wait=5',
    },
    body: BODY,
  });
  const text = await response.body.text();
  if (text !== BODY) throw new Error(`Request was answered with ${text.slice(0, 300)}`);
  return performance.now() - startedMs;
};

const send = async (way: Way, count: number): Promise<Sent> => {
  const pool = new Pool(way.origin, { connections: CONCURRENCY });
  const before = cpuOf(way.processes);
  const latenciesMs: number[] = [];
  let begun = 0;
  const lane = async (): Promise<void> => {
    while (begun < count) {
      begun += 1;
      latenciesMs.push(await sendOne(pool));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, lane));
  const cpuMs = cpuOf(way.processes) - before;
  await pool.close();
  return { count, latenciesMs, cpuMs };
};

const measureWay = async (way: Way): Promise<readonly Slope[]> => {
  await send(way, WARM_UP);
  const sent: Sent[] = [];
  for (const count of COUNTS) sent.push(await send(way, count));
  const slope = (name: string, unit: string, value: (each: Sent) => number): Slope =>
    slopeOf(
      { name: `request, ${way.name}: ${name}`, unit, sizeAxis: 'requests, 8 at a time' },
      sent.map((each): Point => [each.count, value(each)]),
      SUITE,
    );
  const processor = slope('processor of all processes on the way', 'ms', ({ cpuMs }) => cpuMs);
  const slopes = [
    ...(way.processes.length === 0 ? [] : [processor]),
    slope('median latency', 'ms', ({ latenciesMs }) => quantile(latenciesMs, 0.5)),
    slope('99th percentile of latency', 'ms', ({ latenciesMs }) => quantile(latenciesMs, 0.99)),
  ];
  slopes.forEach(({ name, points }) => console.log(`${name}: ${JSON.stringify(points)}`));
  return slopes;
};

const pidOf = ({ id, program }: SiteEntry): number => {
  if (program.pid === undefined) throw new Error(`${id} does not run.`);
  return program.pid;
};

const entryWays = ({ site }: CostSite): readonly Way[] => {
  const [near, far] = site.entries;
  if (!near || !far) throw new Error('Two entries are needed.');
  return [
    { name: 'direct', origin: near.origin, processes: [pidOf(near)] },
    { name: 'forwarded', origin: far.origin, processes: [pidOf(near), pidOf(far)] },
  ];
};

const throughEntries = (): Promise<readonly Slope[]> => {
  const dataCentres = [
    { name: 'Ashburton', racks: [RACK], entries: 1 },
    { name: 'Timaru', racks: [], entries: 1 },
  ];
  return withSite(dataCentres, async (running) => {
    const slopes: Slope[] = [];
    for (const way of entryWays(running)) slopes.push(...(await measureWay(way)));
    return slopes;
  });
};

const runBare = (args: readonly string[]): ChildProgram =>
  new ChildProgram({
    name: 'bare relay',
    script: fileURLToPath(new URL('bareRelayMain.js', import.meta.url)),
    args,
    logPath: join(tmpdir(), 'samphirenotch-bare-relay.log'),
  });

const throughBareRelay = async (): Promise<readonly Slope[]> => {
  const echo = runBare(['echo']);
  const echoPort = await echo.line();
  const relay = runBare(['relay', echoPort]);
  try {
    const origin = `http://127.0.0.1:${await relay.line()}`;
    const direct = { name: 'no relay', origin: `http://127.0.0.1:${echoPort}`, processes: [] };
    const relayed = { name: 'bare relay', origin, processes: [relay.pid ?? 0] };
    return [...(await measureWay(direct)), ...(await measureWay(relayed))];
  } finally {
    await Promise.all([relay.kill(), echo.kill()]);
  }
};

/**
 * Measures requests through entries and through a bare relay.
 *
 * @returns slopes
 */
export const requestPath = async (): Promise<readonly Slope[]> => [
  ...(await throughBareRelay()),
  ...(await throughEntries()),
];
