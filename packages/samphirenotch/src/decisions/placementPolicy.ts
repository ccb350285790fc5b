/**
 * Placement of tasks: which worker an attempt is placed on, and in which order tasks are placed.
 */
import type { Size } from '../infrastructure/worker.js';

/** A worker that a task may be placed on. */
export interface PlacementCandidate {
  readonly workerId: string;
  readonly rack: string;
  /** Total capacity of the worker. */
  readonly capacity: Size;
  /** Capacity that the ledger has not reserved. */
  readonly free: Size;
  /** Classes of the tasks and requests that run on the worker. */
  readonly neighbours: readonly string[];
  /** Number of slots that serve a request. */
  readonly busySlots: number;
}

/** A task to place. */
export interface PlacementTask {
  readonly taskClass: string;
  /** Size that the ledger will reserve. */
  readonly size: Size;
  /** Number of running tasks of the same class, by rack. */
  readonly classTasksPerRack: ReadonlyMap<string, number>;
}

/** A policy that places tasks on workers. */
export interface PlacementPolicy {
  /**
   * Chooses among candidates that all have enough free capacity; `undefined` without candidates.
   */
  choose(
    task: PlacementTask,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined;
}

/** A queued task, with the properties that determine the order of placement. */
export interface QueuedTask {
  readonly jobId: string;
  readonly taskClass: string;
  readonly tenant: string;
  /** Weight of the tenant relative to other tenants. */
  readonly tenantWeight: number;
  /** Higher is more urgent. */
  readonly priority: number;
  readonly enqueuedAtMs: number;
  readonly size: Size;
}

/** A policy for the order in which queued tasks are placed. */
export interface QueueOrder {
  /** Returns the tasks in the order in which they are placed. */
  order(tasks: readonly QueuedTask[], nowMs: number): readonly QueuedTask[];
}
