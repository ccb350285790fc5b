/**
 * A small deployment: entries as processes, started with the command of the deploy file, and stand-ins of
 * store and workers.
 */
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { call } from './http.js';
import { Store } from './store.js';
import { Worker } from './worker.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const HEARTBEAT_MS = 1_500;
const GRACE_S = 6;
const RESTART_MS = 500;
const METRICS_PORT = 9464;
const FRONT_PORT = 18_161;
const CONTROL_PORT = 18_166;
const READY_PORT = 18_167;
const ENTRY_PORTS = [METRICS_PORT, FRONT_PORT, CONTROL_PORT, READY_PORT];
const READY_POLL_MS = 50;
const VALUE_BYTES = 1_048_576;

const deployCommand = () => {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const [program, ...words] = /^run = "(.*)"$/mu.exec(text)[1].split(' ');
  return { program: program === 'node' ? process.execPath : program, words };
};

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Loopback addresses on which the ports of an entry are free. */
const freeHosts = async (count) => {
  const hosts = [];
  const net = 1 + (process.pid % 200);
  for (let at = 1; hosts.length < count && at < 250; at += 1) {
    const host = `127.77.${net}.${at}`;
    const free = await Promise.all(ENTRY_PORTS.map((port) => isFree(host, port)));
    if (free.every(Boolean)) hosts.push(host);
  }
  return hosts;
};

/** An entry: its process is started again whenever it ends, as the platform does. */
class Entry {
  isWanted = true;

  /** Ends of its process: code, signal, and whether the case asked for it. */
  ends = [];

  askedToEnd = false;

  constructor(settings, folder, record) {
    this.settings = settings;
    this.name = settings.NodeName;
    this.host = settings.Ip;
    this.record = record;
    this.path = path.join(folder, `${this.name}.json`);
    this.log = createWriteStream(path.join(folder, `${this.name}.log`));
    writeFileSync(this.path, JSON.stringify(settings));
    this.whenSpawned = [];
  }

  start() {
    const { program, words } = deployCommand();
    this.askedToEnd = false;
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, SAMPHIRENOTCH_BOOT: this.path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const { child } = this;
    child.stdout.on('data', (piece) => this.log.write(piece));
    child.stderr.on('data', (piece) => this.log.write(piece));
    this.record('process started', { entry: this.name, pid: child.pid });
    this.whenSpawned.splice(0).forEach((act) => act());
    child.once('exit', (code, signal) => {
      const end = { code, signal, asked: this.askedToEnd };
      this.ends.push(end);
      this.record('process ended', { entry: this.name, pid: child.pid, ...end });
      if (this.isWanted) this.restartTimer = setTimeout(() => this.start(), RESTART_MS);
    });
  }

  signal(name) {
    if (name === 'SIGKILL' || name === 'SIGTERM') this.askedToEnd = true;
    this.record('signal sent', { entry: this.name, signal: name });
    this.child.kill(name);
  }

  async isReady() {
    const [host, port] = this.settings.ListenAddrs.ReadyAddress.split(':');
    const { status } = await call({
      host,
      port,
      method: 'GET',
      path: '/v1/readiness',
      timeoutMs: 1_000,
    });
    return status === 200;
  }

  async end() {
    this.isWanted = false;
    clearTimeout(this.restartTimer);
    const { child } = this;
    if (child.exitCode === null && child.signalCode === null) {
      this.askedToEnd = true;
      const ended = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGKILL');
      await ended;
    }
    this.log.end();
  }
}

/** The deployment. */
export class Site {
  store = new Store(VALUE_BYTES);

  workers = [];

  entries = [];

  lines = [];

  startMs = performance.now();

  beats = 0;

  /**
   * @param options - path of the record, entries, zones, workers, cores of a worker, routes
   */
  constructor(options) {
    this.options = options;
  }

  /** Notes what was sent, answered or run. */
  record = (what, fields = {}) => {
    const at = ((performance.now() - this.startMs) / 1_000).toFixed(3);
    const line = `${at} ${what} ${JSON.stringify(fields)}`;
    this.lines.push(line);
  };

  now() {
    return performance.now() - this.startMs;
  }

