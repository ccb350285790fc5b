/**
 * Sums, by kind of task, the processors of a share that runs take and that waiting tasks ask for.
 */
import {
  hasWaitingTasks,
  isStepReady,
  isTaskWaiting,
  type OwnedJob,
  type OwnedRun,
  type OwnedStep,
} from '../model/ownedJob.js';
import { isLate } from './stepOrder.js';

/** Sums of requested processors by kind of task, in thousandths of a core. */
export interface RoomByKind {
  /** For jobs that can still meet their objective according to their estimates. */
  readonly inTime: number;
  readonly late: number;
  /** For tasks that run until their job is cancelled. */
  readonly lasting: number;
  /** For tasks that use only processors that other tasks leave unused. */
  readonly fillers: number;
}

type MutableRoomByKind = { -readonly [Key in keyof RoomByKind]: number };

const kindOf = (step: OwnedStep, nowMs: number): keyof RoomByKind => {
  if (step.spec.filler) return 'fillers';
  if (step.spec.longRunning) return 'lasting';
  return isLate(step, nowMs) ? 'late' : 'inTime';
};

const noRoom = (): MutableRoomByKind => ({ inTime: 0, late: 0, lasting: 0, fillers: 0 });

/**
 * Sums the processors that runs take.
 *
 * @param runs - the runs
 * @param nowMs - monotonic time in milliseconds
 * @returns the sums
 */
export const takenRoom = (runs: readonly OwnedRun[], nowMs: number): RoomByKind => {
  const sums = noRoom();
  runs.forEach(({ task: { step } }) => {
    sums[kindOf(step, nowMs)] += step.spec.size.milliCores;
  });
  return sums;
};

/**
 * Sums the processors requested by waiting tasks that could start if there were room.
 *
 * @param jobs - the open jobs of a share
 * @param nowMs - monotonic time in milliseconds
 * @param wallMs - wall clock in Unix milliseconds
 * @returns the sums
 */
export const awaitedRoom = (
  jobs: readonly OwnedJob[],
  nowMs: number,
  wallMs: number,
): RoomByKind => {
  const sums = noRoom();
  jobs
    .filter(({ isFullyStarted: settled }) => !settled)
    .flatMap(({ occurrences }) => [...occurrences.values()])
    .filter(({ dueAtMs }) => dueAtMs <= wallMs)
    .flatMap(({ steps }) => steps)
    .filter((step) => hasWaitingTasks(step) && isStepReady(step))
    .forEach((step) => {
      const { tasks, spec } = step;
      sums[kindOf(step, nowMs)] += tasks.filter(isTaskWaiting).length * spec.size.milliCores;
    });
  return sums;
};
