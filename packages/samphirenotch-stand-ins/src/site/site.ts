/**
 * A whole site as separate processes on loopback: platform, workers and entries.
 */
import { mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import type { WorkerListing } from 'samphirenotch/infrastructure/vmList.js';
import { request } from 'undici';

import type { HistoryEvent } from '../history.js';
import type { LeaveWindow } from '../invariants.js';
import type { StoreFaults } from '../storeFaults.js';
import type { WorkerFaults } from '../workerFaults.js';

import { ChildProgram } from './childProgram.js';
import { freePort } from './freePort.js';
import { rackListings, type DataCentrePlan, type SitePlan } from './sitePlan.js';
import { TcpRelay } from './tcpRelay.js';

/** Where the programs of a site are. */
export interface SitePrograms {
  readonly platform: string;
  readonly worker: string;
  readonly entry: string;
}

/** An entry of a site. */
export interface SiteEntry {
  readonly id: string;
  readonly dataCentre: string;
  /** Base of its HTTP interface. */
  readonly origin: string;
  /** Address under which peers know it. */
  readonly peerAddress: string;
  readonly program: ChildProgram;
  /** Relay on its way to the platform. */
  readonly platformRelay: TcpRelay;
  /** Relay on the way of peers to it. */
  readonly peerRelay: TcpRelay;
}

const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const START_TRIES = 3;
/** Time until the balancer sends no more to an entry that is not ready. */
const BALANCER_LAG_MS = 1000;

/**
 * Waits.
 *
 * @param durationMs - how long, in milliseconds
 * @returns a promise that resolves after the wait
 */
export const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/**
 * Waits for a condition.
 *
 * @param what - what is waited for, for the error
 * @param holds - asked again and again
 * @param timeoutMs - after how many milliseconds to give up
 */
export const until = async (
  what: string,
  holds: () => Promise<boolean> | boolean,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> => {
  const endMs = performance.now() + timeoutMs;
  while (!(await holds())) {
    if (performance.now() > endMs) throw new Error(`Waited ${timeoutMs} ms for ${what}.`);
    await pause(POLL_INTERVAL_MS);
  }
};

const post = async (url: string, body: unknown): Promise<unknown> => {
  const response = await request(url, { method: 'POST', body: JSON.stringify(body) });
  return response.body.json();
};

const closeRelays = ({ platformRelay, peerRelay }: SiteEntry): void => {
  platformRelay.close();
  peerRelay.close();
};

/** A running site. */
export class Site {
  readonly entries: SiteEntry[] = [];

  /** Times in which workers were listed as leaving. */
  readonly leaveWindows: LeaveWindow[] = [];

  private readonly racks: ChildProgram[] = [];

  private listings: WorkerListing[] = [];

  private platform: ChildProgram | undefined;

  private platformPort = 0;

  private entryCount = 0;

  /**
   * @param plan - machines of the site
   * @param programs - what to run
   * @param directory - an empty directory for settings, logs and histories
   */
  constructor(
    readonly plan: SitePlan,
    private readonly programs: SitePrograms,
    private readonly directory: string,
  ) {}

  /** Starts platform, workers and entries, and waits until entries answer. */
  async start(): Promise<void> {
    mkdirSync(this.directory, { recursive: true });
    await this.startPlatform();
    await Promise.all(this.plan.dataCentres.map((dataCentre) => this.startWorkers(dataCentre)));
    const places = this.plan.dataCentres.flatMap((dataCentre) =>
      Array.from({ length: dataCentre.entries }, () => dataCentre.name),
    );
    await Promise.all(places.map((dataCentre) => this.startEntry(dataCentre)));
  }

  /**
   * Starts one more entry and waits until it answers.
   *
   * @param dataCentre - where it is
   * @returns the entry
   */
  async startEntry(dataCentre: string): Promise<SiteEntry> {
    for (let tries = 1; ; tries += 1) {
      const entry = await this.launchEntry(dataCentre);
      try {
        await until(`${entry.id} to answer`, () => this.answers(entry));
        return entry;
      } catch (error) {
        this.forget(entry);
        if (entry.program.running || tries === START_TRIES) throw error;
      }
    }
  }

  /** Kills an entry and forgets it. */
  async killEntry(entry: SiteEntry): Promise<void> {
    await entry.program.kill();
    this.forget(entry);
  }

  /**
   * Stops an entry as planned and forgets it.
   *
   * @returns its exit code
   */
  async stopEntry(entry: SiteEntry): Promise<number | null> {
    const ended = entry.program.terminate();
    await pause(BALANCER_LAG_MS);
    this.entries.splice(this.entries.indexOf(entry), 1);
    const code = await ended;
    closeRelays(entry);
    return code;
  }

  /** Switches faults of the platform. */
  async platformFaults(faults: Partial<StoreFaults>): Promise<void> {
    await post(`http://127.0.0.1:${this.platformPort}/control/faults`, faults);
  }

  /** Reads how often the store was called. */
  async platformCounts(): Promise<unknown> {
    return post(`http://127.0.0.1:${this.platformPort}/control/counts`, {});
  }

  /** Switches faults of one worker. */
  async workerFaults(workerId: string, faults: Partial<WorkerFaults>): Promise<void> {
    const worker = this.listings.find(({ id }) => id === workerId);
    if (!worker) throw new Error(`There is no worker ${workerId}.`);
    await post(`http://${worker.address}/control/faults`, faults);
  }

  /** Lists a worker as leaving or no longer leaving. */
  async listLeaving(workerId: string, leaving: boolean): Promise<void> {
    const worker = this.listings.find(({ id }) => id === workerId);
    if (!worker) throw new Error(`There is no worker ${workerId}.`);
    if (!leaving) this.endLeaveWindow(workerId);
    await post(`http://127.0.0.1:${this.platformPort}/vms/put`, { ...worker, leaving });
    if (!leaving) return;
    this.leaveWindows.push({ workerId, listedAtMs: Date.now(), endedAtMs: Infinity });
  }

  /** @returns workers of the site */
  workers(): readonly WorkerListing[] {
    return this.listings;
  }

  /** @returns everything that workers wrote into their histories so far */
  history(): readonly HistoryEvent[] {
    return readdirSync(this.directory)
      .filter((name) => name.endsWith('.history'))
      .flatMap((name) => readFileSync(join(this.directory, name), 'utf8').split('\n'))
      .filter((line) => line !== '')
      .map((line) => JSON.parse(line) as HistoryEvent);
  }

  /** Ends every process of the site. */
  async stop(): Promise<void> {
    const programs = [...this.entries.map(({ program }) => program), ...this.racks];
    if (this.platform) programs.push(this.platform);
    await Promise.all(programs.filter(({ running }) => running).map((program) => program.kill()));
    this.entries.forEach(closeRelays);
  }

  /** Another program may take a port before the entry does; then the entry ends by itself. */
  private async launchEntry(dataCentre: string): Promise<SiteEntry> {
    this.entryCount += 1;
    const id = `${dataCentre}-e${this.entryCount}`;
    const [grpcPort, httpPort] = [await freePort(), await freePort()];
    const platformRelay = new TcpRelay(this.platformPort);
    const peerRelay = new TcpRelay(grpcPort);
    const peerAddress = `127.0.0.1:${await peerRelay.listen()}`;
    const settings = join(this.directory, `${id}.ini`);
    const lines = [
      '[entry]',
      `id = ${id}`,
      `dataCentre = ${dataCentre}`,
      `grpcAddress = ${peerAddress}`,
      `grpcListen = 127.0.0.1:${grpcPort}`,
      `httpAddress = 127.0.0.1:${httpPort}`,
      ...this.seedLine(),
      '[platform]',
      'kind = http',
      `address = 127.0.0.1:${await platformRelay.listen()}`,
      '[log]',
      'format = json',
      'level = info',
    ];
    writeFileSync(settings, `${lines.join('\n')}\n`);
    const program = this.run(id, this.programs.entry, [settings]);
    const origin = `http://127.0.0.1:${httpPort}`;
    const entry = { id, dataCentre, origin, peerAddress, program, platformRelay, peerRelay };
    this.entries.push(entry);
    return entry;
  }

  private async startPlatform(): Promise<void> {
    this.platform = this.run('platform', this.programs.platform, ['127.0.0.1', '0']);
    this.platformPort = Number(await this.platform.line());
  }

  private async startWorkers(dataCentre: DataCentrePlan): Promise<void> {
    await Promise.all(dataCentre.racks.map((_, rack) => this.startRack(dataCentre, rack)));
  }

  private async startRack(dataCentre: DataCentrePlan, rack: number): Promise<void> {
    const name = `${dataCentre.name}-r${rack + 1}`;
    const listingsPath = join(this.directory, `${name}.json`);
    writeFileSync(listingsPath, JSON.stringify(rackListings(this.plan, dataCentre, rack)));
    const history = join(this.directory, `${name}.history`);
    const platform = `127.0.0.1:${this.platformPort}`;
    const program = this.run(name, this.programs.worker, [platform, history, listingsPath]);
    this.racks.push(program);
    const running = JSON.parse(await program.line()) as WorkerListing[];
    this.listings = [...this.listings, ...running];
  }

  private run(name: string, script: string, args: readonly string[]): ChildProgram {
    return new ChildProgram({ name, script, args, logPath: join(this.directory, `${name}.log`) });
  }

  private async answers({ id, origin, program }: SiteEntry): Promise<boolean> {
    if (!program.running) throw new Error(`${id} ended early, see ${program.start.logPath}.`);
    try {
      const response = await request(`${origin}/healthz`);
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  private seedLine(): readonly string[] {
    const seeds = this.entries.slice(0, 3).map(({ peerAddress }) => peerAddress);
    return seeds.length === 0 ? [] : [`seedPeers = ${seeds.join(', ')}`];
  }

  private endLeaveWindow(workerId: string): void {
    const index = this.leaveWindows.findLastIndex((window) => window.workerId === workerId);
    const window = this.leaveWindows[index];
    if (window) this.leaveWindows[index] = { ...window, endedAtMs: Date.now() };
  }

  private forget(entry: SiteEntry): void {
    this.entries.splice(this.entries.indexOf(entry), 1);
    closeRelays(entry);
  }
}
