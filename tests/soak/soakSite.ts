/**
 * The site of a soak: stand-ins of store and workers behind harmful links, and entries as processes.
 */
import path from 'node:path';

import { EntryProcess } from './entryProcess.js';
import { FaultProxy, type LinkFault } from './faultProxy.js';
import type { PromiseChecker } from './promiseChecker.js';
import { ReservedNetwork } from './reservedNetwork.js';
import type { ShareOwners } from './shareOwners.js';
import type { Fault } from './soakFaults.js';
import { QUEUES, SERVICE } from './soakJob.js';
import { SoakScenes } from './soakScenes.js';
import { StoreStandIn } from './storeStandIn.js';
import { Gangs } from './gangs.js';
import { labelsOf, WorkerStandIn } from './workerStandIn.js';

const ZONES = ['north', 'south', 'east'] as const;

/** Wait before an entry that has ended starts again, in milliseconds. */
const RESTART_MS = 500;

/** The wait of entries differs by up to this while owners are killed in series, in milliseconds. */
const RESTART_SPREAD_MS = 3_000;

/** Share of the entries that lose the store while others are served, as one in so many. */
const CUT_EVERY = 3;

/** Service without jobs. */
const IDLE_SERVICE = 'archive';

/** Time between two entries of a worker in the store, in milliseconds. */
const HEARTBEAT_MS = 500;

/** Slowest clock of a worker, as a share of real time. */
const SLOW_CLOCK = 0.98;

/** Time that a draining worker still serves, in milliseconds. */
const DRAIN_MS = 4_000;

/** What a site is made of. */
export interface SoakSiteOptions {
  readonly entries: number;
  readonly workers: number;
  readonly workerCpu: number;
  readonly program: string;
  readonly folder: string;
  readonly checker: PromiseChecker;
  readonly owners: ShareOwners;
  /** Data centres, at most three. */
  readonly dataCentres: number;
  /** Shares of a core that the entries say their VMs have, in turn; whole ones if left out. */
  readonly processorShares?: readonly number[];
  /** Share of a processor that each entry is held to; a whole one if left out. */
  readonly processorLimit?: number;
  /** Workers of a service that gets no jobs, the first of all; none if left out. */
  readonly idleWorkers?: number;
  /** Entries stay down for unlike times. */
  readonly spreadsRestarts?: boolean;
  readonly runtimeWords?: readonly string[];
}

/** An end behind a harmful link. */
export interface Linked<T> {
  readonly end: T;
  readonly link: FaultProxy;
  readonly port: number;
}

/** The site. */
export class SoakSite {
  readonly store = new StoreStandIn();

  readonly entries: { readonly entry: EntryProcess; readonly link: FaultProxy }[] = [];

  readonly workers: Linked<WorkerStandIn>[] = [];

  private version = 1;

  private sequence = 0;

  private readonly gangs = new Gangs();

  private workerCount = 0;

  private readonly evacuated = new Set<string>();

  private readonly zones: readonly string[];

  /** Data centres whose workers the store does not list. */
  private readonly unlisted = new Set<string>();

  private heartbeat: NodeJS.Timeout | undefined;

  private network: ReservedNetwork | undefined;

  private readonly scenes = new SoakScenes(this);

  /** How long workers say that they drain, in milliseconds. */
  private readonly drainsMs = new Map<string, number>();

  /** Workers that were replaced. */
  private replacements = 0;

  /**
   * @param options - sizes, program and folder
   */
  constructor(private readonly options: SoakSiteOptions) {
    this.zones = ZONES.slice(0, options.dataCentres);
  }

  /** Starts everything. */
  async start(): Promise<void> {
    await this.store.start();
    this.configure();
    for (let index = 0; index < this.options.workers; index += 1) await this.addWorker(index);
    this.beat();
    this.heartbeat = setInterval(() => this.beat(), HEARTBEAT_MS);
    const network = await ReservedNetwork.reserve();
    this.network = network;
    for (let index = 0; index < this.options.entries; index += 1) {
      await this.addEntry(index, network);
    }
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    clearInterval(this.heartbeat);
    await Promise.all(this.entries.map(({ entry }) => entry.stop()));
    this.entries.forEach(({ link }) => link.close());
    this.workers.forEach(({ end, link }) => {
      link.close();
      end.close();
    });
    this.store.close();
    this.network?.release();
  }

