/**
 * Slows fillers down where they would keep a serving task from its target.
 *
 * Answers the pattern of interference that differs by pair and shifts within seconds: the pairs that
 * disturb most are slowed first, as far as what was learned of them asks for. A target that is
 * missed all the same stops every filler on the worker until it is met again.
 */
import type { Clock } from '../../time/clock.js';

import { FULL_PERCENT, isFiller, isServing, type OwnedRun } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { WorkerFleet } from '../workers/workerFleet.js';
import type { Interference } from './interference.js';
import type { FillerUse } from './pairSlopes.js';

/** Tail over target that is aimed for: below 1, since loads shift between two looks. */
const AIM = 0.95;

/** Time over the target after which every filler beside it stands still, in milliseconds. */
const PATIENCE_MS = 900;

/** Paces are rounded to steps, in percent, so that small changes send no orders. */
const STEP_PERCENT = 20;

const useOf = ({ task }: OwnedRun, milliCores: number, percent = FULL_PERCENT): FillerUse => ({
  image: task.step.spec.image,
  share: ((percent / FULL_PERCENT) * task.step.spec.size.milliCores) / milliCores,
});

/**
 * Lists what the fillers of a worker would use at full pace.
 *
 * @param agent - the worker
 * @returns their uses
 */
export const fullUses = (agent: WorkerAgent): readonly FillerUse[] =>
  agent.fillerRuns().map((run) => useOf(run, agent.description.capacity.milliCores));

/** Adjusts paces after each look at a worker. */
export class FillerPacing {
  private readonly seenLooks = new WeakMap<WorkerAgent, number>();

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
      if (this.seenLooks.get(agent) === agent.looks) return;
      this.seenLooks.set(agent, agent.looks);
      this.adjustAgent(agent, nowMs);
    });
  }

  private adjustAgent(agent: WorkerAgent, nowMs: number): void {
    const runs = agent.activeRuns();
    const { milliCores } = agent.description.capacity;
    this.interference.learn(runs, milliCores, nowMs);
    const serving = runs.filter((run) => isServing(run) && run.percent === FULL_PERCENT);
    serving.forEach((run) => this.noteTarget(run, nowMs));
    const fillers = runs.filter((run) => isFiller(run) && run.phase === 'running');
    if (fillers.length === 0) return;
    const isHarmed = serving.some(
      ({ overTargetSinceMs }) =>
        overTargetSinceMs !== undefined && nowMs - overTargetSinceMs >= PATIENCE_MS,
    );
    const paces = isHarmed
      ? new Map(fillers.map((run) => [run, 0]))
      : this.paces(fillers, serving, milliCores, nowMs);
    paces.forEach((pace, run) => {
      if (run.pace === pace) return;
      agent.pace(run, pace);
    });
  }

  private noteTarget(run: OwnedRun, nowMs: number): void {
    const owned = run;
    if (run.gauge <= run.task.step.spec.targetMs) owned.overTargetSinceMs = undefined;
    else owned.overTargetSinceMs ??= nowMs;
  }

  private paces(
    fillers: readonly OwnedRun[],
    serving: readonly OwnedRun[],
    milliCores: number,
    nowMs: number,
  ): ReadonlyMap<OwnedRun, number> {
    const paces = new Map(fillers.map((run) => [run, FULL_PERCENT]));
    serving.forEach((run) => {
      const { image, targetMs } = run.task.step.spec;
      const uses = fillers.map((filler) => useOf(filler, milliCores, paces.get(filler) ?? 0));
      const inverse = this.interference.inverseTail(run, uses, nowMs);
      if (inverse === undefined) return;
      let excess = 1 / (AIM * targetMs) - inverse;
      const worstFirst = fillers
        .map((filler, at) => ({
          filler,
          loss: this.interference.loss(image, uses.slice(at, at + 1)),
        }))
        .sort((left, right) => right.loss - left.loss);
      worstFirst.forEach(({ filler, loss }) => {
        if (excess <= 0 || loss <= 0) return;
        const kept = Math.max(0, loss - excess) / loss;
        const pace = (paces.get(filler) ?? 0) * kept;
        paces.set(filler, Math.floor(pace / STEP_PERCENT) * STEP_PERCENT);
        excess -= loss * (1 - kept);
      });
    });
    return paces;
  }
}
