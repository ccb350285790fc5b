/**
 * Sites whose cost is measured: started, configured, and waited for until they are at rest.
 *
 * @packageDocumentation
 */

import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { pause, Site, until, type SiteEntry } from 'samphirenotch-stand-ins/site/site.js';
import { SiteCaller } from 'samphirenotch-stand-ins/site/siteCaller.js';
import { SiteOperator } from 'samphirenotch-stand-ins/site/siteOperator.js';
import type { DataCentrePlan } from 'samphirenotch-stand-ins/site/sitePlan.js';

import { processUse, type ProcessUse } from './processUse.js';

/** Calls that the platform counted. */
export interface StoreCalls {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

/** A site that is measured. */
export interface CostSite {
  readonly site: Site;
  readonly caller: SiteCaller;
}

/** What an entry used in a second, or has. */
export interface EntryRate {
  readonly cpuShare: number;
  readonly residentBytes: number;
  readonly bytesPerSecond: number;
  readonly platformBytesPerSecond: number;
  /** Bytes on connections that peers opened to it, in both directions. */
  readonly peerBytesPerSecond: number;
}

/** What a site used in a second. */
export interface SiteRate {
  readonly entries: readonly EntryRate[];
  readonly callsPerSecond: number;
}

interface StatusShown {
  readonly resources: readonly { readonly owner: string | null }[];
}

const CAPACITY = { milliCores: 64_000, memoryMb: 250_000, accelerators: 0 };
const SETTLE_MS = 6000;
const READY_TIMEOUT_MS = 40_000;
const MS_PER_SECOND = 1000;

/** Bounds that would otherwise end a measurement early. */
const WIDE_BOUNDS: Readonly<Record<string, string>> = {
  requestsPerSecond: '1000000',
  queuedRequests: '100000',
  runningTasks: '100000',
  queuedTasks: '100000',
  cores: '100000 cores',
  memory: '1000000 GB',
};

const BOUND_FILES: ReadonlySet<string> = new Set(['limits.ini', 'quotas.ini']);

const widen = (text: string): string =>
  text.replace(/^(\w+) = .*$/gm, (line, key: string) =>
    WIDE_BOUNDS[key] === undefined ? line : `${key} = ${WIDE_BOUNDS[key]}`,
  );

const writeConfiguration = (directory: string): string => {
  const source = join(process.cwd(), 'examples/council');
  const target = join(directory, 'configuration');
  mkdirSync(target);
  readdirSync(source).forEach((name) => {
    const text = readFileSync(join(source, name), 'utf8');
    writeFileSync(join(target, name), BOUND_FILES.has(name) ? widen(text) : text);
  });
  return target;
};

const isAtRest = async (caller: SiteCaller): Promise<boolean> => {
  const status = await caller.read<StatusShown>('/status');
  if (!status || status.resources.length === 0) return false;
  return status.resources.every(({ owner }) => owner !== null);
};

/** Starts one entry of each data centre, then the others one after another. */
const startAll = async (site: Site, wanted: readonly DataCentrePlan[]): Promise<void> => {
  await site.start();
  const others = wanted.flatMap(({ name, entries }) =>
    Array.from({ length: Math.max(0, entries - 1) }, () => name),
  );
  for (const dataCentre of others) await site.startEntry(dataCentre);
};

const prepare = async (
  site: Site,
  wanted: readonly DataCentrePlan[],
  configuration: string,
): Promise<CostSite> => {
  await startAll(site, wanted);
  const operator = new SiteOperator(site);
  const { version } = await operator.publish(configuration);
  await operator.inForce(version);
  const caller = new SiteCaller(site);
  await until('everything to be owned', () => isAtRest(caller), READY_TIMEOUT_MS);
  await pause(SETTLE_MS);
  return { site, caller };
};

/**
 * Runs a site, measures it and ends it.
 *
 * @param dataCentres - machines of the site
 * @param measure - called once the site is at rest
 * @returns what was measured
 */
export const withSite = async <T>(
  dataCentres: readonly DataCentrePlan[],
  measure: (running: CostSite) => Promise<T>,
): Promise<T> => {
  const directory = mkdtempSync(join(tmpdir(), 'samphirenotch-costs-'));
  const packages = join(process.cwd(), 'packages');
  const programs = {
    platform: join(packages, 'samphirenotch-stand-ins/dist/platformMain.js'),
    worker: join(packages, 'samphirenotch-stand-ins/dist/workerMain.js'),
    entry: join(packages, 'samphirenotch-entry/dist/main.js'),
  };
  const first = dataCentres.map((each) => ({ ...each, entries: Math.min(1, each.entries) }));
  const plan = { name: 'costs', capacity: CAPACITY, dataCentres: first };
  const site = new Site(plan, programs, directory);
  try {
    return await measure(await prepare(site, dataCentres, writeConfiguration(directory)));
  } finally {
    await site.stop();
    rmSync(directory, { recursive: true, force: true });
  }
};

/**
 * Reads what an entry has used.
 *
 * @param entry - a running entry
 * @returns its use
 */
export const entryUse = ({ id, program }: SiteEntry): ProcessUse => {
  if (program.pid === undefined) throw new Error(`${id} does not run.`);
  return processUse(program.pid);
};

interface EntrySample extends ProcessUse {
  readonly platformBytes: number;
  readonly peerBytes: number;
}

const sample = (entry: SiteEntry): EntrySample => ({
  ...entryUse(entry),
  platformBytes: entry.platformRelay.passedBytes,
  peerBytes: entry.peerRelay.passedBytes,
});

const rateOf = (before: EntrySample, after: EntrySample, durationMs: number): EntryRate => {
  const perSecond = (from: number, to: number): number =>
    ((to - from) * MS_PER_SECOND) / durationMs;
  return {
    cpuShare: (after.cpuMs - before.cpuMs) / durationMs,
    residentBytes: after.residentBytes,
    bytesPerSecond: perSecond(before.transferredBytes, after.transferredBytes),
    platformBytesPerSecond: perSecond(before.platformBytes, after.platformBytes),
    peerBytesPerSecond: perSecond(before.peerBytes, after.peerBytes),
  };
};

/**
 * Measures what a site uses.
 *
 * @param running - the site
 * @param durationMs - how long to measure, in milliseconds
 * @returns rates of its entries and of the store
 */
export const measureSite = async ({ site }: CostSite, durationMs: number): Promise<SiteRate> => {
  const callsBefore = (await site.platformCounts()) as StoreCalls;
  const before = site.entries.map(sample);
  const startedMs = performance.now();
  await pause(durationMs);
  const after = site.entries.map(sample);
  const passedMs = performance.now() - startedMs;
  const callsAfter = (await site.platformCounts()) as StoreCalls;
  const total = ({ reads, writes, watches }: StoreCalls): number => reads + writes + watches;
  return {
    entries: before.map((each, index) => rateOf(each, after[index] ?? each, passedMs)),
    callsPerSecond: ((total(callsAfter) - total(callsBefore)) * MS_PER_SECOND) / passedMs,
  };
};
