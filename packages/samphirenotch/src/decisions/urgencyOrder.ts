/**
 * Orders tasks by priority, which rises while they wait, and shares each priority among tenants.
 */
import type { QueuedTask, QueueOrder } from './placementPolicy.js';

/** Settings of the order. */
export interface UrgencyOrderSettings {
  /** Waiting time that is worth one step of priority, in milliseconds. */
  readonly agingMs: number;
}

/** Settings that the entry uses unless told otherwise. */
export const URGENCY_ORDER_DEFAULTS: UrgencyOrderSettings = { agingMs: 600_000 };

interface RankedTask {
  readonly task: QueuedTask;
  readonly level: number;
  /** Place among the tasks of its tenant, relative to the tenant's weight. */
  readonly turn: number;
}

const compare = (left: RankedTask, right: RankedTask): number =>
  right.level - left.level ||
  left.turn - right.turn ||
  left.task.enqueuedAtMs - right.task.enqueuedAtMs;

/** Orders by urgency. */
export class UrgencyOrder implements QueueOrder {
  private readonly settings: UrgencyOrderSettings;

  /**
   * @param settings - how fast tasks age
   */
  constructor(settings: UrgencyOrderSettings = URGENCY_ORDER_DEFAULTS) {
    this.settings = settings;
  }

  /**
   * Sorts by who goes first.
   *
   * @param tasks - queued tasks
   * @param nowMs - time, in milliseconds
   * @returns the tasks, most urgent first
   */
  order(tasks: readonly QueuedTask[], nowMs: number): readonly QueuedTask[] {
    const byArrival = [...tasks].sort((left, right) => left.enqueuedAtMs - right.enqueuedAtMs);
    const turns = new Map<string, number>();
    const ranked = byArrival.map((task) => this.rank(task, turns, nowMs));
    return ranked.sort(compare).map(({ task }) => task);
  }

  private rank(task: QueuedTask, turns: Map<string, number>, nowMs: number): RankedTask {
    const waitedMs = Math.max(0, nowMs - task.enqueuedAtMs);
    const level = task.priority + Math.floor(waitedMs / this.settings.agingMs);
    const place = `${level} ${task.tenant}`;
    const turn = (turns.get(place) ?? 0) + 1 / task.tenantWeight;
    turns.set(place, turn);
    return { task, level, turn };
  }
}
