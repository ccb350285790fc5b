/**
 * Chooses a worker for a task.
 *
 * Answers the pattern of mixed work on shared machines: serving tasks and fillers are kept apart
 * where there is a choice, data is near, the rest goes where most is free, so that the loss of a
 * worker costs least and bursts find room everywhere.
 */
import type { Size } from '../infrastructure/worker.js';

import type { OwnedTask } from './ownedJob.js';
import type { WorkerAgent } from './workerAgent.js';

/** What a placement may use. */
export interface PlacementInput {
  readonly task: OwnedTask;
  /** Room that the task takes. */
  readonly size: Size;
  readonly workers: readonly WorkerAgent[];
}

/** Chooses workers. */
export interface TaskPlacement {
  /**
   * @param input - task and workers that may run it
   * @returns the worker, or undefined if none has room
   */
  choose(input: PlacementInput): WorkerAgent | undefined;
}

/** Weight of a worker off the rack of the task's data; above every other reason. */
const REMOTE_WEIGHT = 4;

/** Weight of a worker on which the task has failed before. */
const FAILED_WEIGHT = 3;

/** Weight of a worker that is still slow after its start. */
const COLD_WEIGHT = 2;

/** Weight of each filler beside a serving task, and of each serving task beside a filler. */
const DISTURBANCE_WEIGHT = 0.4;

const countServing = (agent: WorkerAgent): number =>
  agent.activeRuns().filter(({ task }) => task.step.spec.targetMs > 0).length;

const countFillers = (agent: WorkerAgent): number =>
  agent.activeRuns().filter(({ task }) => task.step.spec.filler).length;

const fillerMilliCores = (agent: WorkerAgent): number =>
  agent
    .activeRuns()
    .filter(({ task }) => task.step.spec.filler)
    .reduce((sum, { task }) => sum + task.step.spec.size.milliCores, 0);

const countOfStep = (agent: WorkerAgent, task: OwnedTask): number =>
  agent.activeRuns().filter((run) => run.task.step === task.step).length;

/** Spreads by free room, away from disturbance. */
export class SpreadPlacement implements TaskPlacement {
  choose({ task, size, workers }: PlacementInput): WorkerAgent | undefined {
    let best: WorkerAgent | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    workers.forEach((agent) => {
      if (!agent.fits(size) || !this.isAllowed(agent, task)) return;
      const cost = this.cost(agent, task);
      if (cost >= bestCost) return;
      best = agent;
      bestCost = cost;
    });
    return best;
  }

  private isAllowed(agent: WorkerAgent, task: OwnedTask): boolean {
    const { requiredLabel, perWorkerLimit } = task.step.spec;
    if (requiredLabel !== '' && !agent.description.labels.includes(requiredLabel)) return false;
    return perWorkerLimit === 0 || countOfStep(agent, task) < perWorkerLimit;
  }

  private cost(agent: WorkerAgent, task: OwnedTask): number {
    const { spec } = task.step;
    const { capacity, labels, coldMs } = agent.description;
    const free = agent.free();
    const fillers = spec.filler ? fillerMilliCores(agent) : 0;
    let cost = 1 - (free.milliCores - fillers) / Math.max(1, capacity.milliCores);
    if (spec.dataRack !== '' && !labels.includes(spec.dataRack)) cost += REMOTE_WEIGHT;
    if (task.failedOn.has(agent.id)) cost += FAILED_WEIGHT;
    if (coldMs > 0) cost += COLD_WEIGHT;
    if (spec.filler) cost += DISTURBANCE_WEIGHT * countServing(agent);
    if (spec.targetMs > 0) cost += DISTURBANCE_WEIGHT * countFillers(agent);
    return cost;
  }
}
