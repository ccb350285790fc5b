/**
 * Finds long-running tasks that have waited for long, so that the log can say why.
 *
 * Such tasks are expected to run whenever there is room for them.
 */
import { isStepReady, isTaskWaiting, type OwnedJob, type OwnedTask } from '../model/ownedJob.js';

/** Time between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Wait from which a task is reported, in milliseconds. */
const REPORTED_AFTER_MS = 3_000;

/** Time between two reports of one task, in milliseconds. */
const REPORT_INTERVAL_MS = 10_000;

/** Highest number of tasks reported by one check. */
const MAX_REPORTED = 5;

/** A task that has waited for long. */
export interface LongWait {
  readonly task: OwnedTask;
  readonly waitedMs: number;
}

interface Wait {
  readonly sinceMs: number;
  reportedMs: number;
}

/** Tracks how long the long-running tasks of open jobs have waited. */
export class LongWaits {
  private waitByTask: ReadonlyMap<OwnedTask, Wait> = new Map();

  private checkedMs = Number.NEGATIVE_INFINITY;

  /**
   * Updates the waits, and lists the tasks that are to be reported now.
   *
   * @param jobs - the open jobs
   * @param nowMs - monotonic time in milliseconds
   * @returns the tasks, in the order of their jobs; none if the last check was a short while ago
   */
  due(jobs: readonly OwnedJob[], nowMs: number): readonly LongWait[] {
    if (nowMs < this.checkedMs + CHECK_INTERVAL_MS) return [];
    this.checkedMs = nowMs;
    const known = this.waitByTask;
    this.waitByTask = new Map(
      jobs
        .filter(({ isFullyStarted }) => !isFullyStarted)
        .flatMap((job) => this.waitingTasks(job))
        .map((task) => [
          task,
          known.get(task) ?? { sinceMs: nowMs, reportedMs: Number.NEGATIVE_INFINITY },
        ]),
    );
    const due = [...this.waitByTask]
      .filter(
        ([, { sinceMs, reportedMs }]) =>
          nowMs - sinceMs >= REPORTED_AFTER_MS && nowMs - reportedMs >= REPORT_INTERVAL_MS,
      )
      .slice(0, MAX_REPORTED);
    return due.map(([task, wait]) => {
      const reported = wait;
      reported.reportedMs = nowMs;
      return { task, waitedMs: nowMs - wait.sinceMs };
    });
  }

  private waitingTasks({ occurrences, isOpen }: OwnedJob): readonly OwnedTask[] {
    if (!isOpen) return [];
    return [...occurrences.values()]
      .flatMap(({ steps }) => steps)
      .filter((step) => step.spec.longRunning && isStepReady(step))
      .flatMap(({ tasks }) => tasks.filter(isTaskWaiting));
  }
}
