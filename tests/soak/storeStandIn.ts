/**
 * The platform's store, in memory: transactions, watches with a history, leases, and its outages.
 */
import type { Server } from 'node:http';

import { startServer, type StandInAnswer, type StandInRequest } from './httpServer.js';
import { waitForWake } from './wakeUps.js';

/** How the store misbehaves. */
export type StoreFault =
  | 'none'
  /** Turns every call away. */
  | 'busy'
  /** Answers nothing. */
  | 'silent'
  /** Takes long for every answer. */
  | 'slow'
  /** Does some of the writes late and answers none of these. */
  | 'late'
  /** Answers some of the writes with nothing. */
  | 'lost';

const SLOW_MS = 400;

/** Every third write is done late, or loses its answer, while the store does that. */
const LATE_EVERY = 3;

/** Time in which changes wake the watches once, in milliseconds. */
const WAKE_MS = 2;

/** Longest delay of a late write, in milliseconds. */
const LATE_MS = 4_000;

const MOST_EVENTS = 5_000;

interface Item {
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface StoreEvent {
  readonly key: string;
  readonly revision: number;
  readonly item: Item | undefined;
}

interface StoreLease {
  readonly ttlMs: number;
  expiresMs: number;
}

interface Transaction {
  readonly Expect?: readonly { readonly Key: string; readonly Revision: number }[];
  readonly Writes?: readonly {
    readonly Key: string;
    readonly Value: string;
    readonly Lease?: number;
  }[];
  readonly Remove?: readonly string[];
}

const encode = (text: string): string => Buffer.from(text, 'utf8').toString('base64');

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const show = (key: string, item: Item) => ({
  Key: key,
  Value: item.value,
  Revision: item.revision,
  Created: item.created,
  Lease: item.lease,
});

/** The store. */
export class StoreStandIn {
  fault: StoreFault = 'none';

  port = 0;

  private readonly items = new Map<string, Item>();

  private readonly leases = new Map<number, StoreLease>();

  private events: StoreEvent[] = [];

  /** Events up to this revision are gone. */
  private droppedTo = 0;

  private revision = 1;

  private nextLease = 1;

  private writes = 0;

  private waiting = new Set<() => void>();

  private server: Server | undefined;

  private ticker: NodeJS.Timeout | undefined;

  private waker: NodeJS.Timeout | undefined;

  /** Starts serving. */
  async start(): Promise<void> {
    const { server, port } = await startServer((request) => this.handle(request));
    this.server = server;
    this.port = port;
    this.ticker = setInterval(() => this.expireLeases(), 50);
  }

