/**
 * Checks the promises of the scheduler by what callers and workers see.
 */
import {
  occurrencesOf,
  readTask,
  type SoakJob,
  type SoakStep,
  type TaskName,
  TARGET_MS,
} from './soakJob.js';

/** How a run ended. */
export type EndKind =
  | 'done'
  | 'failed'
  | 'stopped'
  | 'lapsed'
  | 'lost'
  /** Another member of its gang has ended. */
  | 'broken'
  /** It waited in vain for the others of its gang. */
  | 'alone';

/** Which promise was broken. */
export type PromiseName =
  | 'capacity'
  | 'one-run'
  | 'order'
  | 'early'
  | 'label'
  | 'gang'
  | 'checkpoint'
  | 'harm'
  | 'per-worker-limit'
  | 'attempts'
  | 'asked-for'
  | 'refused'
  | 'cancelled'
  | 'draining'
  | 'state'
  | 'lost';

/** A broken promise. */
export interface Violation {
  readonly promise: PromiseName;
  readonly text: string;
  readonly atMs: number;
}

/** Time after the answer to a cancellation in which tasks may still start, in milliseconds. */
const CANCEL_MS = 3_000;

/** Time after a worker said that it drains in which tasks may still start, in milliseconds. */
const DRAIN_MS = 2_000;

/** Time after an end was acknowledged in which a task of which copies may run may start, in milliseconds. */
const COPY_MS = 1_000;

/** Time by which a task may start before it is due, in milliseconds. */
const EARLY_MS = 250;

/** Time after a disturbance in which gangs may be incomplete and fillers too many, in milliseconds. */
const UNDISTURBED_MS = 4_000;

/** Longest time for which fillers may hold a serving task over its target, in milliseconds. */
const IMPACT_MS = 4_000;

/** Crashed workers from which a task counts as deadly, and starts of it from then on. */
const DEADLY_CRASHES = 3;
const MOST_DEADLY_STARTS = 3;

/** A run on a worker. */
export interface SoakRun {
  readonly task: string;
  readonly run: number;
  readonly workerId: string;
  readonly dataCentre: string;
  /** Fencing token of the order. */
  readonly token: number;
  readonly step: SoakStep;
  /** When the order arrived, in milliseconds. */
  readonly orderedMs: number;
  readonly startedMs: number;
  /** Work that its checkpoint carries, in milliseconds. */
  readonly savedMs: number;
}

/** A worker as the checker needs it. */
export interface CheckedWorker {
  readonly id: string;
  readonly cpu: number;
  readonly memMb: number;
  readonly drainingSinceMs: number | undefined;
  readonly labels: readonly string[];
}

interface JobRecord {
  readonly job: SoakJob;
  isAccepted: boolean;
  /** Attempts to hand it in that are not answered yet. */
  pending: number;
  /** An attempt was not turned away. */
  mayRun: boolean;
  /** A worker has begun a task of it. */
  hasRun: boolean;
  cancelSentMs: number | undefined;
  cancelledMs: number | undefined;
  finalState: string | undefined;
}

/** An end of a run that did its work. */
interface DoneRun {
  readonly run: SoakRun;
  readonly endedMs: number;
  /** When the end was acknowledged, in milliseconds. */
  notedMs: number | undefined;
  /** A run that was started before the end was acknowledged. */
  repetition: SoakRun | undefined;
  /** The worker crashed, or its lease lapsed, before the end was acknowledged. */
  isForgotten: boolean;
}

interface TaskRecord {
  readonly doneRuns: DoneRun[];
  /** Numbers of the runs that failed. */
  readonly failedRuns: number[];
  /** Those ends among them that were acknowledged. */
  failures: number;
  failureNotedMs: number;
  /** Workers that it has crashed, and starts since it counts as deadly. */
  crashes: number;
  deadlyStarts: number;
}

const secondsOf = (ms: number): string => (ms / 1_000).toFixed(3);

