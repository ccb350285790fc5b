/**
 * Orders tasks by priority with aging, and by weighted fairness among tenants within a priority.
 */
import type { QueuedTask, QueueOrder } from './placementPolicy.js';

/** Settings of the urgency order. */
export interface UrgencyOrderSettings {
  /** Waiting time that raises the priority of a task by one, in milliseconds. */
  readonly agingStepMs: number;
}

/** Default settings, which an entry uses. */
export const URGENCY_ORDER_DEFAULTS: UrgencyOrderSettings = { agingStepMs: 600_000 };

interface RankedTask {
  readonly task: QueuedTask;
  /** Priority raised by aging. */
  readonly effectivePriority: number;
  /** Position among the tasks of its tenant, divided by the tenant's weight. */
  readonly fairPosition: number;
}

const compare = (left: RankedTask, right: RankedTask): number =>
  right.effectivePriority - left.effectivePriority ||
  left.fairPosition - right.fairPosition ||
  left.task.enqueuedAtMs - right.task.enqueuedAtMs;

/** Orders queued tasks by urgency. */
export class UrgencyOrder implements QueueOrder {
  private readonly settings: UrgencyOrderSettings;

  /**
   * @param settings - speed of aging
   */
  constructor(settings: UrgencyOrderSettings = URGENCY_ORDER_DEFAULTS) {
    this.settings = settings;
  }

  /**
   * Sorts tasks in the order in which they are placed.
   *
   * @param tasks - queued tasks
   * @param nowMs - current time, in milliseconds
   * @returns the tasks, most urgent first
   */
  order(tasks: readonly QueuedTask[], nowMs: number): readonly QueuedTask[] {
    const byArrival = [...tasks].sort((left, right) => left.enqueuedAtMs - right.enqueuedAtMs);
    const fairPositions = new Map<string, number>();
    const ranked = byArrival.map((task) => this.rank(task, fairPositions, nowMs));
    return ranked.sort(compare).map(({ task }) => task);
  }

  private rank(task: QueuedTask, fairPositions: Map<string, number>, nowMs: number): RankedTask {
    const waitedMs = Math.max(0, nowMs - task.enqueuedAtMs);
    const effectivePriority = task.priority + Math.floor(waitedMs / this.settings.agingStepMs);
    const priorityAndTenant = `${effectivePriority} ${task.tenant}`;
    const fairPosition = (fairPositions.get(priorityAndTenant) ?? 0) + 1 / task.tenantWeight;
    fairPositions.set(priorityAndTenant, fairPosition);
    return { task, effectivePriority, fairPosition };
  }
}