  /**
   * Lets a fault strike.
   *
   * @param fault - the fault
   * @returns what ends it; undefined if it ends by itself
   */
  strike(fault: Fault): (() => void) | undefined {
    const { kind, forMs, target, followUpsMs } = fault;
    const entry = this.entries[target % this.entries.length];
    const worker = this.workers[target % this.workers.length];
    if (!entry || !worker) return undefined;
    const endOfScene = this.scenes.strike(fault);
    if (endOfScene) return endOfScene;
    if (kind === 'owner-series') this.killOwners(target, 1, followUpsMs);
    if (kind === 'two-owners-kill') this.killOwners(target, 2, followUpsMs);
    if (kind === 'zones-part') return this.part(this.zoneAt(target), this.zoneAt(target + 1));
    if (kind === 'owner-terminate') this.ownerOf(target)?.signal('SIGTERM');
    if (kind.startsWith('some-entries-')) return this.strikeSomeEntries(kind, target);
    if (kind.startsWith('zone-')) return this.strikeZone(kind, this.zoneAt(target));
    if (kind.startsWith('store-')) return this.strikeStore(kind);
    if (kind.startsWith('worker-')) return this.strikeWorker(kind, worker);
    if (kind === 'configuration-change') {
      this.configure();
      return undefined;
    }
    if (kind === 'evacuation') return this.evacuate(this.zoneAt(target));
    if (kind === 'all-entries-kill') {
      this.entries.forEach((each) => each.entry.signal('SIGKILL'));
      return undefined;
    }
    return this.strikeEntry(kind, entry, forMs);
  }

  /** @returns the owners of shares */
  get owners(): ShareOwners {
    return this.options.owners;
  }

  /** @returns time since the start, in milliseconds */
  readonly nowMs = (): number => this.options.checker.nowMs();

  /** @returns a data centre */
  zoneAt(index: number): string {
    return this.zones[index % this.zones.length] ?? 'north';
  }

  /** @returns the data centre of the owner with a fencing token */
  zoneOf(token: number): string | undefined {
    return this.entryNamed(this.owners.entryOf(token))?.options.zone;
  }

  /** @returns the workers of a data centre */
  workersOf(zone: string): readonly WorkerStandIn[] {
    return this.workers.map(({ end }) => end).filter(({ options }) => options.dataCentre === zone);
  }

  /** @returns the entry with a name */
  entryNamed(name: string | undefined): EntryProcess | undefined {
    return this.entries.find(({ entry }) => entry.options.name === name)?.entry;
  }

  /** @returns the owner of a share */
  ownerOf(target: number): EntryProcess | undefined {
    const { owners } = this;
    const shares = owners.shares();
    return this.entryNamed(owners.ownerOf(shares[target % shares.length] ?? ''));
  }

  /** Kills the owners of shares at the same moment, and then those that take these shares over. */
  private killOwners(target: number, count: number, followUpsMs: readonly number[]): void {
    const { owners } = this.options;
    const known = owners.shares();
    const struck = new Set(
      Array.from({ length: count }, (_each, index) => known[(target + index) % known.length] ?? ''),
    );
    struck.forEach((share) => {
      let kills = 0;
      const stop = owners.listen((taken, name) => {
        if (taken !== share) return;
        setTimeout(() => this.entryNamed(name)?.signal('SIGKILL'), followUpsMs[kills]);
        kills += 1;
        if (kills >= followUpsMs.length) stop();
      });
    });
    struck.forEach((share) => this.entryNamed(owners.ownerOf(share))?.signal('SIGKILL'));
  }

  private strikeSomeEntries(kind: Fault['kind'], target: number): () => void {
    const struck = this.entries.filter((_each, index) => (index + target) % CUT_EVERY === 0);
    const owner = this.ownerOf(target);
    const links = this.entries
      .filter((each) => struck.includes(each) || each.entry === owner)
      .map(({ link }) => link);
    const fault = kind === 'some-entries-store-reset' ? 'reset' : 'cut';
    links.forEach((link) => link.set(fault));
    return () => links.forEach((link) => link.set('none'));
  }

  /** The store does not list the workers of a data centre. */
  unlist(zone: string): () => void {
    this.unlisted.add(zone);
    this.workersOf(zone).forEach(({ options }) => this.store.remove(`servers/${options.id}`));
    return () => this.unlisted.delete(zone);
  }

  private strikeZone(kind: Fault['kind'], zone: string): () => void {
    if (kind === 'zone-unlisted') return this.unlist(zone);
    const isFormerCut = kind === 'zone-cut-from-owner';
    const highest = new Map(this.workersOf(zone).map((worker) => [worker, worker.highestToken]));
    return this.cutWorkers((worker, token) => {
      const highestToken = highest.get(worker);
      return highestToken !== undefined && token <= highestToken === isFormerCut;
    });
  }