  /** Ends serving. */
  close(): void {
    clearInterval(this.ticker);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Writes a key, as operators and workers do. */
  put(key: string, content: unknown): void {
    this.change(key, { value: encode(JSON.stringify(content)), lease: 0 });
    this.wake();
  }

  /** Removes a key. */
  remove(key: string): void {
    if (this.items.has(key)) this.change(key, undefined);
    this.wake();
  }

  /** Drops the history and cuts every watch. */
  compact(): void {
    this.events = [];
    this.droppedTo = this.revision;
    this.wake();
  }

  /** Ends every lease at once, as an outage may. */
  lapseLeases(): void {
    this.leases.forEach((lease) => {
      const ended = lease;
      ended.expiresMs = 0;
    });
    this.expireLeases();
  }

  private async handle(request: StandInRequest): Promise<StandInAnswer> {
    if (this.fault === 'silent') return undefined;
    if (this.fault === 'busy') return { status: 503 };
    if (this.fault === 'slow') await sleep(SLOW_MS);
    const { path, method } = request;
    if (path === '/v1/kv-key') return this.get(request);
    if (path === '/v1/kv-range') return this.range(request);
    if (path === '/v1/kv-watch') return this.watch(request);
    if (path === '/v1/kv-txn') return this.write(request.body as Transaction);
    if (path === '/v1/kv-lease') return this.grant(Number(request.body['TtlMs']));
    const lease = Number(path.split('/').at(-1));
    if (path.startsWith('/v1/kv-keep/')) return this.keep(lease);
    if (path.startsWith('/v1/kv-lease-end/') && method === 'DELETE') return this.end(lease);
    return { status: 404 };
  }

  private get({ query }: StandInRequest): StandInAnswer {
    const key = query.get('Key') ?? '';
    const item = this.items.get(key);
    if (!item) return { status: 404 };
    return { status: 200, body: { ...show(key, item), StoreRevision: this.revision } };
  }

  private range({ query }: StandInRequest): StandInAnswer {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('After') ?? '';
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const page = keys.slice(0, 500);
    const items = page.flatMap((key) => {
      const item = this.items.get(key);
      return item ? [show(key, item)] : [];
    });
    const HasMore = keys.length > page.length;
    return { status: 200, body: { items, HasMore, StoreRevision: this.revision } };
  }

  private async watch({ query }: StandInRequest): Promise<StandInAnswer> {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    const untilMs = Date.now() + Number(query.get('WaitMs'));
    for (;;) {
      if (after < this.droppedTo) return { status: 410 };
      const last = this.events.findLastIndex(({ revision }) => revision <= after);
      const events = this.events.slice(last + 1).filter(({ key }) => key.startsWith(prefix));
      if (events.length > 0 || Date.now() >= untilMs) {
        const shown = events.map(({ key, revision, item }) =>
          item ? show(key, item) : { Key: key, Revision: revision, Removed: true },
        );
        return { status: 200, body: { events: shown, StoreRevision: this.revision } };
      }
      await this.nextChange(untilMs - Date.now());
      // A watch that waited when the outage began is cut.
      if (this.fault === 'silent') return undefined;
      if (this.fault === 'busy') return { status: 503 };
    }
  }

  private write(transaction: Transaction): StandInAnswer {
    this.writes += 1;
    if (this.fault === 'late' && this.writes % LATE_EVERY === 0) {
      const delayMs = (this.writes * 977) % LATE_MS;
      setTimeout(() => this.commit(transaction), delayMs);
      return undefined;
    }
    if (this.fault === 'lost' && this.writes % LATE_EVERY === 0) {
      this.commit(transaction);
      return undefined;
    }
    return this.commit(transaction);
  }

  private commit({ Expect = [], Writes = [], Remove = [] }: Transaction): StandInAnswer {
    const isMet = Expect.every(
      ({ Key, Revision }) => (this.items.get(Key)?.revision ?? 0) === Revision,
    );
    if (!isMet) {
      const items = Expect.flatMap(({ Key }) => {
        const item = this.items.get(Key);
        return item ? [show(Key, item)] : [];
      });
      return { status: 412, body: { items } };
    }
    const isLeased = Writes.every(({ Lease = 0 }) => Lease === 0 || this.leases.has(Lease));
    if (!isLeased) return { status: 404 };
    this.revision += 1;
    Writes.forEach(({ Key, Value, Lease = 0 }) =>
      this.change(Key, { value: Value, lease: Lease }, this.revision),
    );
    Remove.filter((key) => this.items.has(key)).forEach((key) =>
      this.change(key, undefined, this.revision),
    );
    this.wake();
    return { status: 200, body: { Revision: this.revision } };
  }

  private grant(ttlMs: number): StandInAnswer {
    const id = this.nextLease;
    this.nextLease += 1;
    this.leases.set(id, { ttlMs, expiresMs: Date.now() + ttlMs });
    return { status: 200, body: { Lease: id, TtlMs: ttlMs } };
  }

  private keep(id: number): StandInAnswer {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404 };
    lease.expiresMs = Date.now() + lease.ttlMs;
    return { status: 200 };
  }

  private end(id: number): StandInAnswer {
    if (!this.leases.has(id)) return { status: 404 };
    this.dropLease(id);
    return { status: 200 };
  }

  private expireLeases(): void {
    const nowMs = Date.now();
    [...this.leases]
      .filter(([, { expiresMs }]) => expiresMs <= nowMs)
      .forEach(([id]) => this.dropLease(id));
  }

  private dropLease(id: number): void {
    this.leases.delete(id);
    [...this.items]
      .filter(([, { lease }]) => lease === id)
      .forEach(([key]) => this.change(key, undefined));
    this.wake();
  }

  private change(
    key: string,
    content: { readonly value: string; readonly lease: number } | undefined,
    at = this.revision + 1,
  ): void {
    this.revision = at;
    const created = this.items.get(key)?.created ?? at;
    const item = content && { ...content, revision: at, created };
    if (item) this.items.set(key, item);
    else this.items.delete(key);
    this.events.push({ key, revision: at, item });
    if (this.events.length <= MOST_EVENTS) return;
    const dropped = this.events.splice(0, MOST_EVENTS / 2);
    this.droppedTo = dropped.at(-1)?.revision ?? this.droppedTo;
  }

  private wake(): void {
    this.waker ??= setTimeout(() => {
      this.waker = undefined;
      this.waiting.forEach((wake) => wake());
    }, WAKE_MS);
  }

  /** Waits for a change. */
  private nextChange(longestMs: number): Promise<void> {
    return waitForWake(this.waiting, longestMs);
  }
}
