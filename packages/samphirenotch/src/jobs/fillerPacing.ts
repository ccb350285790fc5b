/**
 * Slows fillers down where they keep a serving task from its target.
 *
 * Answers the pattern of interference that differs by pair and shifts within seconds: nothing is
 * assumed of pairs, the measured tail decides. Fast down, slow up.
 */
import type { OwnedRun } from './ownedJob.js';
import type { WorkerAgent } from './workerAgent.js';
import type { WorkerFleet } from './workerFleet.js';

/** Tail over target above which fillers are slowed down hard. */
const OVER = 1;

/** Tail over target above which fillers are slowed down a little, before the target is missed. */
const NEAR = 0.85;

/** Tail over target below which fillers get more. */
const BELOW = 0.6;

/** Factor of the pace when a target is missed. */
const HARD_FACTOR = 0.3;

/** Factor of the pace when a target is near. */
const SOFT_FACTOR = 0.7;

/** What the pace gains at each step, in percent. */
const RISE_PERCENT = 20;

/** Pace below which fillers stand still, in percent. */
const LEAST_PERCENT = 8;

const FULL_PERCENT = 100;

const isServing = ({ task, phase }: OwnedRun): boolean =>
  task.step.spec.targetMs > 0 && phase === 'running';

const isFilling = ({ task, phase }: OwnedRun): boolean =>
  task.step.spec.filler && phase === 'running';

/** Adjusts paces after each look at a worker. */
export class FillerPacing {
  private readonly seenLooks = new WeakMap<WorkerAgent, number>();

  private readonly paces = new WeakMap<WorkerAgent, number>();

  /**
   * @param fleet - the workers
   */
  constructor(private readonly fleet: WorkerFleet) {}

  /** Adjusts every worker that was looked at since the last time. */
  adjust(): void {
    this.fleet.all().forEach((agent) => this.adjustAgent(agent));
  }

  private adjustAgent(agent: WorkerAgent): void {
    if (this.seenLooks.get(agent) === agent.looks) return;
    this.seenLooks.set(agent, agent.looks);
    const fillers = agent.activeRuns().filter(isFilling);
    if (fillers.length === 0) return;
    const before = this.paces.get(agent) ?? FULL_PERCENT;
    const pace = this.nextPace(agent, before);
    this.paces.set(agent, pace);
    fillers.filter((run) => run.pace !== pace).forEach((run) => agent.pace(run, pace));
  }

  private nextPace(agent: WorkerAgent, before: number): number {
    const ratios = agent
      .activeRuns()
      .filter(isServing)
      .map(({ gauge, task }) => gauge / task.step.spec.targetMs);
    const worst = Math.max(0, ...ratios);
    if (worst > OVER) return this.atLeast(before * HARD_FACTOR);
    if (worst > NEAR) return this.atLeast(before * SOFT_FACTOR);
    if (worst < BELOW) return Math.min(FULL_PERCENT, before + RISE_PERCENT);
    return before;
  }

  private atLeast(pace: number): number {
    return pace < LEAST_PERCENT ? 0 : Math.round(pace);
  }
}
