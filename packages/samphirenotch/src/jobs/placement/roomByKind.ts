/**
 * Who has taken the room of a share, and for whom tasks wait for it.
 */
import {
  hasWaitingTasks,
  isStepReady,
  isTaskWaiting,
  type OwnedJob,
  type OwnedRun,
  type OwnedStep,
} from '../model/ownedJob.js';
import { remainingPathMs, objectiveMs } from './stepOrder.js';

/** Sums of what tasks ask for, in thousandths of a core. */
export interface RoomByKind {
  /** Of jobs that can still be in time by their estimates. */
  readonly inTime: number;
  readonly late: number;
  /** Of tasks that run until their job is cancelled. */
  readonly lasting: number;
  /** Of tasks that take only what others leave unused. */
  readonly fillers: number;
}

type MutableRoomByKind = { -readonly [Key in keyof RoomByKind]: number };

const kindOf = (step: OwnedStep, nowMs: number): keyof RoomByKind => {
  const { spec, occurrence } = step;
  if (spec.filler) return 'fillers';
  if (spec.longRunning) return 'lasting';
  const isLate = nowMs + remainingPathMs(occurrence.job, step.index) > objectiveMs(occurrence.job);
  return isLate ? 'late' : 'inTime';
};

const noRoom = (): MutableRoomByKind => ({ inTime: 0, late: 0, lasting: 0, fillers: 0 });

/**
 * Adds up what runs take.
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
 * Adds up what tasks ask for that could start.
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