/** Keeps what was seen and what was broken. */
export class PromiseChecker {
  readonly violations: Violation[] = [];

  /** Faults are in force or were a moment ago: bounds in time do not hold. */
  isCalm = true;

  private readonly jobs = new Map<string, JobRecord>();

  private readonly tasks = new Map<string, TaskRecord>();

  private readonly running = new Map<string, Set<SoakRun>>();

  /** Checkpoints of gangs by their step and the number of their run. */
  private readonly gangCheckpoints = new Map<string, number>();

  /** Runs that were started when nothing disturbed their gangs. */
  private readonly startedInCalm = new WeakSet<SoakRun>();

  /** When fillers began to hold serving runs over their targets, in milliseconds. */
  private readonly harmedSinceMs = new WeakMap<SoakRun, number>();

  private disturbedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param nowMs - time since the start of the soak, in milliseconds
   * @param orderedBy - names who gives orders with a fencing token
   */
  constructor(
    readonly nowMs: () => number,
    private readonly orderedBy: (token: number) => string = () => 'an unknown entry',
  ) {}

  /** @returns jobs that were accepted, each with its last known state */
  accepted(): readonly JobRecord[] {
    return [...this.jobs.values()].filter(({ isAccepted }) => isAccepted);
  }

  /** A caller hands a job in, perhaps again. */
  submitting(job: SoakJob): void {
    const known = this.jobs.get(job.id);
    if (known) {
      known.pending += 1;
      return;
    }
    this.jobs.set(job.id, {
      job,
      isAccepted: false,
      pending: 1,
      mayRun: false,
      hasRun: false,
      cancelSentMs: undefined,
      cancelledMs: undefined,
      finalState: undefined,
    });
  }

  /** A caller was told what became of an attempt. */
  submitted(id: string, outcome: 'accepted' | 'refused' | 'unknown'): void {
    const record = this.jobs.get(id);
    if (!record) return;
    record.pending -= 1;
    if (outcome === 'accepted') record.isAccepted = true;
    if (outcome !== 'refused') record.mayRun = true;
    if (record.hasRun && PromiseChecker.isRefused(record)) {
      this.break('refused', `${id} was refused, and a task of it has started`);
    }
  }

  /** A caller asks for a cancellation. */
  cancelling(id: string): void {
    const record = this.jobs.get(id);
    if (record) record.cancelSentMs ??= this.nowMs();
  }

  /** A cancellation was answered with success. */
  cancelled(id: string): void {
    const record = this.jobs.get(id);
    if (record) record.cancelledMs ??= this.nowMs();
  }

  /** A caller was shown a state. */
  shown(id: string, state: string): void {
    const record = this.jobs.get(id);
    if (!record) return;
    if (state === 'gone' && record.isAccepted) this.break('lost', `${id} is said not to exist`);
    if (state === 'completed') this.checkCompleted(record);
    if (state === 'cancelled' && record.cancelSentMs === undefined) {
      this.break('state', `${id} is shown as cancelled, and nobody asked for that`);
    }
    if (state === 'failed') this.checkFailed(record);
    const isOver = record.finalState !== undefined && record.finalState !== state;
    if (isOver && !(record.finalState === 'cancelled' || state === 'cancelled')) {
      this.break('state', `${id} was ${record.finalState} and is now ${state}`);
    }
    if (['completed', 'failed', 'cancelled'].includes(state)) record.finalState = state;
  }

  /** A worker begins a run. */
  started(run: SoakRun, worker: CheckedWorker): void {
    this.checkJob(run);
    this.checkTask(run);
    this.checkWorker(run, worker);
    if (run.step.gang) this.checkGang(run);
    this.runsOf(run.task).add(run);
  }

  /** A worker comes, goes or crashes: members of gangs may miss each other. */
  disturbed(): void {
    this.disturbedMs = this.nowMs();
  }

