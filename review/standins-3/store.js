/**
 * The platform's store in memory, as the protocol page tells it: transactions, watches, leases.
 */
import { serve } from './http.js';

const PAGE_ITEMS = 500;
const LEASE_CHECK_MS = 20;
const MOST_ENTRIES = 32;

const encode = (value) => Buffer.from(JSON.stringify(value), 'utf8').toString('base64');

/** The store. */
export class Store {
  // The store has been in use for a month, at 400 writes a second.
  revision = 1_000_000_000;

  items = new Map();

  leases = new Map();

  events = [];

  nextLease = 1;

  waiting = new Set();

  servers = [];

  /** Size of the largest value that was sent, in bytes, and number of calls refused for their size. */
  largestBytes = 0;

  refusedForSize = 0;

  /**
   * @param valueBytes - most bytes of a value
   */
  constructor(valueBytes) {
    this.valueBytes = valueBytes;
  }

  /** Starts to end leases. */
  start() {
    this.timer = setInterval(() => this.endLeases(), LEASE_CHECK_MS);
  }

  /**
   * Opens an address of the store of its own for one client.
   *
   * @returns its port
   */
  async open() {
    const { server, port } = await serve((request) => this.handle(request));
    this.servers.push(server);
    return port;
  }

  /** Ends serving. */
  close() {
    clearInterval(this.timer);
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }

  /** Writes a key as operators and workers do. */
  put(key, value) {
    this.revision += 1;
    this.change(key, { Value: encode(value), Lease: 0 });
    this.wake();
  }

  /** Removes a key. */
  remove(key) {
    if (!this.items.has(key)) return;
    this.revision += 1;
    this.change(key, undefined);
    this.wake();
  }

  /** Returns the text of a key. */
  text(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.Value, 'base64').toString('utf8');
  }

  change(key, content) {
    const created = this.items.get(key)?.Created ?? this.revision;
    if (content) {
      const item = { Key: key, ...content, Revision: this.revision, Created: created };
      this.items.set(key, item);
      this.events.push(item);
    } else {
      this.items.delete(key);
      this.events.push({ Key: key, Revision: this.revision, Removed: true });
    }
  }

  wake() {
    const waiting = [...this.waiting];
    this.waiting.clear();
    waiting.forEach((resolve) => resolve());
  }

  async handle({ method, path, query, body }) {
    if (path === '/v1/kv-key') {
      const item = this.items.get(query.get('Key'));
      return item ? { status: 200, body: item } : { status: 404 };
    }
    if (path === '/v1/kv-range') return this.range(query);
    if (path === '/v1/kv-watch') return this.watch(query);
    if (path === '/v1/kv-txn') return this.commit(body);
    if (path === '/v1/kv-lease') {
      const id = this.nextLease;
      this.nextLease += 1;
      this.leases.set(id, { ttlMs: body.TtlMs, endMs: performance.now() + body.TtlMs });
      return { status: 200, body: { Lease: id, TtlMs: body.TtlMs } };
    }
    const id = Number(path.split('/').at(-1));
    const lease = this.leases.get(id);
    if (path.startsWith('/v1/kv-keep/') && method === 'POST') {
      if (!lease) return { status: 404 };
      lease.endMs = performance.now() + lease.ttlMs;
      return { status: 200 };
    }
    if (path.startsWith('/v1/kv-lease-end/') && method === 'DELETE') {
      if (!lease) return { status: 404 };
      this.endLease(id);
      return { status: 200 };
    }
    return { status: 404 };
  }

  range(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('After') ?? '';
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const items = keys.slice(0, PAGE_ITEMS).map((key) => this.items.get(key));
    return {
      status: 200,
      body: { items, HasMore: keys.length > items.length, StoreRevision: this.revision },
    };
  }

  async watch(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    const untilMs = performance.now() + Number(query.get('WaitMs'));
    for (;;) {
      const first = this.events.findLastIndex(({ Revision }) => Revision <= after) + 1;
      const events = this.events.slice(first).filter(({ Key }) => Key.startsWith(prefix));
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return { status: 200, body: { events, StoreRevision: this.revision } };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  commit({ Expect = [], Writes = [], Remove = [] }) {
    if (Expect.length + Writes.length + Remove.length > MOST_ENTRIES) return { status: 400 };
    const sizes = Writes.map(({ Value }) => Buffer.byteLength(Value, 'base64'));
    this.largestBytes = Math.max(this.largestBytes, ...sizes);
    if (sizes.some((size) => size > this.valueBytes)) {
      this.refusedForSize += 1;
      return { status: 413 };
    }
    const isMet = Expect.every(
      ({ Key, Revision }) => (this.items.get(Key)?.Revision ?? 0) === Revision,
    );
    if (!isMet) {
      const items = Expect.flatMap(({ Key }) => this.items.get(Key) ?? []);
      return { status: 412, body: { items } };
    }
    if (Writes.some(({ Lease = 0 }) => Lease !== 0 && !this.leases.has(Lease))) {
      return { status: 404 };
    }
    this.revision += 1;
    Writes.forEach(({ Key, Value, Lease = 0 }) => this.change(Key, { Value, Lease }));
    Remove.filter((key) => this.items.has(key)).forEach((key) => this.change(key, undefined));
    this.wake();
    return { status: 200, body: { Revision: this.revision } };
  }

  endLeases() {
    const nowMs = performance.now();
    [...this.leases].filter(([, { endMs }]) => endMs <= nowMs).forEach(([id]) => this.endLease(id));
  }

  endLease(id) {
    this.leases.delete(id);
    [...this.items.values()]
      .filter(({ Lease }) => Lease === id)
      .forEach(({ Key }) => this.remove(Key));
  }
}
