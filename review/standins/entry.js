/**
 * Entries as processes of their own, started with the command of the deploy file.
 */
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Where the program serves its metrics, as the deploy file says. */
const METRICS_PORT = 9_464;

const FRONT_PORT = 8_161;
const READY_PORT = 8_167;
const CONTROL_PORT = 8_166;

/** Wait before a process that has ended starts again, in milliseconds. */
const RESTART_MS = 500;

const GRACE_S = 6;

const deployCommand = () => {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/mu.exec(text)[1].split(' ');
};

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

const byte = () => 1 + Math.floor(Math.random() * 250);

/**
 * Finds a loopback address at which all ports of an entry are free.
 *
 * @returns the address
 */
export const freeHost = async () => {
  for (;;) {
    const host = `127.${byte()}.${byte()}.${byte()}`;
    const ports = [METRICS_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT];
    const free = await Promise.all(ports.map((port) => isFree(host, port)));
    if (free.every(Boolean)) return host;
  }
};

/** One entry, started again whenever it ends. */
export class Entry {
  isWanted = false;

  /** How often the process has ended without a signal of the case. */
  ownEnds = 0;

  /**
   * @param options - name, host, zone, zones, storePort, adviceAddress, bounds and folder
   */
  constructor(options) {
    this.options = options;
    const { name, host, zone, zones, storePort, bounds, folder, adviceAddress } = options;
    this.settingsPath = path.join(folder, `${name}.json`);
    const settings = {
      NodeName: name,
      Role: 'entry',
      MachineClass: 'front',
      Serves: ['front'],
      Ip: host,
      Zone: zone,
      Region: 'canterbury',
      Zones: Object.fromEntries(zones.map((each) => [each, 'canterbury'])),
      ListenAddrs: {
        Front: `${host}:${FRONT_PORT}`,
        ReadyAddress: `${host}:${READY_PORT}`,
        Control: `${host}:${CONTROL_PORT}`,
      },
      InternalPorts: [7_720, 7_735],
      Seeds: [],
      Bootstrap: true,
      LossCounted: false,
      Limits: {
        CpuShare: 0.27,
        Cores: 1,
        MemoryMb: 350,
        MaxFds: 4_100,
        LinkMbps: 1_000,
        DiskMb: 0,
      },
      DataDir: null,
      Discovery: 'platform',
      Entry: 'vip',
      HeartbeatMs: 1_500,
      Contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'places', 'platform'],
      FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 },
      Bounds: { ...bounds, GraceS: GRACE_S, FencingEnforced: true },
      Orders: 'call',
      ...(adviceAddress ? { Advice: adviceAddress } : {}),
      platform: {
        Address: `127.0.0.1:${storePort}`,
        form: 'kv',
        WritesPerS: 400,
        ReadsPerS: 2_000,
        HistoryS: 20,
        ValueBytes: 1_048_576,
        MinTtlMs: 1_000,
      },
    };
    writeFileSync(this.settingsPath, JSON.stringify(settings));
    this.output = createWriteStream(path.join(folder, `${name}.log`));
  }

  get name() {
    return this.options.name;
  }

  get frontAddress() {
    return { host: this.options.host, port: FRONT_PORT };
  }

  start() {
    this.isWanted = true;
    this.spawn();
  }

  signal(name) {
    this.isEndExpected = true;
    this.child?.kill(name);
  }

  spawn() {
    const [program, ...words] = deployCommand();
    this.isEndExpected = false;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, SAMPHIRENOTCH_BOOT: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    child.stdout.on('data', (piece) => this.output.write(piece));
    child.stderr.on('data', (piece) => this.output.write(piece));
    child.once('exit', () => {
      this.child = undefined;
      if (!this.isWanted) return;
      if (!this.isEndExpected) this.ownEnds += 1;
      setTimeout(() => {
        if (this.isWanted) this.spawn();
      }, RESTART_MS);
    });
  }

  /** Ends the process for good. */
  async stop() {
    this.isWanted = false;
    const { child } = this;
    if (child) {
      const ended = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGKILL');
      await ended;
    }
    this.output.end();
  }
}