  /** A serving task has a tail, in milliseconds, which only fillers bring over its target. */
  tailSeen(run: SoakRun, tailMs: number): void {
    if (tailMs <= TARGET_MS || !this.isUndisturbed()) {
      this.harmedSinceMs.delete(run);
      return;
    }
    const sinceMs = this.harmedSinceMs.get(run) ?? this.nowMs();
    this.harmedSinceMs.set(run, sinceMs);
    if (this.nowMs() - sinceMs < IMPACT_MS) return;
    this.harmedSinceMs.delete(run);
    this.break('harm', `${run.task} on ${run.workerId} stays over its target beside fillers`);
  }

  /** A task crashes the worker that runs it. */
  crashedUnder({ task }: SoakRun): void {
    this.taskOf(task).crashes += 1;
  }

  /** A run is over. */
  ended(run: SoakRun, kind: EndKind): void {
    const runs = this.runsOf(run.task);
    runs.delete(run);
    if (runs.size === 0) this.running.delete(run.task);
    if (kind === 'failed') this.taskOf(run.task).failedRuns.push(run.run);
    if (kind === 'alone') this.checkAlone(run);
    if (kind !== 'done') return;
    this.taskOf(run.task).doneRuns.push({
      run,
      endedMs: this.nowMs(),
      notedMs: undefined,
      repetition: undefined,
      isForgotten: false,
    });
  }

  /** The end of a run that did its work was acknowledged. */
  doneAcknowledged(run: SoakRun): void {
    this.doneRunsOf(run).forEach((done) => {
      const noted = done;
      const isFirst = done.notedMs === undefined;
      noted.notedMs ??= this.nowMs();
      if (!isFirst || done.isForgotten || !done.repetition) return;
      this.break(
        'one-run',
        `the end of ${run.task} is taken note of after it was started again: ` +
          `${this.describe(done.repetition)} after ${this.describe(run)}`,
      );
    });
  }

  /** The end of a failed run was acknowledged. */
  failureAcknowledged(task: string): void {
    const known = this.taskOf(task);
    known.failures += 1;
    known.failureNotedMs = this.nowMs();
  }

  /** A worker died before the end of a run was acknowledged: the run may be repeated. */
  endForgotten(run: SoakRun): void {
    this.doneRunsOf(run)
      .filter(({ notedMs }) => notedMs === undefined)
      .forEach((done) => {
        const forgotten = done;
        forgotten.isForgotten = true;
      });
  }

  /** Counts runs in progress. */
  runningCount(): number {
    return [...this.running.values()].reduce((sum, runs) => sum + runs.size, 0);
  }

  /** Breaks a promise. */
  break(promise: PromiseName, text: string): void {
    this.violations.push({ promise, text, atMs: Math.round(this.nowMs()) });
  }

  private static isRefused({ pending, mayRun }: JobRecord): boolean {
    return pending === 0 && !mayRun;
  }

  private checkJob({ task }: SoakRun): void {
    const { jobId } = readTask(task);
    const record = this.jobs.get(jobId);
    if (!record) {
      this.break('asked-for', `${task} is started, and nobody handed its job in`);
      return;
    }
    record.hasRun = true;
    if (PromiseChecker.isRefused(record)) {
      this.break('refused', `${task} is started, and its job was refused`);
    }
    const { cancelledMs } = record;
    if (this.isCalm && cancelledMs !== undefined && this.nowMs() - cancelledMs > CANCEL_MS) {
      this.break('cancelled', `${task} is started long after its job was cancelled`);
    }
  }

