/**
 * Throttles fillers that would keep a serving task on the same worker from its latency target.
 *
 * Interference differs by pair of images and changes within seconds. The fillers with the highest
 * predicted impact are slowed first, and only as far as the prediction requires. If a target is
 * missed nevertheless, all fillers on the worker are stopped until the target is met again.
 */
import type { Clock } from '../../time/clock.js';

import { FULL_PERCENT, isFiller, hasLatencyTarget, type OwnedRun } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { WorkerFleet } from '../workers/workerFleet.js';
import type { Interference } from './interference.js';
import type { FillerUsage } from './pairSlopes.js';

/** Ratio of tail latency to target to aim for: below 1, as the load changes between two polls. */
const GOAL_TAIL_RATIO = 0.95;

/** Time over the target after which all fillers on the worker are stopped, in milliseconds. */
const OVER_TARGET_LIMIT_MS = 900;

/** Paces are rounded down to multiples of this, in percent, so that small changes send nothing. */
const PACE_STEP_PERCENT = 20;

const usageAt = ({ task }: OwnedRun, milliCores: number, percent = FULL_PERCENT): FillerUsage => ({
  image: task.step.spec.image,
  workerFraction: ((percent / FULL_PERCENT) * task.step.spec.size.milliCores) / milliCores,
});

/**
 * Lists the processor usage of a worker's fillers if all of them ran at full pace.
 *
 * @param agent - the worker
 * @returns one usage per filler run
 */
export const usagesAtFullPace = (agent: WorkerAgent): readonly FillerUsage[] =>
  agent.fillerRuns().map((run) => usageAt(run, agent.description.capacity.milliCores));

/** Adjusts the pace of fillers whenever new measurements of their worker have arrived. */
export class FillerPacing {
  private readonly adjustedLooks = new WeakMap<WorkerAgent, number>();

  /**
   * @param fleet - the workers
   * @param interference - learned interference between fillers and serving tasks
   * @param clock - source of monotonic time
   */
  constructor(
    private readonly fleet: WorkerFleet,
    private readonly interference: Interference,
    private readonly clock: Clock,
  ) {}

  /** Adjusts the paces on every worker that was polled since the last call. */
  adjust(): void {
    const nowMs = this.clock.monotonicMs();
    this.fleet.all().forEach((agent) => {
      // Workers taken over from a former owner may answer before the directory has their capacity.
      if (agent.description.capacity.milliCores === 0) return;
      if (this.adjustedLooks.get(agent) === agent.pollCount) return;
      this.adjustedLooks.set(agent, agent.pollCount);
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
