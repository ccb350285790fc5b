/**
 * Logs starts and ends of runs: one line each, except for what fillers usually do, which is gathered, and
 * for the runs that are adopted by one answer of a worker.
 */
import type { RunEnd } from '../../infrastructure/taskWorker.js';
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedRun, OwnedTask } from '../model/ownedJob.js';
import type { OperatorFollower } from '../store/operatorFollower.js';
import type { Term } from '../store/term.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { WorkerFleet } from '../workers/workerFleet.js';
import { FillerRuns, MAX_RUNS_OF_LINE } from './fillerRuns.js';
import { objectiveMs, remainingPathMs } from './stepOrder.js';

/** Dependencies of a `RunLog`. */
export interface RunLogOptions {
  readonly fleet: WorkerFleet;
  readonly operator: OperatorFollower;
  readonly clock: Clock;
  readonly term: Term;
  /** Returns the age of the owner's view of jobs, in milliseconds. */
  readonly viewAgeMs: () => number;
}

/** The end of a run, as its owner learns of it. */
export interface ReportedEnd {
  readonly worker: string;
  /** The run; undefined if the owner did not track it. */
  readonly run: OwnedRun | undefined;
  readonly end: RunEnd;
  /** Monotonic time at which the worker made the report, in milliseconds. */
  readonly shownMs: number;
}

const isGathered = ({ spec }: OwnedTask['step']): boolean => spec.filler && !spec.longRunning;

/** A task that fails, or under which workers crash, is followed run by run. */
const hasFailed = ({ failedRuns, crashedRuns }: OwnedTask): boolean =>
  failedRuns.length > 0 || crashedRuns.length > 0;

/** Tells whether an end says no more than that work was done, or stopped as ordered. */
const isUsualEnd = (task: OwnedTask, { run, end }: ReportedEnd): boolean => {
  if (end.kind === 'done') return !task.done;
  return end.kind === 'stopped' && run?.stopOrderedMs !== undefined;
};

const differenceMs = (
  untilMs: number | undefined,
  sinceMs: number | undefined,
): number | undefined =>
  untilMs === undefined || sinceMs === undefined ? undefined : Math.round(untilMs - sinceMs);

/** Logs the runs of one term. */
export class RunLog {
  private readonly starts = partLog('starts');

  private readonly owner = partLog('owner');

  private readonly fillers: FillerRuns;

  /**
   * @param options - what starts are described by
   */
  constructor(private readonly options: RunLogOptions) {
    this.fillers = new FillerRuns(options.clock);
  }

  /**
   * Logs a start, before it is tracked and sent.
   *
   * @param task - the task
   * @param run - number of the run
   * @param agent - the worker
   * @param formerPlace - place of the task before the start
   */
  noteStart(task: OwnedTask, run: number, agent: WorkerAgent, formerPlace?: string): void {
    const { step } = task;
    const start = this.describe(task, agent);
    if (isGathered(step)) {
      if (start.leaseLeftMs >= 0 && !hasFailed(task)) {
        const { slackMs = 0 } = start;
        this.fillers.addStart(step, {
          index: task.index,
          run,
          worker: agent.id,
          ...start,
          slackMs,
        });
        return;
      }
      this.fillers.write(step);
    }
    const { job } = step.occurrence;
    const { dataCentre, freeMilliCores, isNear, slackMs, configuration, ...owner } = start;
    this.starts.info('Starting a task', {
      taskId: task.id,
      run,
      worker: agent.id,
      dataCentre,
      freeMilliCores,
      milliCores: step.spec.size.milliCores,
      isFiller: step.spec.filler,
      isGuest: job.isGuest,
      delegation: job.delegation?.name,
      jobRevision: job.revision,
      isNear,
      slackMs,
      configuration,
      ...owner,
      formerPlace,
    });
  }

  /**
   * Logs an end, before it takes effect.
   *
   * @param task - the task; undefined if it is not open
   * @param reported - the end
   */
  noteEnd(task: OwnedTask | undefined, reported: ReportedEnd): void {
    const { worker, run, end, shownMs } = reported;
    const times = {
      orderMs: differenceMs(run?.startAnsweredMs, run?.startedMs),
      workedMs: differenceMs(shownMs, run?.startAnsweredMs),
      afterMs: differenceMs(this.options.clock.monotonicMs(), run?.startedMs),
    };
    const isSaved = end.checkpoint !== '';
    if (task && isGathered(task.step)) {
      if (isUsualEnd(task, reported)) {
        this.fillers.addEnd(task.step, {
          index: task.index,
          run: end.run,
          worker,
          kind: end.kind,
          isKnown: run !== undefined,
          isSaved,
          ...times,
        });
        return;
      }
      this.fillers.write(task.step);
    }
    this.owner.info('A run has ended', {
      taskId: end.taskId,
      run: end.run,
      worker,
      kind: end.kind,
      known: run !== undefined,
      milliCores: task?.step.spec.size.milliCores,
      isSaved,
      ...times,
    });
  }

  /**
   * Logs that a run is over without a reported end.
   *
   * @param run - the run
   * @param reason - why its end was concluded
   */
  noteLoss({ task, run, agent }: OwnedRun, reason: string): void {
    this.fillers.write(task.step);
    this.owner.info('A task goes back to waiting', {
      taskId: task.id,
      run,
      worker: agent.id,
      reason,
    });
  }

  /**
   * Logs which runs of former owners are tracked from now on.
   *
   * @param worker - the worker that has reported them
   * @param runs - the runs
   */
  noteAdoption(worker: string, runs: readonly OwnedRun[]): void {
    for (let from = 0; from < runs.length; from += MAX_RUNS_OF_LINE) {
      const some = runs.slice(from, from + MAX_RUNS_OF_LINE);
      this.owner.info('Adopted runs', {
        worker,
        adopted: some.length,
        taskIds: some.map(({ task }) => task.id).join(' '),
        runs: some.map(({ run }) => run).join(' '),
      });
    }
  }

  /** Logs what was gathered long enough ago. */
  writeDue(): void {
    this.fillers.writeDue();
  }

  /** Logs all that was gathered, at the end of the term. */
  close(): void {
    this.fillers.writeAll();
  }

  private describe({ step }: OwnedTask, agent: WorkerAgent) {
    const { clock, fleet, operator, term, viewAgeMs } = this.options;
    const { dataRack, longRunning } = step.spec;
    const { job } = step.occurrence;
    const { dataCentre, labels } = agent.description;
    const nowMs = clock.monotonicMs();
    return {
      dataCentre,
      freeMilliCores: agent.free().milliCores,
      isNear: dataRack === '' ? undefined : labels.includes(dataRack),
      // Time until the objective minus the estimated remaining path. Long-running tasks have none.
      slackMs: longRunning
        ? undefined
        : Math.round(objectiveMs(job) - nowMs - remainingPathMs(job, step.index)),
      configuration: operator.view().configuration?.version,
      viewAgeMs: Math.round(viewAgeMs()),
      fencingToken: term.fencingToken,
      leaseLeftMs: Math.round(term.leaseValidUntilMs() - nowMs),
      unreportedWorkers: fleet.unreportedCount,
    };
  }
}
