/**
 * The platform's metadata store: transactions, leases, pages of 500 items, watches with a history.
 */
import { startServer } from './httpServer.js';

const PAGE_ITEMS = 500;
const TICK_MS = 50;

const encode = (text) => Buffer.from(text, 'utf8').toString('base64');

const show = (key, item) => ({
  Key: key,
  Value: item.value,
  Revision: item.revision,
  Created: item.created,
  Lease: item.lease,
});

/** The store. */
export class Store {
  /**
   * Decides what becomes of a write: undefined to do and answer it, otherwise the delay in milliseconds
   * after which it is done without an answer.
   */
  lateWriteMs = () => undefined;

  /** Told of each change. */
  onChange = () => undefined;

  items = new Map();

  leases = new Map();

  events = [];

  revision = 1;

  nextLease = 1;

  waiting = new Set();

  /** True while the store answers nothing; leases pause meanwhile. */
  isSilent = false;

  async start() {
    const { server, port } = await startServer((call) => this.handle(call));
    this.server = server;
    this.port = port;
    this.ticker = setInterval(() => this.expireLeases(), TICK_MS);
  }

  close() {
    clearInterval(this.ticker);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a key, as operators and workers do. */
  put(key, content) {
    this.change(key, { value: encode(JSON.stringify(content)), lease: 0 });
    this.wake();
  }

  /** Removes a key. */
  remove(key) {
    if (this.items.has(key)) this.change(key, undefined);
    this.wake();
  }

  /** Returns the text of an item. */
  read(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, 'base64').toString('utf8');
  }

  /** Answers nothing for a time. */
  async beSilent(durationMs) {
    this.isSilent = true;
    await new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });
    this.isSilent = false;
    this.leases.forEach((lease) => {
      const paused = lease;
      paused.expiresMs += durationMs;
    });
    this.wake();
  }

  async handle(call) {
    if (this.isSilent) return undefined;
    const answer = await this.perform(call);
    // What waited when the outage began gets no answer either.
    return this.isSilent ? undefined : answer;
  }

  async perform({ method, path, query, body }) {
    if (path === '/v1/kv-key') return this.get(query);
    if (path === '/v1/kv-range') return this.range(query);
    if (path === '/v1/kv-watch') return this.watch(query);
    if (path === '/v1/kv-txn') return this.write(body);
    if (path === '/v1/kv-lease') return this.grant(Number(body.TtlMs));
    const lease = Number(path.split('/').at(-1));
    if (path.startsWith('/v1/kv-keep/')) return this.keep(lease);
    if (path.startsWith('/v1/kv-lease-end/') && method === 'DELETE') return this.end(lease);
    return { status: 404 };
  }

  get(query) {
    const key = query.get('Key');
    const item = this.items.get(key);
    if (!item) return { status: 404, body: { StoreRevision: this.revision } };
    return { status: 200, body: { ...show(key, item), StoreRevision: this.revision } };
  }

  range(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('After') ?? '';
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const page = keys.slice(0, PAGE_ITEMS);
    const items = page.map((key) => show(key, this.items.get(key)));
    const HasMore = keys.length > page.length;
    return { status: 200, body: { items, HasMore, StoreRevision: this.revision } };
  }

  async watch(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    const untilMs = performance.now() + Number(query.get('WaitMs'));
    for (;;) {
      const events = this.events.filter(
        ({ key, revision }) => revision > after && key.startsWith(prefix),
      );
      if (events.length > 0 || performance.now() >= untilMs) {
        const shown = events.map(({ key, revision, item }) =>
          item ? show(key, item) : { Key: key, Revision: revision, Removed: true },
        );
        return { status: 200, body: { events: shown, StoreRevision: this.revision } };
      }
      await this.nextChange(untilMs - performance.now());
    }
  }

  write(transaction) {
    const delayMs = this.lateWriteMs(transaction);
    if (delayMs === undefined) return this.commit(transaction);
    setTimeout(() => this.commit(transaction), delayMs);
    return undefined;
  }

  commit({ Expect = [], Writes = [], Remove = [] }) {
    const isMet = Expect.every(
      ({ Key, Revision }) => (this.items.get(Key)?.revision ?? 0) === Revision,
    );
    if (!isMet) {
      const items = Expect.filter(({ Key }) => this.items.has(Key)).map(({ Key }) =>
        show(Key, this.items.get(Key)),
      );
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

  grant(ttlMs) {
    const id = this.nextLease;
    this.nextLease += 1;
    this.leases.set(id, { ttlMs, expiresMs: performance.now() + ttlMs });
    return { status: 200, body: { Lease: id, TtlMs: ttlMs } };
  }

  keep(id) {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404 };
    lease.expiresMs = performance.now() + lease.ttlMs;
    return { status: 200, body: { TtlMs: lease.ttlMs } };
  }

  end(id) {
    if (!this.leases.has(id)) return { status: 404 };
    this.dropLease(id);
    return { status: 200 };
  }

  expireLeases() {
    if (this.isSilent) return;
    const nowMs = performance.now();
    [...this.leases]
      .filter(([, { expiresMs }]) => expiresMs <= nowMs)
      .forEach(([id]) => this.dropLease(id));
  }

  dropLease(id) {
    this.leases.delete(id);
    [...this.items]
      .filter(([, { lease }]) => lease === id)
      .forEach(([key]) => this.change(key, undefined));
    this.wake();
  }

  change(key, content, at = this.revision + 1) {
    this.revision = at;
    const created = this.items.get(key)?.created ?? at;
    const item = content && { ...content, revision: at, created };
    if (item) this.items.set(key, item);
    else this.items.delete(key);
    this.events.push({ key, revision: at, item });
    this.onChange(key, item);
  }

  wake() {
    const { waiting } = this;
    this.waiting = new Set();
    waiting.forEach((resolve) => resolve());
  }

  async nextChange(longestMs) {
    let wake;
    await new Promise((resolve) => {
      wake = resolve;
      this.waiting.add(resolve);
      setTimeout(resolve, longestMs);
    });
    this.waiting.delete(wake);
  }
}
