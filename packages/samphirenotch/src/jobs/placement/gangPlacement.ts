/**
 * Finds workers for all members of a gang, or none.
 *
 * Members have one size, so a worker takes as many as its free resources are a multiple of it: the work grows with the
 * workers and the members, not with their product.
 */
import { isSuspect, reservedSizeOf, type OwnedTask } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { PlacementInput, TaskPlacement } from './taskPlacement.js';

/** A task and the worker on which it is to start. */
export interface PlannedStart {
  readonly task: OwnedTask;
  readonly agent: WorkerAgent;
}

/** Collaborators of a `GangPlacement`. */
export interface GangPlacementOptions {
  readonly placement: TaskPlacement;
  /** Chooses a worker for a task that is suspected of crashing workers. */
  readonly chooseForSuspect: (input: PlacementInput) => WorkerAgent | undefined;
}

/** Number of further members that each worker takes. */
type RoomByWorker = Map<WorkerAgent, number>;

/** Returns a key shared by members that are placed alike: by what has failed before. */
const historyOf = (task: OwnedTask): string =>
  [isSuspect(task), ...task.failedWorkerIds, '/', ...task.crashedAddresses].join(' ');

const groupByHistory = (members: readonly OwnedTask[]): readonly (readonly OwnedTask[])[] => {
  const groups = new Map<string, OwnedTask[]>();
  members.forEach((task) => {
    const history = historyOf(task);
    const group = groups.get(history);
    if (group) group.push(task);
    else groups.set(history, [task]);
  });
  return [...groups.values()];
};

/** Places gangs. */
export class GangPlacement {
  /**
   * @param options - choice of single workers
   */
  constructor(private readonly options: GangPlacementOptions) {}

  /**
   * Places the members of a gang: on the best worker as many as fit, the others on the next best ones.
   *
   * @param members - the members that are not done, of one step
   * @param workers - workers that accept them
   * @returns a start for each member; undefined if there is no room for all
   */
  place(
    members: readonly OwnedTask[],
    workers: readonly WorkerAgent[],
  ): readonly PlannedStart[] | undefined {
    const [first] = members;
    if (!first) return undefined;
    const room = this.roomFor(first, workers);
    const total = [...room.values()].reduce((sum, count) => sum + count, 0);
    if (total < members.length) return undefined;
    const starts: PlannedStart[] = [];
    const arePlaced = groupByHistory(members).every((group) =>
      this.placeAlike(group, room, starts),
    );
    return arePlaced ? starts : undefined;
  }

  private roomFor(task: OwnedTask, workers: readonly WorkerAgent[]): RoomByWorker {
    const { perWorkerLimit } = task.step.spec;
    const limit = perWorkerLimit > 0 ? perWorkerLimit : Number.POSITIVE_INFINITY;
    const size = reservedSizeOf(task);
    const room: RoomByWorker = new Map();
    workers.forEach((agent) => {
      if (!this.options.placement.permits(agent, task)) return;
      const count = Math.min(limit, agent.countFitting(size));
      if (count > 0) room.set(agent, count);
    });
    return room;
  }

  /** Returns false if there is no room for all. */
  private placeAlike(
    members: readonly OwnedTask[],
    room: RoomByWorker,
    starts: PlannedStart[],
  ): boolean {
    const [first] = members;
    if (!first) return true;
    let placed = 0;
    for (const agent of this.inOrder(first, room)) {
      const count = Math.min(room.get(agent) ?? 0, members.length - placed);
      members.slice(placed, placed + count).forEach((task) => starts.push({ task, agent }));
      placed += count;
      room.set(agent, (room.get(agent) ?? 0) - count);
      if (placed === members.length) return true;
    }
    return false;
  }

  /** Lists the workers with room, the best first. */
  private *inOrder(task: OwnedTask, room: RoomByWorker): Iterable<WorkerAgent> {
    const { placement, chooseForSuspect } = this.options;
    const size = reservedSizeOf(task);
    const withRoom = (): readonly WorkerAgent[] =>
      [...room].filter(([, count]) => count > 0).map(([agent]) => agent);
    if (!isSuspect(task)) {
      yield* placement.rank({ task, size, workers: withRoom() });
      return;
    }
    // Which worker is best for a trial depends on those that are left. The caller uses each one up.
    for (let workers = withRoom(); workers.length > 0; workers = withRoom()) {
      const agent = chooseForSuspect({ task, size, workers });
      if (!agent) return;
      yield agent;
    }
  }
}
