/**
 * Jobs of the soak: what callers hand in, and what the workers' stand-in makes of them.
 */
import type { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

/** One step of a job. */
export interface SoakStep {
  readonly count: number;
  readonly cpu: number;
  readonly memMb: number;
  readonly durationMs: number;
  /** Every so many starts fail; 0 for none. */
  readonly failEvery: number;
  readonly after: readonly number[];
  readonly perWorker: number;
  readonly checkpointing: boolean;
  readonly longRunning: boolean;
  readonly filler: boolean;
  /** What each of its tasks adds to the tails of serving tasks on its worker, in milliseconds. */
  readonly disturbance: number;
  /** Its tasks work only together. */
  readonly gang: boolean;
  /** They take longer on more than one rack. */
  readonly sameRack: boolean;
  /** Copies of a task may run at once. */
  readonly speculative: boolean;
  /** Every so many starts work slowly; 0 for none. */
  readonly slowEvery: number;
  /** Label that a worker must have; empty for none. */
  readonly requirement: string;
  /** Rack of the data; empty for none. */
  readonly dataRack: string;
  /** Its tasks crash the workers that start them. */
  readonly deadly: boolean;
}

/** When the steps of a job run again and again. */
export interface SoakSchedule {
  readonly repeatCount: number;
  /** When the first occurrence is due, in Unix milliseconds. */
  readonly startAtMs: number;
  readonly intervalMs: number;
}

/** A job. */
export interface SoakJob {
  readonly id: string;
  readonly queue: SoakQueue;
  readonly steps: readonly SoakStep[];
  readonly schedule?: SoakSchedule;
}

/** Which kinds of jobs are drawn. */
export type JobKinds = 'usual' | 'all';

/** A queue. */
export interface SoakQueue {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly priority: number;
  readonly maxAttempts: number;
}

/** Service of all queues and workers. */
export const SERVICE = 'desk';

/** Queues of the soak. */
export const QUEUES: readonly SoakQueue[] = [
  { name: 'quick', host: 'desk.example', prefix: '/quick/', priority: 0, maxAttempts: 4 },
  { name: 'batch', host: 'desk.example', prefix: '/batch/', priority: 2, maxAttempts: 4 },
  { name: 'watch', host: 'desk.example', prefix: '/watch/', priority: 0, maxAttempts: 4 },
];

const [QUICK, BATCH, WATCH] = QUEUES as readonly [SoakQueue, SoakQueue, SoakQueue];

/** Shares of quick and batch jobs among all; the rest are watchers. */
const QUICK_SHARE = 0.5;
const BATCH_SHARE = 0.45;

/**
 * Makes a step: one task of half a second on one core, unless changed.
 *
 * @param changes - what is not as usual
 * @returns the step
 */
export const makeStep = (changes: Partial<SoakStep> = {}): SoakStep => ({
  count: 1,
  cpu: 1_000,
  memMb: 1_000,
  durationMs: 500,
  failEvery: 0,
  after: [],
  perWorker: 0,
  checkpointing: false,
  longRunning: false,
  filler: false,
  disturbance: 0,
  gang: false,
  sameRack: false,
  speculative: false,
  slowEvery: 0,
  requirement: '',
  dataRack: '',
  deadly: false,
  ...changes,
});

const STEP = makeStep();

/** Bound of the tails of serving tasks, in milliseconds. */
export const TARGET_MS = 50;

/** What a disturbing task adds to them, in milliseconds. */
const DISTURBANCE_MS = 30;

/** Racks of the workers. */
const RACKS = ['r0', 'r1', 'r2'] as const;

/** Share of the jobs of further kinds, if all are drawn, and of the deadly ones among these. */
const FURTHER_SHARE = 0.5;
const DEADLY_SHARE = 0.02;

interface Draft {
  readonly queue: SoakQueue;
  readonly steps: readonly SoakStep[];
  readonly schedule?: SoakSchedule;
}

const draw = (random: SeededRandom, width: number): Draft => {
  const share = random.fraction();
  if (share < QUICK_SHARE) {
    const first = {
      ...STEP,
      count: width * (1 + random.below(6)),
      durationMs: 200 + random.below(800),
    };
    const second = { ...first, after: [0], perWorker: random.below(3) };
    return { queue: QUICK, steps: random.below(2) === 0 ? [first] : [first, second] };
  }
  if (share < QUICK_SHARE + BATCH_SHARE) {
    const first: SoakStep = {
      ...STEP,
      count: width * (2 + random.below(6)),
      durationMs: 500 + random.below(1_500),
      failEvery: random.below(2) === 0 ? 0 : 7,
      checkpointing: true,
      filler: random.below(2) === 0,
    };
    return { queue: BATCH, steps: [first, { ...first, after: [0] }] };
  }
  const step = { ...STEP, count: 1 + random.below(3), longRunning: true, cpu: 1_500 };
  return { queue: WATCH, steps: [step] };
};

const drawRack = (random: SeededRandom): string => RACKS[random.below(RACKS.length)] ?? '';

const drawSchedule = (random: SeededRandom): SoakSchedule => ({
  repeatCount: 2 + random.below(4),
  startAtMs: Date.now() + random.below(4_000),
  intervalMs: 300 + random.below(3_000),
});

const drawFurther = (random: SeededRandom, width: number): Draft => {
  if (random.fraction() < DEADLY_SHARE) {
    return { queue: BATCH, steps: [{ ...STEP, durationMs: 2_000, deadly: true }] };
  }
  const count = width * (2 + random.below(5));
  const durationMs = 400 + random.below(1_600);
  const step = { ...STEP, count, durationMs };
  const kind = random.below(4);
  if (kind === 0) {
    const gang: SoakStep = {
      ...step,
      gang: true,
      sameRack: random.below(3) === 0,
      failEvery: random.below(3) === 0 ? 19 : 0,
      checkpointing: random.below(2) === 0,
      perWorker: random.below(3),
    };
    return {
      queue: BATCH,
      steps: random.below(2) === 0 ? [gang] : [gang, { ...gang, after: [0] }],
    };
  }
  if (kind === 1) {
    const copied: SoakStep = { ...step, count: count + 4, speculative: true, slowEvery: 5 };
    return { queue: QUICK, steps: [copied, { ...step, after: [0] }] };
  }
  if (kind === 2) {
    const first: SoakStep = { ...step, count: 1 + random.below(3), gang: random.below(3) === 0 };
    return {
      queue: QUICK,
      steps: [first, { ...first, after: [0], gang: false }],
      schedule: drawSchedule(random),
    };
  }
  const filling = random.below(2) === 0 ? { filler: true, disturbance: DISTURBANCE_MS } : {};
  const near: SoakStep = { ...step, dataRack: drawRack(random), ...filling };
  return { queue: BATCH, steps: [near, { ...step, after: [0], requirement: drawRack(random) }] };
};

/**
 * Draws a job.
 *
 * @param random - source of random numbers
 * @param width - times that a step has its usual tasks
 * @param kinds - which kinds
 * @returns the job
 */
export const drawJob = (
  random: SeededRandom,
  width: number,
  kinds: JobKinds = 'usual',
): SoakJob => {
  const id = Array.from({ length: 16 }, () => random.below(16).toString(16)).join('');
  const isFurther = kinds === 'all' && random.fraction() < FURTHER_SHARE;
  return { id, ...(isFurther ? drawFurther(random, width) : draw(random, width)) };
};

/**
 * Counts the occurrences of a job.
 *
 * @param job - the job
 * @returns how often its steps run
 */
export const occurrencesOf = ({ schedule }: SoakJob): number => schedule?.repeatCount ?? 1;

/**
 * Tells whether a job ends only by its cancellation.
 *
 * @param job - the job
 * @returns true if its tasks last, or none of them can be done
 */
export const isEndless = ({ steps: [first] }: SoakJob): boolean =>
  first !== undefined && (first.longRunning || first.deadly);

/**
 * Writes a job as callers send it. The specification carries the steps, for the workers' stand-in.
 *
 * @param job - the job
 * @returns the body
 */
export const jobBody = ({ steps, schedule }: SoakJob): unknown => ({
  ...(schedule
    ? {
        RepeatCount: schedule.repeatCount,
        StartAtMs: schedule.startAtMs,
        IntervalMs: schedule.intervalMs,
      }
    : {}),
  Spec: JSON.stringify(steps),
  Steps: steps.map((step) => ({
    Count: step.count,
    Cpu: step.cpu,
    MemMb: step.memMb,
    EstimateMs: step.longRunning ? 0 : step.durationMs,
    ...(step.after.length > 0 ? { After: step.after } : {}),
    ...(step.perWorker > 0 ? { AntiAffinity: step.perWorker } : {}),
    ...(step.checkpointing ? { Checkpointing: true } : {}),
    ...(step.longRunning ? { LongRunning: true, Image: 'watch', TargetMs: TARGET_MS } : {}),
    ...(step.filler ? { Fills: true, Image: `batch${step.disturbance || ''}` } : {}),
    ...(step.gang ? { Gang: true } : {}),
    ...(step.sameRack ? { SameRack: true } : {}),
    ...(step.speculative ? { Speculative: true } : {}),
    ...(step.requirement ? { Requirements: step.requirement } : {}),
    ...(step.dataRack ? { Affinity: step.dataRack } : {}),
  })),
});

/**
 * Reads the steps that a specification carries.
 *
 * @param spec - the specification of an order
 * @returns the steps
 */
export const readSteps = (spec: string): readonly SoakStep[] =>
  JSON.parse(spec) as readonly SoakStep[];

/** Parts of a task's name. */
export interface TaskName {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/**
 * Reads a task's name.
 *
 * @param task - the name
 * @returns its parts
 */
export const readTask = (task: string): TaskName => {
  const [jobId = '', occurrence = '', step = '', index = ''] = task.split('.');
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
};
