/**
 * Finds long-running tasks that were interrupted and have waited for too long since.
 *
 * Under sustained overload, tasks that can be in time take all room that becomes free. A long-running
 * task that was interrupted would then wait for as long as the overload lasts.
 */
import { isSuspect, isTaskWaiting, type OwnedStep, type OwnedTask } from '../model/ownedJob.js';

/**
 * Time for which other tasks go before an interrupted one, in milliseconds. Callers are promised that
 * it runs again within 6 s if there is room, and room has to be made on a worker first.
 */
const OVERDUE_AFTER_MS = 2_000;

/**
 * Time after which an interrupted task goes before all others, in milliseconds. The few workers that are
 * reserved from `OVERDUE_AFTER_MS` on have not been enough by then, and half of the promised time is left.
 */
const OWED_AFTER_MS = 3_000;

const waitsFor = (task: OwnedTask, durationMs: number, nowMs: number): boolean =>
  task.interruptedMs !== undefined &&
  nowMs - task.interruptedMs >= durationMs &&
  isTaskWaiting(task);

/**
 * Checks whether a task is owed room, sooner or later, because it was interrupted.
 *
 * @param task - the task
 * @returns true if it is long-running, waits here, and is known to have run; false for fillers, gangs and tasks that
 *   are suspected of crashing workers
 */
export const isInterrupted = (task: OwnedTask): boolean => {
  const { longRunning, filler, gang } = task.step.spec;
  if (!longRunning || filler || gang || !task.hasRun || task.interruptedMs === undefined)
    return false;
  return isTaskWaiting(task) && !isSuspect(task);
};

/**
 * Lists the interrupted tasks of a step that have waited for too long.
 *
 * @param step - the step
 * @param nowMs - monotonic time in milliseconds
 * @returns the tasks; none unless the step is long-running
 */
export const overdueTasks = ({ spec, tasks }: OwnedStep, nowMs: number): readonly OwnedTask[] =>
  spec.longRunning ? tasks.filter((task) => waitsFor(task, OVERDUE_AFTER_MS, nowMs)) : [];

/**
 * Checks whether an interrupted task has waited for so long that it goes before all others.
 *
 * @param task - a long-running task
 * @param nowMs - monotonic time in milliseconds
 * @returns true if it waits and is owed the next room that fits it; false for a filler, and unless it
 *   is known to have run
 */
export const isOwedRoom = (task: OwnedTask, nowMs: number): boolean =>
  !task.step.spec.filler && task.hasRun && waitsFor(task, OWED_AFTER_MS, nowMs);

/**
 * Sorts interrupted tasks.
 *
 * @param tasks - the tasks
 * @returns the tasks, the one that was interrupted first before the others
 */
export const byInterruption = (tasks: readonly OwnedTask[]): readonly OwnedTask[] =>
  [...tasks].sort((left, right) => (left.interruptedMs ?? 0) - (right.interruptedMs ?? 0));
