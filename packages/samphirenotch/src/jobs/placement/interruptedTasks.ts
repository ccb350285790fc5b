/**
 * Finds long-running tasks that were interrupted and have waited for too long since.
 *
 * Under sustained overload, tasks that can be in time take all room that becomes free. A long-running
 * task that was interrupted would then wait for as long as the overload lasts.
 */
import { isTaskWaiting, type OwnedStep, type OwnedTask } from '../model/ownedJob.js';

/**
 * Time for which other tasks go before an interrupted one, in milliseconds. Callers are promised that
 * it runs again within 6 s if there is room, and it may have to wait for room afterwards.
 */
const OVERDUE_AFTER_MS = 2_000;

const isOverdueTask = (task: OwnedTask, nowMs: number): boolean =>
  task.interruptedMs !== undefined &&
  nowMs - task.interruptedMs >= OVERDUE_AFTER_MS &&
  isTaskWaiting(task);

/**
 * Checks whether a long-running step has an interrupted task that has waited for too long.
 *
 * @param step - the step
 * @param nowMs - monotonic time in milliseconds
 * @returns true if such a task waits; never for other steps
 */
export const isOverdue = ({ spec, tasks }: OwnedStep, nowMs: number): boolean =>
  spec.longRunning && tasks.some((task) => isOverdueTask(task, nowMs));

/**
 * Lists the interrupted tasks of a step that have waited for too long.
 *
 * @param step - the step
 * @param nowMs - monotonic time in milliseconds
 * @returns the tasks; none unless the step is long-running
 */
export const overdueTasks = ({ spec, tasks }: OwnedStep, nowMs: number): readonly OwnedTask[] =>
  spec.longRunning ? tasks.filter((task) => isOverdueTask(task, nowMs)) : [];
