/**
 * Splits the time that a job took into phases, along the tasks that it waited for last.
 */
import type { JobHistory, RunHistory } from './jobHistory.js';

/** Phases of a job, in milliseconds. */
export interface JobPhases {
  /** From its acceptance until its owner knew of it. */
  readonly accepting: number;
  /** From when a step could start until the first run of the task that it ended with. */
  readonly waiting: number;
  /** From that run until the last run of the task: runs that failed or were lost, and new waits. */
  readonly repeating: number;
  /** The last run of the task, up to the median of its step. */
  readonly working: number;
  /** What the last run took beyond that. */
  readonly lagging: number;
  /** From the last end until the job's end was decided. */
  readonly closing: number;
}

/** A job that was completed. */
export interface PhasedJob {
  readonly job: JobHistory;
  readonly phases: JobPhases;
  readonly tookMs: number;
  /** From its acceptance to its first start. */
  readonly firstStartMs: number;
  /** From the end of one step to the first start of the next, each. */
  readonly betweenStepsMs: readonly number[];
  /** By when it should have been complete after its acceptance, by the work that its tasks had. */
  readonly objectiveMs: number | undefined;
}

interface StepRuns {
  readonly firstMs: number;
  readonly endMs: number;
  /** Start of the first run of the task that ended last. */
  readonly lastTaskMs: number;
  /** Start of the run that it ended with. */
  readonly lastRunMs: number;
  readonly medianMs: number;
  readonly longestMs: number;
}

interface DoneTask {
  readonly runs: readonly RunHistory[];
  readonly done: RunHistory;
  readonly endMs: number;
}

const doneOf = (runs: readonly RunHistory[]): DoneTask | undefined => {
  const ends = runs.flatMap((done) =>
    done.kind === 'done' && done.endedMs !== undefined ? [{ runs, done, endMs: done.endedMs }] : [],
  );
  return ends.sort((one, other) => one.endMs - other.endMs)[0];
};

const medianOf = (values: readonly number[]): number =>
  Float64Array.from(values).sort()[Math.floor(values.length / 2)] ?? 0;

const workOf = ({ done, endMs }: DoneTask): number => done.workedMs ?? endMs - done.startedMs;

const stepRuns = (tasks: readonly (readonly RunHistory[])[]): StepRuns | undefined => {
  const done = tasks.flatMap((runs) => doneOf(runs) ?? []);
  const [last] = [...done].sort((one, other) => other.endMs - one.endMs);
  const [first] = last?.runs ?? [];
  if (!last || !first) return undefined;
  return {
    firstMs: Math.min(...tasks.flat().map(({ startedMs }) => startedMs)),
    endMs: last.endMs,
    lastTaskMs: first.startedMs,
    lastRunMs: last.done.startedMs,
    medianMs: medianOf(done.map(({ done: run, endMs }) => endMs - run.startedMs)),
    longestMs: Math.max(...done.map(workOf)),
  };
};

/** Groups tasks by occurrence and step. */
const stepsOf = ({ tasks }: JobHistory): readonly StepRuns[] => {
  const steps = new Map<string, (readonly RunHistory[])[]>();
  tasks.forEach((runs, taskId) => {
    const step = taskId.slice(0, taskId.lastIndexOf('.'));
    steps.set(step, [...(steps.get(step) ?? []), runs]);
  });
  return [...steps.values()].flatMap((each) => stepRuns(each) ?? []);
};

/** Follows the steps back from the one that ended last, each to the last one before its start. */
const chainOf = (steps: readonly StepRuns[]): readonly StepRuns[] => {
  const latest = (found: readonly StepRuns[]): StepRuns | undefined =>
    [...found].sort((one, other) => other.endMs - one.endMs)[0];
  const chain: StepRuns[] = [];
  let step = latest(steps);
  while (step) {
    chain.unshift(step);
    const { firstMs } = step;
    step = latest(steps.filter((each) => each.endMs <= firstMs && !chain.includes(each)));
  }
  return chain;
};

const objectiveOf = (
  { stretch, targetLatencyMs }: JobHistory,
  chain: readonly StepRuns[],
): number | undefined => {
  if (stretch === undefined || targetLatencyMs === undefined) return undefined;
  return stretch * chain.reduce((sum, { longestMs }) => sum + longestMs, 0) + targetLatencyMs;
};

const hasTimes = ({ tasks }: JobHistory): boolean =>
  [...tasks.keys()].some((taskId) => taskId.split('.')[1] !== '0');

/**
 * Splits the time of a job.
 *
 * @param job - the job
 * @returns its phases; undefined unless it was seen from its acceptance to its completion, and for jobs
 * that run several times
 */
export const phasesOf = (job: JobHistory): PhasedJob | undefined => {
  const { acceptedMs, takenInMs, endedMs } = job;
  if (acceptedMs === undefined || takenInMs === undefined || endedMs === undefined)
    return undefined;
  if (job.state !== 'completed' || hasTimes(job)) return undefined;
  const chain = chainOf(stepsOf(job));
  const [first] = chain;
  if (!first) return undefined;
  const phases = { accepting: 0, waiting: 0, repeating: 0, working: 0, lagging: 0, closing: 0 };
  phases.accepting = Math.max(0, takenInMs - acceptedMs);
  let readyMs = Math.max(takenInMs, acceptedMs);
  chain.forEach(({ endMs, lastTaskMs, lastRunMs, medianMs }) => {
    phases.waiting += Math.max(0, lastTaskMs - readyMs);
    phases.repeating += lastRunMs - lastTaskMs;
    const workMs = endMs - lastRunMs;
    phases.working += Math.min(workMs, medianMs);
    phases.lagging += Math.max(0, workMs - medianMs);
    readyMs = endMs;
  });
  phases.closing = Math.max(0, endedMs - readyMs);
  return {
    job,
    phases,
    tookMs: endedMs - acceptedMs,
    firstStartMs: first.firstMs - acceptedMs,
    betweenStepsMs: chain
      .slice(1)
      .map(({ firstMs }, index) => firstMs - (chain[index]?.endMs ?? firstMs)),
    objectiveMs: objectiveOf(job, chain),
  };
};

/**
 * Names the phase other than work that took longest.
 *
 * @param phases - the phases
 * @returns its name
 */
export const longestDelay = (phases: JobPhases): keyof JobPhases => {
  const names: readonly (keyof JobPhases)[] = [
    'accepting',
    'waiting',
    'repeating',
    'lagging',
    'closing',
  ];
  return names.reduce((most, each) => (phases[each] > phases[most] ? each : most), 'accepting');
};