  private checkTask(run: SoakRun): void {
    const { task, step } = run;
    const name = readTask(task);
    const { jobId } = name;
    if (!step.speculative) {
      this.runsOf(task).forEach((other) =>
        this.break(
          'one-run',
          `${task} is started beside its run: ${this.describe(run)} beside ${this.describe(other)}`,
        ),
      );
    }
    const known = this.taskOf(task);
    const done = known.doneRuns.find(
      (each) => !each.isForgotten && (!step.speculative || this.isNotedBefore(run, each.notedMs)),
    );
    if (done && !step.longRunning) {
      if (done.notedMs === undefined) done.repetition ??= run;
      const noted =
        done.notedMs === undefined ? 'not taken note of' : `noted ${secondsOf(done.notedMs)}`;
      this.break(
        'one-run',
        `${task} is started after its end: ${this.describe(run)} after ` +
          `${this.describe(done.run)}, done ${secondsOf(done.endedMs)}, ${noted}`,
      );
    }
    const attempts = this.jobs.get(jobId)?.job.queue.maxAttempts ?? Number.POSITIVE_INFINITY;
    const isSpent =
      known.failures >= attempts &&
      (!step.speculative || this.isNotedBefore(run, known.failureNotedMs));
    if (isSpent && !step.longRunning) {
      this.break('attempts', `${task} is started after ${known.failures} failures`);
    }
    if (known.crashes >= DEADLY_CRASHES) known.deadlyStarts += 1;
    if (known.deadlyStarts > MOST_DEADLY_STARTS) {
      this.break('attempts', `${task} is started after it has crashed ${known.crashes} workers`);
    }
    this.checkDueTime(task, name);
    const job = this.jobs.get(jobId)?.job;
    if (!job) return;
    this.openTasks(job)
      .filter((before) => readTask(before).occurrence === name.occurrence)
      .filter((before) => step.after.includes(readTask(before).step))
      .forEach((before) => this.break('order', `${task} is started before ${before}`));
  }

  /** Whether an end was acknowledged so long before an order that its sender has to know. */
  private isNotedBefore({ orderedMs }: SoakRun, notedMs: number | undefined): boolean {
    return this.isCalm && notedMs !== undefined && orderedMs - notedMs > COPY_MS;
  }

  private checkDueTime(task: string, { jobId, occurrence }: TaskName): void {
    const schedule = this.jobs.get(jobId)?.job.schedule;
    if (!schedule) return;
    const earlyMs = schedule.startAtMs + occurrence * schedule.intervalMs - Date.now();
    if (earlyMs > EARLY_MS) {
      this.break('early', `${task} is started ${Math.round(earlyMs)} ms before it is due`);
    }
  }

  private checkGang(run: SoakRun): void {
    const { jobId, occurrence, step } = readTask(run.task);
    const gang = `${jobId}.${occurrence}.${step} ${run.run}`;
    const savedMs = this.gangCheckpoints.get(gang) ?? run.savedMs;
    this.gangCheckpoints.set(gang, savedMs);
    if (savedMs !== run.savedMs) {
      this.break('checkpoint', `${this.describe(run)} of ${run.task}: not that of its gang`);
    }
    if (this.isUndisturbed()) this.startedInCalm.add(run);
  }

  /** @returns true while no fault is near and no worker has come or gone lately */
  isUndisturbed(): boolean {
    return this.isCalm && this.nowMs() - this.disturbedMs > UNDISTURBED_MS;
  }

  private checkAlone(run: SoakRun): void {
    const isCancelled = this.jobs.get(readTask(run.task).jobId)?.cancelSentMs !== undefined;
    if (isCancelled || !this.isUndisturbed() || !this.startedInCalm.has(run)) return;
    this.break('gang', `${run.task} waits in vain for its gang: ${this.describe(run)}`);
  }

