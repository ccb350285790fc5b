/**
 * Estimates how much room a share has for interrupted tasks once its short tasks have ended.
 */
import { minusSize, sumSizes } from '../../infrastructure/sizes.js';
import type { Size } from '../../infrastructure/worker.js';

import type { InterruptedRoom } from '../model/shareCapacity.js';
import { isStepReady, type OwnedJob, type OwnedRun, type OwnedTask } from '../model/ownedJob.js';
import { isInterrupted } from './interruptedTasks.js';

/** When a share can run an interrupted task, as far as its workers tell. */
export type RoomOutlook =
  /** Some worker that may run it has the room once its short runs have ended. */
  | 'soon'
  /** Some worker that may run it is large enough once long-running runs have ended. */
  | 'later'
  | 'never';

/** The part of a worker's agent that tells how much room its long-running runs leave. */
export interface LastingAgent {
  readonly description: {
    readonly service: string;
    readonly capacity: Size;
  };
  /** @returns the runs that take its resources */
  activeRuns(): readonly OwnedRun[];
}

/** What long-running tasks of a service have and need, in thousandths of a core. */
interface Demand {
  /** Total of the workers that accept work. */
  capacity: number;
  /** Capacity of each worker that accepts work, without what long-running runs hold. */
  readonly rooms: number[];
  /** Sizes of the long-running runs on these workers. */
  readonly held: number[];
  /** Sizes of the interrupted tasks, and of the runs on workers that accept no work. */
  readonly needed: number[];
}

const milliCoresOf = ({ step }: OwnedTask): number => step.spec.size.milliCores;

const sum = (values: readonly number[]): number => values.reduce((total, each) => total + each, 0);

const lastingSizes = (agent: LastingAgent): readonly Size[] =>
  agent
    .activeRuns()
    .filter(({ task: { step } }) => step.spec.longRunning && !step.spec.filler)
    .map(({ size }) => size);

/**
 * Returns the resources of a worker that its long-running runs leave.
 *
 * @param agent - the worker
 * @returns its capacity without what these hold
 */
export const roomBesideLastingRuns = (agent: LastingAgent): Size =>
  minusSize(agent.description.capacity, sumSizes(lastingSizes(agent)));

/** Counts room in tasks of the mean size: none fits into what is left of a worker. */
const roomLeft = ({ rooms, held, needed }: Demand): number => {
  const sizes = [...held, ...needed];
  const meanSize = Math.max(1, sum(sizes) / Math.max(1, sizes.length));
  return (
    sum(rooms.map((room) => Math.floor(Math.max(0, room) / meanSize) * meanSize)) - sum(needed)
  );
};

/** Lists the interrupted tasks of a job that wait to run again here. */
const interruptedTasksOf = ({ occurrences }: OwnedJob): readonly OwnedTask[] =>
  [...occurrences.values()]
    .flatMap(({ steps }) => steps)
    .filter((step) => step.spec.longRunning && isStepReady(step))
    .flatMap(({ tasks }) => tasks.filter(isInterrupted));

/**
 * Estimates how much room each service has for further interrupted tasks. Runs on workers that leave need room
 * as well.
 *
 * @param all - all workers of the share
 * @param usable - those that accept work
 * @param jobs - the open jobs of the share
 * @returns the room by service
 */
export const roomForInterrupted = (
  all: readonly LastingAgent[],
  usable: readonly LastingAgent[],
  jobs: readonly OwnedJob[],
): ReadonlyMap<string, InterruptedRoom> => {
  const demands = new Map<string, Demand>();
  const demandOf = (service: string): Demand => {
    const demand = demands.get(service) ?? { capacity: 0, rooms: [], held: [], needed: [] };
    demands.set(service, demand);
    return demand;
  };
  const accepting = new Set(usable);
  all.forEach((agent) => {
    const { service, capacity } = agent.description;
    const demand = demandOf(service);
    const { rooms, held, needed } = demand;
    const sizes = lastingSizes(agent).map(({ milliCores }) => milliCores);
    if (!accepting.has(agent)) {
      needed.push(...sizes);
      return;
    }
    demand.capacity += capacity.milliCores;
    rooms.push(capacity.milliCores - sum(sizes));
    held.push(...sizes);
  });
  jobs
    .filter(({ isFullyStarted, isOpen }) => isOpen && !isFullyStarted)
    .forEach((job) =>
      demandOf(job.queue.service).needed.push(...interruptedTasksOf(job).map(milliCoresOf)),
    );
  return new Map(
    [...demands].map(([service, demand]) => [
      service,
      { capacity: demand.capacity, free: roomLeft(demand) },
    ]),
  );
};
