/**
 * Writes lines to standard output without ever waiting for its reader: lines gather and are written
 * together, and a reader that is too slow costs lines, which are counted.
 */
import { write, writeSync } from 'node:fs';

const STANDARD_OUTPUT = 1;

/** What a line is: one of many alike, about one event or decision, or a warning or an error. */
export type LineRank = 'bulk' | 'decision' | 'alarm';

/**
 * Most characters that wait to be written when a line of a rank is added; beyond that it is dropped. What is
 * above the limit of a rank is reserved for the higher ones.
 */
const MAXIMUM_PENDING: Readonly<Record<LineRank, number>> = {
  bulk: 524_288,
  decision: 917_504,
  alarm: 1_048_576,
};

/** Most characters of one write: readers that take pieces of a pipe get whole lines then. */
const MAXIMUM_WRITE = 4_096;

/** Time in which lines gather, in milliseconds; each write is a system call. */
const GATHER_MS = 25;

/** Wait before a write that the reader was not ready for is tried again, in milliseconds. */
const RETRY_MS = 25;

/** Writes text to a file descriptor; the callback gets the number of bytes written. */
export type TextWriter = (
  text: Buffer,
  done: (error: NodeJS.ErrnoException | null, bytes: number) => void,
) => void;

const writeStandardOutput: TextWriter = (text, done) => {
  write(STANDARD_OUTPUT, text, done);
};

/** Takes lines. */
export interface LineOutput {
  /**
   * Takes a line.
   *
   * @param line - the line without its end
   * @param rank - its rank
   */
  add(line: string, rank: LineRank): void;
}

/** A bounded queue of lines in front of standard output. */
export class LineSink implements LineOutput {
  private pending: string[] = [];

  private pendingLength = 0;

  private rest: Buffer | undefined;

  private busy = false;

  private droppedLines = 0;

  private droppedBulk = 0;

  private reportedDrops = 0;

  private reportedBulk = 0;

  /**
   * @param writer - writes to standard output unless a test says otherwise
   */
  constructor(private readonly writer: TextWriter = writeStandardOutput) {}

  /** @returns how many lines were dropped since the start */
  get dropped(): number {
    return this.droppedLines;
  }

  /**
   * Queues a line.
   *
   * @param line - the line without its end
   * @param rank - its rank
   */
  add(line: string, rank: LineRank = 'decision'): void {
    if (this.pendingLength + line.length > MAXIMUM_PENDING[rank]) {
      this.droppedLines += 1;
      if (rank === 'bulk') this.droppedBulk += 1;
      return;
    }
    this.pending.push(line);
    this.pendingLength += line.length;
    if (this.busy) return;
    this.busy = true;
    setTimeout(() => this.flush(), GATHER_MS).unref();
  }

  /** Writes what is queued, waiting for it; only for the end of the process. */
  flushNow(): void {
    try {
      if (this.rest) writeSync(STANDARD_OUTPUT, this.rest);
      this.rest = undefined;
      while (this.pending.length > 0) writeSync(STANDARD_OUTPUT, this.takePending());
    } catch {
      // Nobody reads any more, and there is nowhere else to say so.
      this.droppedLines += 1;
    }
  }

  private flush(): void {
    const text = this.rest ?? this.takePending();
    this.rest = undefined;
    if (text.length === 0) {
      this.busy = false;
      return;
    }
    this.writer(text, (error, bytes) => {
      const left = error ? text : text.subarray(bytes);
      // Any other error than a slow reader is final for this text.
      const isSlow = !error || error.code === 'EAGAIN';
      if (left.length > 0 && isSlow) this.rest = left;
      const isBehind = this.rest === undefined && this.pendingLength > MAXIMUM_WRITE;
      if (!error && isBehind) this.flush();
      else setTimeout(() => this.flush(), error ? RETRY_MS : GATHER_MS).unref();
    });
  }

  private takePending(): Buffer {
    const lines = [...this.takeNotice(), ...this.takeLines()];
    return Buffer.from(lines.map((line) => `${line}\n`).join(''), 'utf8');
  }

  /** Returns a line that says how many lines were dropped since the last one. */
  private takeNotice(): readonly string[] {
    const drops = this.droppedLines - this.reportedDrops;
    if (drops === 0) return [];
    const bulk = this.droppedBulk - this.reportedBulk;
    this.reportedDrops = this.droppedLines;
    this.reportedBulk = this.droppedBulk;
    const time = new Date().toISOString();
    const message = 'Lines were dropped';
    return [JSON.stringify({ time, level: 'warn', part: 'log', message, drops, bulk })];
  }

  private takeLines(): readonly string[] {
    let length = 0;
    let count = 0;
    for (const line of this.pending) {
      if (count > 0 && length + line.length > MAXIMUM_WRITE) break;
      length += line.length;
      count += 1;
    }
    this.pendingLength -= length;
    return this.pending.splice(0, count);
  }
}
