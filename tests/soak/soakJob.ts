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
}

/** A job. */
export interface SoakJob {
  readonly id: string;
  readonly queue: SoakQueue;
  readonly steps: readonly SoakStep[];
}

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

const STEP: SoakStep = {
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
};

const draw = (
  random: SeededRandom,
  width: number,
): { queue: SoakQueue; steps: readonly SoakStep[] } => {
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

/**
 * Draws a job.
 *
 * @param random - source of random numbers
 * @param width - times that a step has its usual tasks
 * @returns the job
 */
export const drawJob = (random: SeededRandom, width: number): SoakJob => {
  const id = Array.from({ length: 16 }, () => random.below(16).toString(16)).join('');
  return { id, ...draw(random, width) };
};

/**
 * Writes a job as callers send it. The specification carries the steps, for the workers' stand-in.
 *
 * @param job - the job
 * @returns the body
 */
export const jobBody = ({ steps }: SoakJob): unknown => ({
  Spec: JSON.stringify(steps),
  Steps: steps.map((step) => ({
    Count: step.count,
    Cpu: step.cpu,
    MemMb: step.memMb,
    EstimateMs: step.longRunning ? 0 : step.durationMs,
    ...(step.after.length > 0 ? { After: step.after } : {}),
    ...(step.perWorker > 0 ? { AntiAffinity: step.perWorker } : {}),
    ...(step.checkpointing ? { Checkpointing: true } : {}),
    ...(step.longRunning ? { LongRunning: true, Image: 'watch', TargetMs: 50 } : {}),
    ...(step.filler ? { Fills: true, Image: 'batch' } : {}),
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
  const [jobId = '', , step = '', index = ''] = task.split('.');
  return { jobId, step: Number(step), index: Number(index) };
};
