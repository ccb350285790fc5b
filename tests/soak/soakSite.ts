/**
 * The site of a soak: stand-ins of store and workers behind harmful links, and entries as processes.
 */
import path from 'node:path';

import { EntryProcess } from './entryProcess.js';
import { FaultProxy, type LinkFault } from './faultProxy.js';
import type { PromiseChecker } from './promiseChecker.js';
import type { Fault } from './soakFaults.js';
import { QUEUES, SERVICE } from './soakJob.js';
import { StoreStandIn } from './storeStandIn.js';
import { WorkerStandIn } from './workerStandIn.js';

const ZONES = ['north', 'south'] as const;

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
  /** Third part of the entries' addresses, so that several soaks run beside each other. */
  readonly network: number;
  readonly checker: PromiseChecker;
  /** Share of a core that each entry says its VM has; a whole one if left out. */
  readonly processorShare?: number;
  readonly runtimeWords?: readonly string[];
}

interface Linked<T> {
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

  private readonly evacuated = new Set<string>();

  private heartbeat: NodeJS.Timeout | undefined;

  /**
   * @param options - sizes, program and folder
   */
  constructor(private readonly options: SoakSiteOptions) {}

  /** Starts everything. */
  async start(): Promise<void> {
    await this.store.start();
    this.configure();
    for (let index = 0; index < this.options.workers; index += 1) await this.addWorker(index);
    this.beat();
    this.heartbeat = setInterval(() => this.beat(), HEARTBEAT_MS);
    for (let index = 0; index < this.options.entries; index += 1) await this.addEntry(index);
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
  }

  /**
   * Lets a fault strike.
   *
   * @param fault - the fault
   * @returns what ends it; undefined if it ends by itself
   */
  strike({ kind, forMs, target }: Fault): (() => void) | undefined {
    const entry = this.entries[target % this.entries.length];
    const worker = this.workers[target % this.workers.length];
    if (!entry || !worker) return undefined;
    if (kind.startsWith('store-')) return this.strikeStore(kind);
    if (kind.startsWith('worker-')) return this.strikeWorker(kind, worker);
    if (kind === 'configuration-change') {
      this.configure();
      return undefined;
    }
    if (kind === 'evacuation') return this.evacuate(ZONES[target % ZONES.length] ?? 'north');
    if (kind === 'all-entries-kill') {
      this.entries.forEach((each) => each.entry.signal('SIGKILL'));
      return undefined;
    }
    return this.strikeEntry(kind, entry, forMs);
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
      entry.signal('SIGSTOP');
      return () => entry.signal('SIGCONT');
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
    if (kind === 'store-compact') store.compact();
    if (kind === 'store-leases-lapse') store.lapseLeases();
    const modes = {
      'store-busy': 'busy',
      'store-silent': 'silent',
      'store-slow': 'slow',
      'store-late': 'late',
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
  private drain(worker: WorkerStandIn): void {
    const drained = worker;
    if (worker.drainingSinceMs !== undefined) return;
    drained.drainingSinceMs = this.options.checker.nowMs();
    this.beat();
    setTimeout(() => {
      worker.crash();
      drained.drainingSinceMs = undefined;
    }, DRAIN_MS);
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
      Services: [{ Name: SERVICE }],
      Limits: { MaxBodyBytes: 262_144 },
    });
  }

  private beat(): void {
    this.sequence += 1;
    this.workers.forEach(({ end, port }, index) =>
      this.store.put(`servers/${end.options.id}`, {
        Service: SERVICE,
        Address: `127.0.0.1:${port}`,
        Zone: ZONES[index % ZONES.length],
        Version: '1',
        State: end.drainingSinceMs === undefined ? 'ready' : 'draining',
        ColdLeftMs: 0,
        ...(end.drainingSinceMs === undefined ? {} : { RemainingMs: DRAIN_MS }),
        Sequence: this.sequence,
        Capacity: { Cpu: end.options.cpu, MemMb: end.options.memMb, Gpu: 0 },
        Labels: ['a', `r${index % 3}`],
        born: end.bornMs,
      }),
    );
  }

  private async addWorker(index: number): Promise<void> {
    const { checker, workerCpu } = this.options;
    const worker = new WorkerStandIn({
      id: `w${index}`,
      cpu: workerCpu,
      memMb: 64_000,
      clockRate: index % 2 === 0 ? 1 : SLOW_CLOCK,
      checker,
    });
    await worker.start();
    const link = new FaultProxy(worker.port);
    this.workers.push({ end: worker, link, port: await link.listen() });
  }

  private async addEntry(index: number): Promise<void> {
    const { folder, program, network, processorShare, runtimeWords } = this.options;
    const link = new FaultProxy(this.store.port);
    const entry = new EntryProcess({
      name: `entry-${index}`,
      host: `127.0.${network}.${index + 2}`,
      zone: ZONES[index % ZONES.length] ?? 'north',
      storePort: await link.listen(),
      folder: path.resolve(folder),
      program,
      ...(processorShare === undefined ? {} : { processorShare }),
      ...(runtimeWords ? { runtimeWords } : {}),
    });
    this.entries.push({ entry, link });
    entry.start();
  }
}
