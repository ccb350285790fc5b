/**
 * One entry as a process of its own, started with the platform's settings file.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync, type WriteStream } from 'node:fs';
import path from 'node:path';
import { createInterface } from 'node:readline';

import { ProcessorLimit } from './processorLimit.js';

/** Port where an entry takes callers. */
export const CALLER_PORT = 18_161;

const READY_PORT = 18_167;

/** Time between a termination signal and the kill, in seconds. */
const GRACE_S = 6;

/** What an entry is made of. */
export interface EntryOptions {
  readonly name: string;
  /** Its address on this machine. */
  readonly host: string;
  readonly zone: string;
  readonly storePort: number;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly program: string;
  /** Share of a core that it says its VM has; a whole one if left out. */
  readonly processorShare?: number;
  /** Share of a processor that it is held to; a whole one if left out. */
  readonly processorLimit?: number;
  /** Wait before the process starts again once it has ended, in milliseconds. */
  readonly restartMs: number;
  /** Hears each line of its log. */
  readonly onLine: (line: string) => void;
  /** Words before the program, such as options of the runtime. */
  readonly runtimeWords?: readonly string[];
}

const settingsOf = ({
  name,
  host,
  zone,
  storePort,
  processorShare = 1,
}: EntryOptions): unknown => ({
  NodeName: name,
  Zone: zone,
  ListenAddrs: { Front: `${host}:${CALLER_PORT}`, ReadyAddress: `${host}:${READY_PORT}` },
  Limits: { CpuShare: processorShare },
  Bounds: { HoldLimitMs: 6_000, GraceS: GRACE_S, FencingEnforced: true },
  platform: { Address: `127.0.0.1:${storePort}` },
});

/** The process, started again whenever it ends. */
export class EntryProcess {
  /** How often it has ended by itself. */
  ownEnds = 0;

  private child: ChildProcess | undefined;

  private readonly output: WriteStream;

  private readonly settingsPath: string;

  private isWanted = false;

  private endExpected = false;

  /** Its program runs: it has written a line. */
  private hasSpoken = false;

  private isPaused = false;

  private readonly limit: ProcessorLimit;

  /**
   * @param options - name, addresses and folder
   */
  constructor(readonly options: EntryOptions) {
    mkdirSync(options.folder, { recursive: true });
    this.settingsPath = path.join(options.folder, `${options.name}.json`);
    writeFileSync(this.settingsPath, JSON.stringify(settingsOf(options)));
    this.output = createWriteStream(path.join(options.folder, `${options.name}.log`));
    this.limit = new ProcessorLimit(options.processorLimit ?? 1, (signal) =>
      this.child?.kill(signal),
    );
  }

  /** Starts it, and again whenever it ends. */
  start(): void {
    this.isWanted = true;
    this.spawn();
  }

  /** Sends a signal, if it runs. */
  signal(signal: NodeJS.Signals): void {
    if (signal === 'SIGKILL' || signal === 'SIGTERM') this.endExpected = true;
    this.child?.kill(signal);
  }

  /** Stands still until it goes on or is started again. */
  pause(): void {
    this.isPaused = true;
    this.limit.release();
    this.child?.kill('SIGSTOP');
  }

  /** Goes on after a pause. */
  resume(): void {
    this.isPaused = false;
    this.child?.kill('SIGCONT');
    if (this.hasSpoken) this.limit.hold();
  }

  /** Ends it for good. */
  async stop(): Promise<void> {
    this.isWanted = false;
    const { child } = this;
    this.limit.release();
    if (!child) return;
    const ended = new Promise<void>((resolve) => {
      child.once('exit', () => resolve());
    });
    child.kill('SIGCONT');
    child.kill('SIGTERM');
    const late = setTimeout(() => child.kill('SIGKILL'), 1_000 * (GRACE_S + 1));
    await ended;
    clearTimeout(late);
    this.output.end();
  }

  private spawn(): void {
    const { program, runtimeWords = [] } = this.options;
    this.endExpected = false;
    this.hasSpoken = false;
    this.isPaused = false;
    const child = spawn(process.execPath, [...runtimeWords, program], {
      env: { PATH: process.env['PATH'], SAMPHIRENOTCH_BOOT: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    child.stdout.on('data', (piece: Buffer) => this.output.write(piece));
    createInterface({ input: child.stdout })
      .on('line', this.options.onLine)
      .once('line', () => {
        this.hasSpoken = true;
        if (this.child === child && this.isWanted && !this.isPaused) this.limit.hold();
      });
    child.stderr.on('data', (piece: Buffer) => this.output.write(piece));
    const startedMs = performance.now();
    child.once('exit', (code, signal) => {
      this.child = undefined;
      this.limit.release();
      if (!this.isWanted) return;
      const afterMs = Math.round(performance.now() - startedMs);
      const { endExpected } = this;
      const end = { part: 'soak', message: 'The process has ended', code, signal };
      this.output.write(`${JSON.stringify({ ...end, afterMs, endExpected })}\n`);
      if (!endExpected) this.ownEnds += 1;
      setTimeout(() => {
        if (this.isWanted) this.spawn();
      }, this.options.restartMs);
    });
  }
}