  /** Workers answer owners with some fencing tokens no more. */
  cutWorkers(isCut: (worker: WorkerStandIn, token: number) => boolean): () => void {
    const ends = this.workers.map(({ end: worker }) => {
      const cut = (token: number): boolean => isCut(worker, token);
      worker.cuts.add(cut);
      return () => worker.cuts.delete(cut);
    });
    return () => ends.forEach((end) => end());
  }

  /** The entries of a data centre lose the store. */
  cutStore(zone: string): () => void {
    const links = this.entries
      .filter(({ entry }) => entry.options.zone === zone)
      .map(({ link }) => link);
    links.forEach((link) => link.set('cut'));
    return () => links.forEach((link) => link.set('none'));
  }

  /** Owners in either data centre lose the workers in the other; all keep the store. */
  part(one: string, other: string): () => void {
    return this.cutWorkers(({ options: { dataCentre } }, token) => {
      const zone = this.zoneOf(token);
      return dataCentre === one ? zone === other : dataCentre === other && zone === one;
    });
  }

  private strikeEntry(
    kind: Fault['kind'],
    { entry, link }: SoakSite['entries'][number],
    forMs: number,
  ): (() => void) | undefined {
    if (kind === 'entry-kill') entry.signal('SIGKILL');
    if (kind === 'entry-terminate') entry.signal('SIGTERM');
    if (kind === 'entry-reload') entry.signal('SIGHUP');
    if (kind === 'entry-store-silent') link.silenceOpen();
    if (kind === 'entry-pause') {
      entry.pause();
      return () => entry.resume();
    }
    const faults: Partial<Record<Fault['kind'], LinkFault>> = {
      'entry-store-cut': 'cut',
      'entry-store-one-way': 'one-way',
      'entry-store-reset': 'reset',
    };
    const fault = faults[kind];
    if (!fault || forMs <= 0) return undefined;
    link.set(fault);
    return () => link.set('none');
  }

  private strikeStore(kind: Fault['kind']): (() => void) | undefined {
    const { store } = this;
    if (kind === 'store-reset') {
      this.entries.forEach(({ link }) => link.set('reset'));
      return () => this.entries.forEach(({ link }) => link.set('none'));
    }
    if (kind === 'store-compact') store.compact();
    if (kind === 'store-leases-lapse') store.lapseLeases();
    const modes = {
      'store-busy': 'busy',
      'store-silent': 'silent',
      'store-slow': 'slow',
      'store-late': 'late',
      'store-lost': 'lost',
    } as const;
    const mode = modes[kind as keyof typeof modes];
    if (!mode) return undefined;
    store.fault = mode;
    return () => {
      store.fault = 'none';
    };
  }

  private strikeWorker(
    kind: Fault['kind'],
    { end, link }: Linked<WorkerStandIn>,
  ): (() => void) | undefined {
    if (kind === 'worker-crash') end.crash();
    if (kind === 'worker-drain') this.drain(end);
    if (kind === 'worker-silent-connections') link.silenceOpen();
    const links: Partial<Record<Fault['kind'], LinkFault>> = {
      'worker-cut': 'cut',
      'worker-one-way': 'one-way',
      'worker-reset': 'reset',
      'worker-delay': 'delay',
    };
    const fault = links[kind];
    if (fault) {
      link.set(fault);
      return () => link.set('none');
    }
    const modes = { 'worker-late-orders': 'late', 'worker-hang': 'silent' } as const;
    const mode = modes[kind as keyof typeof modes];
    if (!mode) return undefined;
    const struck = end;
    struck.fault = mode;
    return () => {
      struck.fault = 'none';
    };
  }

  /** A worker says that it leaves, ends all that runs, and comes back. */
  drain(worker: WorkerStandIn, forMs = DRAIN_MS): void {
    const drained = worker;
    if (worker.drainingSinceMs !== undefined) return;
    this.drainsMs.set(worker.options.id, forMs);
    drained.drainingSinceMs = this.options.checker.nowMs();
    this.beat();
    setTimeout(() => {
      worker.crash();
      drained.drainingSinceMs = undefined;
    }, forMs);
  }

  private evacuate(zone: string): () => void {
    this.evacuated.add(zone);
    this.store.put(`op/evacuate/${zone}`, {});
    return () => {
      this.evacuated.delete(zone);
      this.store.remove(`op/evacuate/${zone}`);
    };
  }