  /** Starts everything, and waits until tasks can be started. */
  async start() {
    const { entries, workers, zones, cpu, memMb, routes, limits, holdLimitMs } = this.options;
    this.scratch = mkdtempSync(path.join(tmpdir(), 'review-3-'));
    mkdirSync(this.scratch, { recursive: true });
    this.store.start();
    this.configure(routes);
    for (let at = 0; at < workers; at += 1)
      await this.addWorker(at, zones, cpu, memMb, holdLimitMs);
    this.beat();
    this.heartbeat = setInterval(() => this.beat(), HEARTBEAT_MS);
    const hosts = await freeHosts(entries);
    for (let at = 0; at < entries; at += 1) {
      await this.addEntry(at, hosts[at], zones, limits, holdLimitMs);
    }
    this.entries.forEach((entry) => entry.start());
  }

  configure(routes, version = 7) {
    this.store.put('op/config', {
      Version: version,
      Routes: routes,
      Services: [{ Name: 'desk', AdmissionCheck: false }],
      Limits: { MaxBodyBytes: 262_144 },
    });
  }

  async addWorker(at, zones, cpu, memMb, holdLimitMs) {
    const worker = new Worker({
      id: `w-${at + 1}`,
      zone: zones[at % zones.length],
      service: 'desk',
      rack: `r${at % zones.length}`,
      cpu,
      memMb,
      holdLimitMs,
      record: this.record,
    });
    await worker.start();
    this.workers.push(worker);
  }

  async addEntry(at, host, zones, limits, holdLimitMs) {
    const zone = zones[at % zones.length];
    const store = await this.store.open();
    const settings = {
      NodeName: `front-${zone}-${at + 1}`,
      Role: 'entry',
      MachineClass: 'front',
      Serves: ['front'],
      Ip: host,
      Zone: zone,
      Region: 'region',
      Zones: Object.fromEntries(zones.map((name) => [name, 'region'])),
      ListenAddrs: {
        Front: `${host}:${FRONT_PORT}`,
        ReadyAddress: `${host}:${READY_PORT}`,
        Control: `${host}:${CONTROL_PORT}`,
      },
      Seeds: [],
      Bootstrap: true,
      Limits: { Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1_000, DiskMb: 0, ...limits },
      HeartbeatMs: HEARTBEAT_MS,
      Bounds: { GraceS: GRACE_S, HoldLimitMs: holdLimitMs, FencingEnforced: true },
      Orders: 'call',
      platform: {
        Address: `127.0.0.1:${store}`,
        form: 'kv',
        WritesPerS: 400,
        ReadsPerS: 2_000,
        HistoryS: 20,
        ValueBytes: VALUE_BYTES,
        MinTtlMs: 1_000,
      },
    };
    this.entries.push(new Entry(settings, this.scratch, this.record));
  }

  /** Workers that are up write their entries. */
  beat() {
    this.beats += 1;
    this.workers
      .filter(({ isUp }) => isUp)
      .forEach((worker) =>
        this.store.put(`servers/${worker.options.id}`, worker.entry(this.beats)),
      );
  }

  /** Waits until an entry owns the site. */
  async whenOwned(timeoutMs = 30_000) {
    const untilMs = this.now() + timeoutMs;
    while (this.now() < untilMs) {
      if (this.store.text('jobs/shares/site/owner') && (await this.entries[0].isReady()))
        return true;
      await sleep(READY_POLL_MS);
    }
    return false;
  }

  /** Returns the entry that owns the site, as the store names it. */
  owner() {
    const [name] = (this.store.text('jobs/shares/site/owner') ?? '').split(' ');
    return this.entries.find((entry) => entry.name === name);
  }

  /** Sends a client's request to an entry. */
  async request(entry, method, target, body) {
    const [host, port] = entry.settings.ListenAddrs.Front.split(':');
    const answer = await call({
      host,
      port,
      method,
      path: target,
      headers: { Host: 'desk.example', 'Samphirenotch-Deadline-Remaining': '3000' },
      body,
    });
    this.record('answered', {
      entry: entry.name,
      method,
      path: target,
      status: answer.status,
      body: answer.body,
    });
    return answer;
  }

  /** Ends everything and writes the record. */
  async end() {
    clearInterval(this.heartbeat);
    await Promise.all(this.entries.map((entry) => entry.end()));
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    writeFileSync(this.options.recordPath, `${this.lines.join('\n')}\n`);
    if (process.env.KEEP === undefined) rmSync(this.scratch, { recursive: true, force: true });
    else process.stdout.write(`${this.scratch}\n`);
  }
}

export { sleep };
