/**
 * Makes room for urgent tasks by stopping less urgent runs.
 *
 * If all workers are full, as few runs as possible are stopped. They must have checkpoints and
 * belong to a queue of lower priority, and resume from their checkpoint elsewhere or later. Gangs
 * and long-running tasks are never stopped.
 */
import { fitsIn, plusSize } from '../../infrastructure/sizes.js';
import type { Size } from '../../infrastructure/worker.js';
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedRun, OwnedTask } from '../model/ownedJob.js';
import { isStopOverdue, remainingRunMs } from '../workers/runSupervisor.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { PlacementInput } from './taskPlacement.js';

/**
 * Remaining time from which a run is worth stopping, in milliseconds; a stop and a restart take
 * about as long.
 */
const MINIMUM_REMAINING_MS = 1_000;

const priorityOf = ({ step }: OwnedTask): number => step.occurrence.job.queue.priority;

/**
 * Returns a key shared by tasks that have the same candidate workers and preemptible runs, unless they are
 * restricted further.
 */
const cacheKeyOf = ({ step }: OwnedTask): string => {
  const { queue } = step.occurrence.job;
  return `${queue.priority} ${queue.service} ${step.spec.requiredLabel}`;
};

/** The task is offered only the workers for which it has tickets. */
const hasPolicy = ({ step }: OwnedTask): boolean => step.occurrence.job.queue.policy !== undefined;

/** Not all candidate workers may run a task whose step has a limit per worker or a policy. */
const isRestricted = (task: OwnedTask): boolean =>
  task.step.spec.perWorkerLimit > 0 || hasPolicy(task);

/** Stops runs to free resources for more urgent tasks. */
export class Preemption {
  private readonly log = partLog('preemption');

  /** Sizes, by cache key, for which no stops can free enough; cleared when a run is stopped. */
  private readonly impossibleSizes = new Map<string, Size[]>();

  /** The last worker found, by cache key, where enough was about to become free; checked first. */
  private readonly pendingWorkers = new Map<string, WorkerAgent>();

  /** Most room that stops for tasks of a priority can leave on a worker in this pass. */
  private readonly reachableRooms = new Map<number, Map<WorkerAgent, Size>>();

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /** Discards the cached results at the start of a pass. */
  beginPass(): void {
    this.impossibleSizes.clear();
    this.pendingWorkers.clear();
    this.reachableRooms.clear();
  }

  /**
   * Stops runs for a task that no worker has room for, unless enough is about to become free.
   *
   * @param input - the task and the candidate workers
   * @param permits - returns true if a worker may run the task
   */
  makeRoom(
    { task, size, workers }: PlacementInput,
    permits: (agent: WorkerAgent) => boolean,
  ): void {
    const cacheKey = cacheKeyOf(task);
    // Starts do not increase what stops could free, so the result stays valid until the next stop.
    if (this.impossibleSizes.get(cacheKey)?.some((each) => fitsIn(each, size))) return;
    const isShared = !isRestricted(task);
    const willHaveRoom = (agent: WorkerAgent): boolean =>
      fitsIn(size, this.roomAfterStops(agent)) && permits(agent);
    const known = isShared ? this.pendingWorkers.get(cacheKey) : undefined;
    if (known && willHaveRoom(known)) return;
    const reachable = workers.filter((each) =>
      fitsIn(size, this.reachableRoom(each, priorityOf(task))),
    );
    const pendingWorker = reachable.find(willHaveRoom);
    if (pendingWorker && isShared) this.pendingWorkers.set(cacheKey, pendingWorker);
    if (pendingWorker) return;
    const stoppable = reachable.filter((each) => permits(each) && this.endsRunsInTime(each));
    const agent = this.fewestVictims(stoppable, size, priorityOf(task));
    if (agent) this.stopVictims(agent, task, size);
    else if (isShared || (reachable.length === 0 && !hasPolicy(task)))
      this.noteImpossible(cacheKey, size);
  }

