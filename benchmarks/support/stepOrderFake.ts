/**
 * A site with room for a number of cores, short urgent jobs and longer ones, and an order in which
 * their steps are served.
 *
 * @packageDocumentation
 */

import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import type { StepSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import { isStepReady, OwnedJob, type OwnedStep } from 'samphirenotch/jobs/model/ownedJob.js';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import type { Queue } from 'samphirenotch/jobs/model/siteConfiguration.js';
import type { StepOrder } from 'samphirenotch/jobs/placement/stepOrder.js';

import type { Figures } from './comparison.js';

/** A kind of job: its queue, its steps one after another, and what it is worth in time. */
export interface JobKind {
  readonly priority: number;
  readonly steps: number;
  readonly tasks: number;
  readonly taskMs: number;
  readonly milliCores: number;
  readonly stretch: number;
  readonly targetLatencyMs: number;
  readonly worth: number;
  /** Worth if it ends late, up to three times the allowed time. */
  readonly lateWorth: number;
}

/** What happens during a run. */
export interface StepOrderScenario {
  readonly name: string;
  /** Work that comes in, relative to the site's cores. */
  readonly load: number;
  /** Factor on the longer jobs between 40 and 60 s. */
  readonly burst: number;
}

/** One run. */
export interface StepOrderRun {
  readonly urgent: JobKind;
  readonly heavy: JobKind;
  /** Share of the work that urgent jobs bring. */
  readonly urgentShare: number;
  readonly scenario: StepOrderScenario;
  readonly seed: number;
  readonly order: StepOrder;
}

const SITE_MILLICORES = 100_000;
const ARRIVALS_MS = 100_000;
const RUN_MS = 160_000;
const TICK_MS = 20;
const BURST_FROM_MS = 40_000;
const BURST_TO_MS = 60_000;

/** Late work earns up to this multiple of the allowed time. */
const LATE_LIMIT = 3;

/** Half widths: of a task's work around the mean, and of its estimate around its work. */
const WORK_SPREAD = 0.5;
const ESTIMATE_SPREAD = 0.3;

interface Running {
  readonly step: OwnedStep;
  readonly endMs: number;
  readonly milliCores: number;
}

interface Placed {
  readonly kind: JobKind;
  readonly job: OwnedJob;
  readonly workMs: number;
  endedMs: number | undefined;
}

const between = (random: SeededRandom, spread: number): number =>
  1 - spread + 2 * spread * random.fraction();

const workOf = ({ steps, tasks, taskMs, milliCores }: JobKind): number =>
  steps * tasks * taskMs * milliCores;

const makeJob = (kind: JobKind, id: string, nowMs: number, estimateMs: number): OwnedJob => {
  const queue: Queue = {
    name: `priority-${kind.priority}`,
    host: 'site',
    prefix: '/',
    service: 'site',
    priority: kind.priority,
    maximumAttempts: 1,
    stretch: kind.stretch,
    targetLatencyMs: kind.targetLatencyMs,
  };
  const steps: readonly StepSpec[] = Array.from({ length: kind.steps }, (_, index) => ({
    count: kind.tasks,
    size: { milliCores: kind.milliCores, memoryMb: 0, accelerators: 0 },
    estimateMs,
    after: index === 0 ? [] : [index - 1],
    checkpointing: false,
    gang: false,
    sameRack: false,
    requiredLabel: '',
    dataRack: '',
    perWorkerLimit: 0,
    speculative: false,
    longRunning: false,
    image: '',
    targetMs: 0,
    filler: false,
    allowedAbsent: 0,
  }));
  const job = { spec: '', steps, repeatCount: 0, startAtMs: 0, intervalMs: 0 };
  return new OwnedJob({
    accepted: { id, home: WHOLE_SITE_SHARE_ID, queue, acceptedAtMs: nowMs, job },
    revision: 1,
    queue,
    progress: undefined,
    firstRun: 1,
    acceptedMs: nowMs,
    knownSinceMs: nowMs,
  });
};

/** A run of one site. */
class StepOrderFake {
  private readonly random: SeededRandom;

  private readonly placed: Placed[] = [];

  private open: readonly Placed[] = [];

  private readonly workOfJob = new Map<OwnedJob, number>();

  private running: readonly Running[] = [];

  private readonly startedTasks = new Map<OwnedStep, number>();

  private freeMilliCores = SITE_MILLICORES;

  constructor(private readonly run: StepOrderRun) {
    this.random = new SeededRandom(run.seed);
  }

  play(): Figures {
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += TICK_MS) {
      this.end(nowMs);
      if (nowMs < ARRIVALS_MS) this.arrive(nowMs);
      this.start(nowMs);
    }
    return this.figures();
  }

  private arrive(nowMs: number): void {
    const { urgent, heavy, urgentShare, scenario } = this.run;
    const isBurst = nowMs >= BURST_FROM_MS && nowMs < BURST_TO_MS;
    const work = scenario.load * SITE_MILLICORES * TICK_MS;
    this.arriveOf(urgent, (work * urgentShare) / workOf(urgent), nowMs);
    const factor = isBurst ? scenario.burst : 1;
    this.arriveOf(heavy, (factor * work * (1 - urgentShare)) / workOf(heavy), nowMs);
  }

  private arriveOf(kind: JobKind, expected: number, nowMs: number): void {
    if (this.random.fraction() >= expected) return;
    const workMs = kind.taskMs * between(this.random, WORK_SPREAD);
    const estimateMs = workMs * between(this.random, ESTIMATE_SPREAD);
    const job = makeJob(kind, `job-${this.placed.length}`, nowMs, estimateMs);
    const placed = { kind, job, workMs, endedMs: undefined };
    this.placed.push(placed);
    this.open = [...this.open, placed];
    this.workOfJob.set(job, workMs);
  }

  private end(nowMs: number): void {
    const ended = this.running.filter(({ endMs }) => endMs <= nowMs);
    if (ended.length === 0) return;
    this.running = this.running.filter(({ endMs }) => endMs > nowMs);
    ended.forEach(({ step, milliCores }) => {
      this.freeMilliCores += milliCores;
      const own = step;
      own.doneCount += 1;
    });
    this.open
      .filter(({ job }) => job.isDone)
      .forEach((each) => {
        const own = each;
        own.endedMs = nowMs;
      });
    this.open = this.open.filter(({ endedMs }) => endedMs === undefined);
  }

  private start(nowMs: number): void {
    const waiting = this.open
      .flatMap(({ job }) => job.occurrences.get(0)?.steps ?? [])
      .filter((step) => isStepReady(step) && this.waitingTasks(step) > 0);
    this.run.order.sort(waiting, nowMs).forEach((step) => {
      const { milliCores } = step.spec.size;
      const count = Math.min(this.waitingTasks(step), Math.floor(this.freeMilliCores / milliCores));
      const endMs = nowMs + (this.workOfJob.get(step.occurrence.job) ?? 0);
      this.running = [
        ...this.running,
        ...Array.from({ length: count }, () => ({ step, endMs, milliCores })),
      ];
      this.freeMilliCores -= count * milliCores;
      this.startedTasks.set(step, (this.startedTasks.get(step) ?? 0) + count);
    });
  }

  private waitingTasks(step: OwnedStep): number {
    return step.spec.count - (this.startedTasks.get(step) ?? 0);
  }

  private figures(): Figures {
    const owed = this.placed.reduce((sum, { kind }) => sum + kind.worth, 0);
    const earned = this.placed.reduce((sum, each) => sum + StepOrderFake.worthOf(each), 0);
    const inTime = (kind: JobKind): number => {
      const own = this.placed.filter((each) => each.kind === kind);
      return own.filter((each) => StepOrderFake.lateness(each) <= 1).length / own.length;
    };
    return {
      worth: earned / owed,
      'urgent in time': inTime(this.run.urgent),
      'heavy in time': inTime(this.run.heavy),
    };
  }

  /** Time taken over the time allowed by the work that it really was. */
  private static lateness({ kind, job, workMs, endedMs }: Placed): number {
    if (endedMs === undefined) return Number.POSITIVE_INFINITY;
    const allowedMs = kind.stretch * kind.steps * workMs + kind.targetLatencyMs;
    return (endedMs - job.acceptedMs) / allowedMs;
  }

  private static worthOf(each: Placed): number {
    const late = StepOrderFake.lateness(each);
    if (late <= 1) return each.kind.worth;
    return late <= LATE_LIMIT ? each.kind.lateWorth : 0;
  }
}

/**
 * Runs a site.
 *
 * @param run - jobs, load and order
 * @returns worth earned of what was owed, and shares in time
 */
export const runStepOrder = (run: StepOrderRun): Figures => new StepOrderFake(run).play();
