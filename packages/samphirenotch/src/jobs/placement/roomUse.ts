/**
 * Who has taken the room of a share, and for whom tasks wait for it.
 */
import {
  hasWaiting,
  isStepOpen,
  isUnstarted,
  type OwnedJob,
  type OwnedRun,
  type OwnedStep,
} from '../model/ownedJob.js';
import { chainMs, objectiveMs } from './stepOrder.js';

/** Sums of what tasks ask for, in thousandths of a core. */
export interface RoomUse {
  /** Of jobs that can still be in time by their estimates. */
  readonly inTime: number;
  readonly late: number;
  /** Of tasks that run until their job is cancelled. */
  readonly lasting: number;
  /** Of tasks that take only what others leave unused. */
  readonly fillers: number;
}

type Use = { -readonly [Key in keyof RoomUse]: number };

const userOf = (step: OwnedStep, nowMs: number): keyof RoomUse => {
  const { spec, occurrence } = step;
  if (spec.filler) return 'fillers';
  if (spec.longRunning) return 'lasting';
  const isLate = nowMs + chainMs(occurrence.job, step.index) > objectiveMs(occurrence.job);
  return isLate ? 'late' : 'inTime';
};

const noUse = (): Use => ({ inTime: 0, late: 0, lasting: 0, fillers: 0 });

/**
 * Adds up what runs take.
 *
 * @param runs - the runs
 * @param nowMs - monotonic time in milliseconds
 * @returns the sums
 */
export const takenBy = (runs: readonly OwnedRun[], nowMs: number): RoomUse => {
  const use = noUse();
  runs.forEach(({ task: { step } }) => {
    use[userOf(step, nowMs)] += step.spec.size.milliCores;
  });
  return use;
};

/**
 * Adds up what tasks ask for that could start.
 *
 * @param jobs - the open jobs of a share
 * @param nowMs - monotonic time in milliseconds
 * @param wallMs - wall clock in Unix milliseconds
 * @returns the sums
 */
export const waitedForBy = (jobs: readonly OwnedJob[], nowMs: number, wallMs: number): RoomUse => {
  const use = noUse();
  jobs
    .filter(({ settled }) => !settled)
    .flatMap(({ occurrences }) => [...occurrences.values()])
    .filter(({ dueAtMs }) => dueAtMs <= wallMs)
    .flatMap(({ steps }) => steps)
    .filter((step) => hasWaiting(step) && isStepOpen(step))
    .forEach((step) => {
      const { tasks, spec } = step;
      use[userOf(step, nowMs)] += tasks.filter(isUnstarted).length * spec.size.milliCores;
    });
  return use;
};
