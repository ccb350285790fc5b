/**
 * Puts together what happened to jobs, from the log lines of all entries.
 */
import { linesOfRuns } from './fillerLines.js';
import type { LogLine } from './logLine.js';

/** A run of a task. */
export interface RunHistory {
  readonly run: number;
  readonly startedMs: number;
  readonly dataCentre: string;
  readonly milliCores: number | undefined;
  /** Another share than the job's home started it. */
  readonly isGuest: boolean;
  /** Whether it was started beside its data; undefined if its step names no place. */
  readonly isNear: boolean | undefined;
  /** Time that the job had left beyond its longest chain of estimates, in milliseconds. */
  readonly slackMs: number | undefined;
  readonly endedMs: number | undefined;
  /** How it ended; `gone` if its end was concluded. */
  readonly kind: string | undefined;
  readonly isSaved: boolean;
  /** Time from the order to the worker's start, in milliseconds. */
  readonly orderMs: number | undefined;
  /** Time from the worker's start to the report of the end, in milliseconds. */
  readonly workedMs: number | undefined;
}

/** A job that entries spoke of. */
export interface JobHistory {
  readonly id: string;
  readonly queue: string | undefined;
  readonly acceptedMs: number | undefined;
  /** When the owner of its home first heard of it. */
  readonly takenInMs: number | undefined;
  readonly endedMs: number | undefined;
  readonly state: string | undefined;
  readonly cancelledMs: number | undefined;
  /** Terms of its queue when it was taken in. */
  readonly stretch: number | undefined;
  readonly targetLatencyMs: number | undefined;
  readonly isLasting: boolean;
  /** Runs by task, in order of their starts. */
  readonly tasks: ReadonlyMap<string, readonly RunHistory[]>;
}

/** An answer to a caller who handed a job in. */
export interface Answer {
  readonly atMs: number;
  readonly queue: string;
  readonly dataCentre: string;
  readonly outcome: string;
  readonly reason: string | undefined;
}

/** What room a share told of at a time, in thousandths of a core. */
export interface RoomSighting {
  readonly atMs: number;
  readonly share: string;
  readonly room: Readonly<Record<string, number>>;
}

type Open<T> = { -readonly [Key in keyof T]: T[Key] };

type OpenJob = Open<Omit<JobHistory, 'tasks'>> & { tasks: Map<string, Open<RunHistory>[]> };

const text = (value: unknown): string | undefined =>
  typeof value === 'string' ? value : undefined;

const figure = (value: unknown): number | undefined =>
  typeof value === 'number' ? value : undefined;

const flag = (value: unknown): boolean | undefined =>
  typeof value === 'boolean' ? value : undefined;

const jobIdOf = (taskId: string): string => taskId.slice(0, taskId.indexOf('.'));

const runKey = (taskId: string, run: number | undefined): string => `${taskId}#${run}`;

const UNKNOWN = 'unknown';

/** Gathers lines; they may come in any order of entries, each entry's in its own. */
export class LogHistory {
  private readonly jobsById = new Map<string, OpenJob>();

  /** Take the ends of runs whose starts were not read yet, by task and run. */
  private readonly earlyEnds = new Map<string, (() => void)[]>();

  private readonly dataCentres = new Map<string, string>();

  private readonly answersSoFar: Answer[] = [];

  private readonly roomsSoFar: RoomSighting[] = [];

  private fromMs = Number.POSITIVE_INFINITY;

  private toMs = Number.NEGATIVE_INFINITY;

  private delegated = 0;

  private readonly readers: Readonly<Record<string, (line: LogLine) => void>> = {
    Started: (line) => this.onProcess(line),
    'A command was answered': (line) => this.onAnswer(line),
    'A job is taken in': (line) => this.onTakenIn(line),
    'Starting a task': (line) => this.onStart(line),
    'A run has ended': (line) => this.onEnd(line),
    'Fillers were started': (line) => linesOfRuns(line).forEach((each) => this.onStart(each)),
    'Runs of fillers have ended': (line) => linesOfRuns(line).forEach((each) => this.onEnd(each)),
    'A task goes back to waiting': (line) => this.onGone(line),
    'A job has ended': (line) => this.onJobEnd(line),
    'A job is cancelled': (line) => this.onCancelled(line),
    'Tasks are handed to another share': (line) => this.onHanded(line),
    'The room of a share': (line) => this.onRoom(line),
  };

  /**
   * Takes a line.
   *
   * @param line - the line
   */
  add(line: LogLine): void {
    this.fromMs = Math.min(this.fromMs, line.atMs);
    this.toMs = Math.max(this.toMs, line.atMs);
    this.readers[line.message]?.(line);
  }

  /** @returns the jobs */
  jobs(): readonly JobHistory[] {
    return [...this.jobsById.values()];
  }

  /** @returns the answers to callers who handed jobs in */
  answers(): readonly Answer[] {
    return this.answersSoFar;
  }

  /** @returns what shares told of their room */
  rooms(): readonly RoomSighting[] {
    return this.roomsSoFar;
  }

  /** @returns how many tasks were handed from share to share */
  get delegatedTasks(): number {
    return this.delegated;
  }

  /** @returns when the first and the last line were written, in milliseconds */
  span(): { readonly fromMs: number; readonly toMs: number } {
    return { fromMs: this.fromMs, toMs: this.toMs };
  }

