/**
 * What another share has to know of a task, in a delegation or a report.
 */
import type { Clock } from '../../time/clock.js';

import type { DelegatedTask } from '../model/delegation.js';
import { interruptionOf } from '../model/jobProgress.js';
import type { OwnedTask } from '../model/ownedJob.js';

/**
 * Describes a task for another share.
 *
 * @param task - the task
 * @param clock - clock of this process
 * @returns its state as of now
 */
export const describeTask = (task: OwnedTask, clock: Clock): DelegatedTask => {
  const { longRunning } = task.step.spec;
  const isRunning = task.runs.some(({ confirmedMs }) => confirmedMs !== undefined);
  return {
    index: task.index,
    nextRun: task.nextRun,
    failedRuns: [...task.failedRuns],
    crashedRuns: [...task.crashedRuns],
    checkpoint: task.checkpoint,
    hasRun: longRunning && (task.hasRun || isRunning),
    interruptedAtMs: longRunning ? interruptionOf(task, clock) : undefined,
  };
};
