/**
 * Workers whose answers an owner does without while it is not certain of its lease, so that one that is dead
 * does not stop its data centre. Its successor counts leases from one contact more.
 */
import type { FormerWorker } from './formerLeases.js';

/**
 * Most workers of a data centre whose answers an owner does without while it is not certain of its lease. Its
 * successor has to reach one more.
 */
const MAX_SPARES = 2;

/** Least number of workers of a data centre for each that the owner does without. */
const WORKERS_PER_SPARE = 3;

/**
 * Works out how many workers of each data centre an owner does without.
 *
 * @param workers - the workers of its roster
 * @returns the number by data centre
 */
export const sparesOf = (
  workers: readonly Pick<FormerWorker, 'dataCentre'>[],
): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  workers.forEach(({ dataCentre }) => counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1));
  return new Map(
    [...counts].map(([dataCentre, count]) => [
      dataCentre,
      Math.min(MAX_SPARES, Math.floor(count / WORKERS_PER_SPARE)),
    ]),
  );
};

/**
 * Returns the lower one of two numbers for each data centre.
 *
 * @param first - the number by data centre
 * @param second - another one; 0 for data centres that it lacks
 * @returns the lower one for each data centre of the first
 */
export const lowerOf = (
  first: ReadonlyMap<string, number>,
  second: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> =>
  new Map(
    [...first].map(([dataCentre, count]) => [
      dataCentre,
      Math.min(count, second.get(dataCentre) ?? 0),
    ]),
  );
