/**
 * Weighs what an eviction loses against how far it relieves the worker.
 */
import type { PressureAttempt } from './pressurePolicy.js';

/** What there is too much of. */
export type PressureKind = 'slowdown' | 'memory';

/** Share of the largest relief below which an eviction does not help enough. */
const MINIMUM_RELIEF_SHARE = 0.5;

const RESTART_COST_MS = 5_000;

const COST_FACTOR_PER_PRIORITY = 2;

const relief = (attempt: PressureAttempt, kind: PressureKind): number =>
  kind === 'memory' ? attempt.memoryMb : attempt.predictedSlowdown - 1;

const cost = (attempt: PressureAttempt, nowMs: number): number => {
  const lostMs = Math.max(0, nowMs - attempt.checkpointedAtMs) + RESTART_COST_MS;
  return lostMs * Math.max(1, attempt.milliCores) * COST_FACTOR_PER_PRIORITY ** attempt.priority;
};

/**
 * Finds the attempt whose eviction loses least among those that help.
 *
 * @param attempts - attempts at the worker
 * @param nowMs - time, in milliseconds
 * @param kind - what there is too much of
 * @returns the attempt, or nothing if no eviction helps
 */
export const cheapestEviction = (
  attempts: readonly PressureAttempt[],
  nowMs: number,
  kind: PressureKind,
): PressureAttempt | undefined => {
  const largestRelief = Math.max(0, ...attempts.map((each) => relief(each, kind)));
  if (largestRelief === 0) return undefined;
  const effective = attempts.filter(
    (each) => relief(each, kind) >= MINIMUM_RELIEF_SHARE * largestRelief,
  );
  return effective.sort((left, right) => cost(left, nowMs) - cost(right, nowMs))[0];
};
