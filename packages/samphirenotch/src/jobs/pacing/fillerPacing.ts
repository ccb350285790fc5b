/**
 * Slows fillers down where they would keep a serving task from its target.
 *
 * Answers the pattern of interference that differs by pair and shifts within seconds: the pairs that
 * disturb most are slowed first, as far as what was learned of them asks for. A target that is
 * missed all the same stops every filler on the worker until it is met again.
 */
import type { Clock } from '../../time/clock.js';

import { FULL_PERCENT, isFiller, hasLatencyTarget, type OwnedRun } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { WorkerFleet } from '../workers/workerFleet.js';
import type { Interference } from './interference.js';
import type { FillerUsage } from './pairSlopes.js';

/** Tail over target that is aimed for: below 1, since loads shift between two looks. */
const GOAL_TAIL_RATIO = 0.95;

/** Time over the target after which every filler beside it stands still, in milliseconds. */
const OVER_TARGET_LIMIT_MS = 900;

/** Paces are rounded to steps, in percent, so that small changes send no orders. */
const PACE_STEP_PERCENT = 20;

const usageAt = ({ task }: OwnedRun, milliCores: number, percent = FULL_PERCENT): FillerUsage => ({
  image: task.step.spec.image,
  workerFraction: ((percent / FULL_PERCENT) * task.step.spec.size.milliCores) / milliCores,
});

/**
 * Lists what the fillers of a worker would use at full pace.
 *
 * @param agent - the worker
 * @returns their uses
 */
export const usagesAtFullPace = (agent: WorkerAgent): readonly FillerUsage[] =>
  agent.fillerRuns().map((run) => usageAt(run, agent.description.capacity.milliCores));

/** Adjusts paces after each look at a worker. */
export class FillerPacing {
  private readonly adjustedLooks = new WeakMap<WorkerAgent, number>();

  /**
   * @param fleet - the workers
   * @param interference - what was learned of pairs
   * @param clock - time
   */
  constructor(
    private readonly fleet: WorkerFleet,
    private readonly interference: Interference,
    private readonly clock: Clock,
  ) {}

  /** Adjusts every worker that was looked at since the last time. */
  adjust(): void {
    const nowMs = this.clock.monotonicMs();
    this.fleet.all().forEach((agent) => {
      // Workers of a former owner answer before the directory tells their size.
      if (agent.description.capacity.milliCores === 0) return;
      if (this.adjustedLooks.get(agent) === agent.looks) return;
      this.adjustedLooks.set(agent, agent.looks);
      this.adjustAgent(agent, nowMs);
    });
  }

  private adjustAgent(agent: WorkerAgent, nowMs: number): void {
    const runs = agent.activeRuns();
    const { milliCores } = agent.description.capacity;
    this.interference.learn(runs, milliCores, nowMs);
    const serving = runs.filter((run) => hasLatencyTarget(run) && run.percent === FULL_PERCENT);
    serving.forEach((run) => this.updateOverTargetTime(run, nowMs));
    const fillers = runs.filter((run) => isFiller(run) && run.phase === 'running');
    if (fillers.length === 0) return;
    const isOverTarget = serving.some(
      ({ overTargetSinceMs }) =>
        overTargetSinceMs !== undefined && nowMs - overTargetSinceMs >= OVER_TARGET_LIMIT_MS,
    );
    const paces = isOverTarget
      ? new Map(fillers.map((run) => [run, 0]))
      : this.computePaces(fillers, serving, milliCores, nowMs);
    paces.forEach((pace, run) => {
      if (run.pace === pace) return;
      agent.pace(run, pace);
    });
  }

  private updateOverTargetTime(run: OwnedRun, nowMs: number): void {
    const owned = run;
    if (run.gauge <= run.task.step.spec.targetMs) owned.overTargetSinceMs = undefined;
    else owned.overTargetSinceMs ??= nowMs;
  }

  private computePaces(
    fillers: readonly OwnedRun[],
    serving: readonly OwnedRun[],
    milliCores: number,
    nowMs: number,
  ): ReadonlyMap<OwnedRun, number> {
    const paces = new Map(fillers.map((run) => [run, FULL_PERCENT]));
    serving.forEach((run) => {
      const { image, targetMs } = run.task.step.spec;
      const usages = fillers.map((filler) => usageAt(filler, milliCores, paces.get(filler) ?? 0));
      const predictedInverse = this.interference.predictInverseTail(run, usages, nowMs);
      if (predictedInverse === undefined) return;
      let excess = 1 / (GOAL_TAIL_RATIO * targetMs) - predictedInverse;
      const worstFirst = fillers
        .map((filler, at) => ({
          filler,
          loss: this.interference.predictLoss(image, usages.slice(at, at + 1)),
        }))
        .sort((left, right) => right.loss - left.loss);
      worstFirst.forEach(({ filler, loss }) => {
        if (excess <= 0 || loss <= 0) return;
        const keptFraction = Math.max(0, loss - excess) / loss;
        const pace = (paces.get(filler) ?? 0) * keptFraction;
        paces.set(filler, Math.floor(pace / PACE_STEP_PERCENT) * PACE_STEP_PERCENT);
        excess -= loss * (1 - keptFraction);
      });
    });
    return paces;
  }
}