  private job(id: string): OpenJob {
    const known = this.jobsById.get(id);
    if (known) return known;
    const job: OpenJob = {
      id,
      queue: undefined,
      acceptedMs: undefined,
      takenInMs: undefined,
      endedMs: undefined,
      state: undefined,
      cancelledMs: undefined,
      stretch: undefined,
      targetLatencyMs: undefined,
      isLasting: false,
      tasks: new Map(),
    };
    this.jobsById.set(id, job);
    return job;
  }

  /** Returns the run that a line is of. Until its start is read that is undefined, and the line is read again then. */
  private run({ fields }: LogLine, readAgain: () => void): Open<RunHistory> | undefined {
    const taskId = text(fields.taskId) ?? '';
    const runs = this.jobsById.get(jobIdOf(taskId))?.tasks.get(taskId);
    const found = runs?.find(({ run }) => run === fields.run);
    if (found) return found;
    const key = runKey(taskId, figure(fields.run));
    const ends = this.earlyEnds.get(key);
    if (ends) ends.push(readAgain);
    else this.earlyEnds.set(key, [readAgain]);
    return undefined;
  }

  private onProcess({ source, fields }: LogLine): void {
    const dataCentre = text(fields.dataCentre);
    if (dataCentre !== undefined) this.dataCentres.set(source, dataCentre);
  }

  private onAnswer({ atMs, source, fields }: LogLine): void {
    const id = text(fields.jobId);
    if (id === undefined || fields.command !== 'submit') return;
    const queue = text(fields.queue) ?? UNKNOWN;
    const outcome = text(fields.outcome) ?? UNKNOWN;
    const dataCentre = this.dataCentres.get(source) ?? UNKNOWN;
    this.answersSoFar.push({ atMs, queue, dataCentre, outcome, reason: text(fields.reason) });
    const job = this.job(id);
    job.queue ??= queue;
    if (outcome === 'done') job.acceptedMs = Math.min(atMs, job.acceptedMs ?? atMs);
  }

  /** A later owner takes the job in again. */
  private onTakenIn({ atMs, fields }: LogLine): void {
    const job = this.job(text(fields.jobId) ?? UNKNOWN);
    if (job.takenInMs !== undefined && job.takenInMs <= atMs) return;
    job.takenInMs = atMs;
    job.queue ??= text(fields.queue);
    job.stretch = figure(fields.stretch);
    job.targetLatencyMs = figure(fields.targetLatencyMs);
    job.isLasting = fields.isLasting === true;
  }

  private onStart({ atMs, fields }: LogLine): void {
    const taskId = text(fields.taskId);
    const run = figure(fields.run);
    if (taskId === undefined || run === undefined) return;
    const job = this.job(jobIdOf(taskId));
    const runs = job.tasks.get(taskId) ?? [];
    job.tasks.set(taskId, runs);
    // Starts of fillers are logged some time later, and in groups.
    const next = runs.findIndex(({ startedMs }) => startedMs > atMs);
    runs.splice(next < 0 ? runs.length : next, 0, {
      run,
      startedMs: atMs,
      dataCentre: text(fields.dataCentre) ?? UNKNOWN,
      milliCores: figure(fields.milliCores),
      isGuest: fields.isGuest === true,
      isNear: flag(fields.isNear),
      slackMs: figure(fields.slackMs),
      endedMs: undefined,
      kind: undefined,
      isSaved: false,
      orderMs: undefined,
      workedMs: undefined,
    });
    const key = runKey(taskId, run);
    const ends = this.earlyEnds.get(key) ?? [];
    this.earlyEnds.delete(key);
    ends.forEach((readAgain) => readAgain());
  }

  private onEnd(line: LogLine): void {
    const { atMs, fields } = line;
    const run = this.run(line, () => this.onEnd(line));
    if (!run) return;
    // Workers list an end until it is acknowledged.
    const isListedAgain = run.endedMs !== undefined && run.endedMs <= atMs;
    if (isListedAgain && run.kind !== 'gone') return;
    run.endedMs = atMs;
    run.kind = text(fields.kind);
    run.isSaved = fields.isSaved === true;
    run.orderMs = figure(fields.orderMs);
    run.workedMs = figure(fields.workedMs);
  }

  private onGone(line: LogLine): void {
    const run = this.run(line, () => this.onGone(line));
    if (!run || run.endedMs !== undefined) return;
    run.endedMs = line.atMs;
    run.kind = 'gone';
  }

  private onJobEnd({ atMs, fields }: LogLine): void {
    const job = this.job(text(fields.jobId) ?? UNKNOWN);
    if (job.endedMs !== undefined) return;
    job.endedMs = atMs;
    job.state = text(fields.state);
  }

  private onCancelled({ atMs, fields }: LogLine): void {
    const job = this.job(text(fields.jobId) ?? UNKNOWN);
    job.cancelledMs ??= atMs;
  }

  private onHanded({ fields }: LogLine): void {
    this.delegated += figure(fields.tasks) ?? 0;
  }

  private onRoom({ atMs, fields }: LogLine): void {
    const share = text(fields.share);
    if (share === undefined) return;
    const figures = Object.entries(fields).filter(
      (entry): entry is [string, number] => typeof entry[1] === 'number',
    );
    this.roomsSoFar.push({ atMs, share, room: Object.fromEntries(figures) });
  }
}