  private checkWorker(run: SoakRun, worker: CheckedWorker): void {
    const here = [...this.running.values()]
      .flatMap((runs) => [...runs])
      .filter(({ workerId }) => workerId === worker.id);
    const cpuOf = ({ step }: SoakRun): number => (step.filler ? 0 : step.cpu);
    const cpu = here.reduce((sum, each) => sum + cpuOf(each), cpuOf(run));
    const memMb = here.reduce((sum, { step }) => sum + step.memMb, run.step.memMb);
    if (cpu > worker.cpu || memMb > worker.memMb) {
      this.break('capacity', `${run.task} overloads ${worker.id}: ${cpu} cpu, ${memMb} MB`);
    }
    const { requirement } = run.step;
    if (requirement !== '' && !worker.labels.includes(requirement)) {
      this.break('label', `${run.task} is started on ${worker.id}, which is not ${requirement}`);
    }
    const { step, jobId, occurrence } = readTask(run.task);
    const siblings = here.filter(({ task }) => {
      const name = readTask(task);
      return name.jobId === jobId && name.occurrence === occurrence && name.step === step;
    });
    const { perWorker } = run.step;
    if (perWorker > 0 && siblings.length >= perWorker) {
      this.break('per-worker-limit', `${run.task} is one too many of its step on ${worker.id}`);
    }
    const { drainingSinceMs } = worker;
    if (this.isCalm && drainingSinceMs !== undefined && this.nowMs() - drainingSinceMs > DRAIN_MS) {
      this.break('draining', `${run.task} is started on ${worker.id}, which drains`);
    }
  }

  private checkCompleted({ job }: JobRecord): void {
    this.openTasks(job).forEach((task) =>
      this.break('state', `${job.id} is shown as completed, and ${task} is not done`),
    );
  }

  /** Returns the tasks that are not done; the end of one member of a gang counts for all. */
  private openTasks(job: SoakJob): readonly string[] {
    const isDone = (task: string): boolean => this.taskOf(task).doneRuns.length > 0;
    return PromiseChecker.tasksOf(job).flatMap((tasks, at) => {
      if (job.steps[at % job.steps.length]?.gang && tasks.some(isDone)) return [];
      return tasks.filter((task) => !isDone(task));
    });
  }

  private checkFailed({ job }: JobRecord): void {
    const attempts = PromiseChecker.tasksOf(job).flatMap((tasks, at) => {
      const failed = tasks.map((task) => this.taskOf(task).failedRuns);
      const isGang = job.steps[at % job.steps.length]?.gang;
      return isGang ? [new Set(failed.flat()).size] : failed.map(({ length }) => length);
    });
    const isDeadly = PromiseChecker.tasksOf(job)
      .flat()
      .some((task) => this.taskOf(task).crashes >= DEADLY_CRASHES);
    const worst = Math.max(...attempts);
    if (worst < job.queue.maxAttempts && !isDeadly) {
      this.break('state', `${job.id} is shown as failed after ${worst} failures of a task`);
    }
  }

  /** Returns the tasks of each step of each occurrence. */
  private static tasksOf(job: SoakJob): readonly (readonly string[])[] {
    return Array.from({ length: occurrencesOf(job) }, (_each, occurrence) =>
      job.steps.map(({ count }, step) =>
        Array.from({ length: count }, (_task, index) => `${job.id}.${occurrence}.${step}.${index}`),
      ),
    ).flat();
  }

  private describe({ run, workerId, dataCentre, token, orderedMs, startedMs }: SoakRun): string {
    return (
      `run ${run} on ${workerId} (${dataCentre}) from ${this.orderedBy(token)}, token ${token}, ` +
      `ordered ${secondsOf(orderedMs)}, started ${secondsOf(startedMs)}`
    );
  }

  private doneRunsOf({ task, run, workerId }: SoakRun): readonly DoneRun[] {
    return this.taskOf(task).doneRuns.filter(
      ({ run: each }) => each.run === run && each.workerId === workerId,
    );
  }

  private runsOf(task: string): Set<SoakRun> {
    const known = this.running.get(task);
    if (known) return known;
    const runs = new Set<SoakRun>();
    this.running.set(task, runs);
    return runs;
  }

  private taskOf(task: string): TaskRecord {
    const known = this.tasks.get(task);
    if (known) return known;
    const record = {
      doneRuns: [],
      failedRuns: [],
      failures: 0,
      failureNotedMs: 0,
      crashes: 0,
      deadlyStarts: 0,
    };
    this.tasks.set(task, record);
    return record;
  }
}