  private noteImpossible(cacheKey: string, size: Size): void {
    const sizes = this.impossibleSizes.get(cacheKey) ?? [];
    sizes.push(size);
    this.impossibleSizes.set(cacheKey, sizes);
  }

  private stopVictims(agent: WorkerAgent, task: OwnedTask, size: Size): void {
    const victims = this.victims(agent, size, priorityOf(task));
    this.impossibleSizes.clear();
    this.reachableRooms.forEach((rooms) => rooms.delete(agent));
    this.log.info('Stopping runs to make room for a more urgent task', {
      taskId: task.id,
      worker: agent.id,
      stopped: victims.map((run) => run.task.id).join(' '),
    });
    victims.forEach((run) => agent.stop(run, 'a more urgent task needs its room'));
  }

  /** Finds the worker on which the fewest runs would have to stop; the first of several. */
  private fewestVictims(
    workers: readonly WorkerAgent[],
    size: Size,
    priority: number,
  ): WorkerAgent | undefined {
    let fewest: WorkerAgent | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const agent of workers) {
      const count = this.victims(agent, size, priority).length;
      if (count > 0 && count < least) {
        fewest = agent;
        least = count;
      }
      if (least === 1) break;
    }
    return fewest;
  }

  /**
   * Returns the room that would be left if all runs were stopped that may be. Kept until the next stop on
   * the worker, since starts and time only reduce it.
   */
  private reachableRoom(agent: WorkerAgent, priority: number): Size {
    const rooms = this.reachableRooms.get(priority) ?? new Map<WorkerAgent, Size>();
    this.reachableRooms.set(priority, rooms);
    const known = rooms.get(agent);
    if (known) return known;
    const nowMs = this.clock.monotonicMs();
    const room = agent
      .activeRuns()
      .filter((run) => Preemption.isPreemptible(run, priority, nowMs))
      .reduce((sum, run) => plusSize(sum, run.size), this.roomAfterStops(agent));
    rooms.set(agent, room);
    return room;
  }

  /** Returns the free resources including those of runs that are being stopped, unless they are overdue. */
  private roomAfterStops(agent: WorkerAgent): Size {
    const nowMs = this.clock.monotonicMs();
    let room = agent.free();
    for (const run of agent.activeRuns()) {
      if (run.phase === 'stopping' && !isStopOverdue(run, nowMs)) room = plusSize(room, run.size);
    }
    return room;
  }

  /** A worker that has not ended a stopped run in time is not given another stop. */
  private endsRunsInTime(agent: WorkerAgent): boolean {
    const nowMs = this.clock.monotonicMs();
    return !agent.activeRuns().some((run) => isStopOverdue(run, nowMs));
  }

  /** Returns the runs to stop on a worker; none if stopping runs would not free enough. */
  private victims(agent: WorkerAgent, size: Size, priority: number): readonly OwnedRun[] {
    const nowMs = this.clock.monotonicMs();
    let room = this.roomAfterStops(agent);
    // Most runs are fillers, and stopping one frees no processors.
    const lacksOnlyProcessors = fitsIn({ ...size, milliCores: 0 }, { ...room, milliCores: 0 });
    const candidates = agent
      .activeRuns()
      .filter(
        (run) =>
          (run.size.milliCores > 0 || !lacksOnlyProcessors) &&
          Preemption.isPreemptible(run, priority, nowMs),
      )
      .sort((left, right) => right.size.milliCores - left.size.milliCores);
    if (candidates.length === 0) return [];
    const victims: OwnedRun[] = [];
    for (const run of candidates) {
      if (fitsIn(size, room)) break;
      victims.push(run);
      room = plusSize(room, run.size);
    }
    return fitsIn(size, room) ? victims : [];
  }

  private static isPreemptible(run: OwnedRun, priority: number, nowMs: number): boolean {
    const { checkpointing, gang, longRunning } = run.task.step.spec;
    if (run.phase !== 'running' || !checkpointing || gang || longRunning) return false;
    return priorityOf(run.task) > priority && remainingRunMs(run, nowMs) >= MINIMUM_REMAINING_MS;
  }
}
