/**
 * Stops runs that would be lost or make no progress where they are, so that their tasks start
 * elsewhere.
 *
 * Long-running tasks and tasks with checkpoints leave a draining worker before it shuts down;
 * `DrainMoves` moves long-running ones earlier if there is room for them. On a hanging worker, a run
 * without progress is stopped long before its lease would expire.
 */
import type { Clock } from '../../time/clock.js';

import { FULL_PERCENT, isCheapToRestart, type OwnedRun } from '../model/ownedJob.js';
import { DEFAULT_REMAINING_MS, type WorkerAgent } from './workerAgent.js';
import type { WorkerFleet } from './workerFleet.js';

/** Time between two checks, in milliseconds; workers report every half second at best. */
const CHECK_INTERVAL_MS = 100;

/**
 * Time without progress after which a run is stopped, in milliseconds; progress shows about every
 * second.
 */
const STALL_MS = 2_500;

/**
 * Part of that time over which the worker must have made reports, in milliseconds: without reports,
 * the delay may be the owner's own.
 */
const MIN_REPORTED_STALL_MS = 1_000;

/** How long a worker with a stalled run gets no new work, in milliseconds. */
const AVOID_MS = 3_000;

/** Time reserved for stopping a run before its worker leaves, in milliseconds. */
const STOP_MARGIN_MS = 500;

/**
 * Time before a worker may leave at which its long-running runs are stopped at the latest, in
 * milliseconds. The directory shows its announcement late, and a run that ends with its worker is known
 * to be over only once its lease has lapsed.
 */
const LEAVE_MARGIN_MS = 1_500;

/**
 * Longest pause of a filler before it is stopped, in milliseconds; loads fluctuate within seconds.
 */
const MAX_FILLER_PAUSE_MS = 1_200;

/** Pace below which no progress is expected, in percent of the run's processors. */
const MIN_STALL_PACE_PERCENT = 20;

/** Time within which a run that is stopped is expected to end, in milliseconds. */
const EXPECTED_STOP_MS = 1_500;

/** Assumed duration of a task without an estimate, in milliseconds. */
const DEFAULT_ESTIMATE_MS = 1_000;

/**
 * Estimates the remaining time of a run from its progress, or from its step's estimate before any.
 *
 * @param run - the run
 * @param nowMs - monotonic time in milliseconds
 * @returns remaining time in milliseconds
 */
export const remainingRunMs = (run: OwnedRun, nowMs: number): number => {
  const { percent, reportedMs } = run;
  const begunMs = run.startAnsweredMs ?? run.startedMs;
  if (percent > 0) {
    const totalMs = ((reportedMs - begunMs) * FULL_PERCENT) / percent;
    return Math.max(0, begunMs + totalMs - nowMs);
  }
  const estimateMs = run.task.step.spec.estimateMs || DEFAULT_ESTIMATE_MS;
  return Math.max(0, begunMs + estimateMs - nowMs);
};

/**
 * Checks whether a run should have ended after it was ordered to stop.
 *
 * @param run - the run
 * @param nowMs - monotonic time in milliseconds
 * @returns false if it is not being stopped or may still be ending
 */
export const isStopOverdue = ({ stopOrderedMs }: OwnedRun, nowMs: number): boolean =>
  stopOrderedMs !== undefined && nowMs - stopOrderedMs > EXPECTED_STOP_MS;

/** Stops runs on draining workers, stalled runs and fillers paused for too long. */
export class RunSupervisor {
  private lastCheckMs = Number.NEGATIVE_INFINITY;

  /**
   * @param fleet - the workers to check
   * @param clock - clock of this process
   */
  constructor(
    private readonly fleet: WorkerFleet,
    private readonly clock: Clock,
  ) {}

  /** Checks all runs and stops those that should run elsewhere. */
  check(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.lastCheckMs + CHECK_INTERVAL_MS) return;
    this.lastCheckMs = nowMs;
    this.fleet.all().forEach((agent) => {
      if (!agent.isResponsive) return;
      if (agent.description.phase === 'draining') this.stopOnDraining(agent, nowMs);
      else this.stopStalled(agent, nowMs);
    });
  }

  private stopOnDraining(agent: WorkerAgent, nowMs: number): void {
    const remainingMs = agent.description.remainingMs ?? DEFAULT_REMAINING_MS;
    const isLastChance = nowMs >= (agent.leavesAtMs ?? nowMs) - LEAVE_MARGIN_MS;
    agent.activeRuns().forEach((run) => {
      if (run.phase !== 'running') return;
      const { longRunning, checkpointing, gang, filler } = run.task.step.spec;
      const isTooLong = remainingRunMs(run, nowMs) > remainingMs - STOP_MARGIN_MS;
      const mustLeave = longRunning ? gang || filler || isLastChance : checkpointing && isTooLong;
      if (mustLeave) agent.stop(run, 'its worker drains');
    });
  }

  private stopStalled(agent: WorkerAgent, nowMs: number): void {
    agent
      .activeRuns()
      .filter((run) => this.isPausedTooLong(run, nowMs))
      .forEach((run) => agent.stop(run, 'it is paused for a serving task'));
    const avoided = agent;
    agent
      .activeRuns()
      .filter((run) => this.isStalled(run, nowMs))
      .forEach((run) => {
        agent.stop(run, 'it makes no progress');
        avoided.avoidUntilMs = Math.max(agent.avoidUntilMs, nowMs + AVOID_MS);
      });
  }

  /** A filler that is paused for a serving task may continue at once on another worker. */
  private isPausedTooLong(run: OwnedRun, nowMs: number): boolean {
    return (
      run.phase === 'running' &&
      run.pace === 0 &&
      isCheapToRestart(run) &&
      nowMs - run.progressedMs >= MAX_FILLER_PAUSE_MS
    );
  }

  private isStalled(run: OwnedRun, nowMs: number): boolean {
    const { longRunning, gang } = run.task.step.spec;
    return (
      run.phase === 'running' &&
      !longRunning &&
      !gang &&
      run.percent < FULL_PERCENT &&
      run.pace >= MIN_STALL_PACE_PERCENT &&
      nowMs - run.progressedMs >= STALL_MS &&
      run.reportedMs - run.progressedMs >= MIN_REPORTED_STALL_MS
    );
  }
}
