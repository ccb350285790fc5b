/**
 * Selects the attempt to evict: the one that loses the least work among those that relieve the
 * worker enough.
 */
import type { PressureAttempt } from './pressurePolicy.js';

/** Kind of pressure on a worker: slowdown of requests, or shortage of memory. */
export type PressureKind = 'slowdown' | 'memory';

/** Minimum relief of an eviction, as a share of the largest relief that any eviction gives. */
const MINIMUM_RELIEF_SHARE = 0.5;

/** Work time that a restart costs in addition to the work since the last checkpoint. */
const RESTART_COST_MS = 5_000;

/** Factor by which each step of priority makes an eviction more expensive. */
const COST_FACTOR_PER_PRIORITY = 2;

/**
 * Returns by how much an eviction reduces the pressure: freed memory in MB, or removed slowdown.
 */
const relief = (attempt: PressureAttempt, kind: PressureKind): number =>
  kind === 'memory' ? attempt.memoryMb : attempt.predictedSlowdown - 1;

/** Returns the cost of an eviction: lost core time, weighted by priority. */
const cost = (attempt: PressureAttempt, nowMs: number): number => {
  const lostWorkMs = Math.max(0, nowMs - attempt.checkpointedAtMs) + RESTART_COST_MS;
  return (
    lostWorkMs * Math.max(1, attempt.milliCores) * COST_FACTOR_PER_PRIORITY ** attempt.priority
  );
};

/**
 * Finds the cheapest attempt to evict among those whose eviction helps enough.
 *
 * @param attempts - attempts that run on the worker
 * @param nowMs - current time, in milliseconds
 * @param kind - kind of pressure
 * @returns the attempt, or `undefined` if no eviction helps
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
