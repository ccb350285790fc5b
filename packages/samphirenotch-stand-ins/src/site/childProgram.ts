/**
 * One program run as a separate process, to be killed, frozen and resumed.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';

/** How a program is started. */
export interface ProgramStart {
  readonly name: string;
  /** JavaScript file to run. */
  readonly script: string;
  readonly args: readonly string[];
  /** File that its error output is appended to. */
  readonly logPath: string;
}

/** A program that runs as a process of its own. */
export class ChildProgram {
  private readonly child: ChildProcess;

  private readonly firstLine: Promise<string>;

  private readonly exited: Promise<unknown>;

  /**
   * @param start - what to run
   */
  constructor(readonly start: ProgramStart) {
    this.child = spawn(process.execPath, [start.script, ...start.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = once(this.child, 'exit');
    const log = createWriteStream(start.logPath, { flags: 'a' });
    this.child.stderr?.pipe(log);
    this.child.stdout?.pipe(log);
    this.firstLine = this.readFirstLine();
    // Nobody may ask for the line of a program that is ended before it printed one.
    this.firstLine.catch(() => undefined);
  }

  /** @returns the first line that the program prints; it fails if the program ends before */
  line(): Promise<string> {
    return this.firstLine;
  }

  /** Ends the process at once, as a crash would. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /**
   * Asks the process to end by itself and waits until it has.
   *
   * @returns its exit code
   */
  async terminate(): Promise<number | null> {
    this.child.kill('SIGTERM');
    await this.exited;
    return this.child.exitCode;
  }

  /** Pauses the process. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.child.kill('SIGCONT');
  }

  /** Process id; nothing if the process could not be started. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  get running(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  private async readFirstLine(): Promise<string> {
    const { stdout } = this.child;
    if (!stdout) throw new Error(`${this.start.name} has no output`);
    const lines = createInterface({ input: stdout });
    const first = once(lines, 'line') as Promise<[string]>;
    const ended = this.exited.then(() => undefined);
    const line = await Promise.race([first, ended]);
    if (!line) throw new Error(`${this.start.name} ended early, see ${this.start.logPath}`);
    return line[0];
  }
}