  private configure(): void {
    this.version += 3;
    this.store.put('op/config', {
      Version: this.version,
      Routes: QUEUES.map((queue) => ({
        Name: queue.name,
        Host: queue.host,
        Prefix: queue.prefix,
        Service: SERVICE,
        Priority: queue.priority,
        MaxAttempts: queue.maxAttempts,
        Stretch: 2,
        TargetLatencyMs: 1_000,
      })),
      Services: [{ Name: SERVICE }, { Name: IDLE_SERVICE }],
      Limits: { MaxBodyBytes: 262_144 },
    });
  }

  /** Workers write their entries. */
  beat(): void {
    this.sequence += 1;
    this.workers.forEach(({ end, port }) => {
      if (this.unlisted.has(end.options.dataCentre)) return;
      this.store.put(`servers/${end.options.id}`, {
        Service: end.options.service,
        Address: `127.0.0.1:${port}`,
        Zone: end.options.dataCentre,
        Version: '1',
        State: end.drainingSinceMs === undefined ? 'ready' : 'draining',
        ColdLeftMs: 0,
        ...this.remainingOf(end),
        Sequence: this.sequence,
        Capacity: { Cpu: end.options.cpu, MemMb: end.options.memMb, Gpu: 0 },
        Labels: labelsOf(end.options),
        born: end.bornMs,
      });
    });
  }

  private remainingOf(worker: WorkerStandIn): { readonly RemainingMs?: number } {
    const { drainingSinceMs, options } = worker;
    if (drainingSinceMs === undefined) return {};
    const drainsMs = this.drainsMs.get(options.id) ?? DRAIN_MS;
    const leftMs = drainingSinceMs + drainsMs - this.options.checker.nowMs();
    return { RemainingMs: Math.max(0, Math.round(leftMs)) };
  }

  /**
   * Takes a worker away, with all that runs on it.
   *
   * @param worker - the worker
   */
  removeWorker(worker: Linked<WorkerStandIn>): void {
    const at = this.workers.indexOf(worker);
    if (at < 0) return;
    this.workers.splice(at, 1);
    worker.end.crash();
    worker.link.close();
    worker.end.close();
    this.store.remove(`servers/${worker.end.options.id}`);
  }

  /**
   * Another worker takes the place of a worker, at its address.
   *
   * @param worker - the worker
   * @param listedMs - time for which the former worker stays listed, in milliseconds
   */
  replaceWorker(worker: WorkerStandIn, listedMs = 0): void {
    const { id } = worker.options;
    this.replacements += 1;
    worker.replace(`${id}-${this.replacements}`);
    setTimeout(() => this.store.remove(`servers/${id}`), listedMs);
  }

  /**
   * Adds a worker.
   *
   * @param index - picks its service, rack and clock
   * @param dataCentre - its data centre; picked by the index if left out
   */
  async addWorker(index: number, dataCentre = this.zoneAt(index)): Promise<void> {
    const { checker, workerCpu, idleWorkers = 0 } = this.options;
    const id = `w${this.workerCount}`;
    this.workerCount += 1;
    const worker = new WorkerStandIn({
      id,
      index,
      service: index < idleWorkers ? IDLE_SERVICE : SERVICE,
      rack: `r${index % 3}`,
      dataCentre,
      cpu: workerCpu,
      memMb: 64_000,
      clockRate: index % 2 === 0 ? 1 : SLOW_CLOCK,
      checker,
      gangs: this.gangs,
      settleAll: () => this.workers.forEach(({ end }) => end.tick()),
    });
    await worker.start();
    const link = new FaultProxy(worker.port);
    this.workers.push({ end: worker, link, port: await link.listen() });
  }

  private async addEntry(index: number, network: ReservedNetwork): Promise<void> {
    const { folder, program, processorShares = [], processorLimit, runtimeWords } = this.options;
    const processorShare = processorShares[index % processorShares.length];
    const spreadMs = this.options.spreadsRestarts ? RESTART_SPREAD_MS : 0;
    const name = `entry-${index}`;
    const link = new FaultProxy(this.store.port);
    const entry = new EntryProcess({
      name,
      host: network.addressOf(index),
      zone: this.zoneAt(index),
      restartMs: RESTART_MS + (spreadMs * index) / this.options.entries,
      onLine: (line) => this.options.owners.read(name, line),
      storePort: await link.listen(),
      folder: path.resolve(folder),
      program,
      ...(processorShare === undefined ? {} : { processorShare }),
      ...(processorLimit === undefined ? {} : { processorLimit }),
      ...(runtimeWords ? { runtimeWords } : {}),
    });
    this.entries.push({ entry, link });
    entry.start();
  }
}
