/**
 * Chooses the worker that an attempt of a task is placed on.
 */
import type { Size } from '../infrastructure/worker.js';

/** A worker as placement sees it. */
export interface PlacementCandidate {
  readonly workerId: string;
  readonly rack: string;
  readonly capacity: Size;
  /** What the ledger has not given out. */
  readonly free: Size;
  /** Classes of what runs there, tasks and requests. */
  readonly neighbours: readonly string[];
  readonly busySlots: number;
}

/** A task to be placed. */
export interface PlacementTask {
  readonly taskClass: string;
  /** Size that the ledger will count. */
  readonly size: Size;
  /** Racks that run tasks of the same class, with their numbers. */
  readonly classTasksPerRack: ReadonlyMap<string, number>;
}

/** A policy for placement. */
export interface PlacementPolicy {
  /** Chooses among candidates that all have room. */
  choose(
    task: PlacementTask,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined;
}

/** A queued task, for the order in which tasks are placed. */
export interface QueuedTask {
  readonly jobId: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly tenantWeight: number;
  readonly priority: number;
  readonly enqueuedAtMs: number;
  readonly size: Size;
}

/** A policy for the order of queued tasks. */
export interface QueueOrder {
  /** Sorts by who goes first. */
  order(tasks: readonly QueuedTask[], nowMs: number): readonly QueuedTask[];
}
