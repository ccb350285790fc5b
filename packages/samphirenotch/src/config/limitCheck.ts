/**
 * Checks limits and quotas against the limits that they must stay within.
 */
import type { Size } from '../infrastructure/worker.js';
import type { ConfigurationProblem } from './configurationProblem.js';
import { objectsOf, type Draft, type DraftObject } from './draft.js';
import type { Limit, Quota } from './objects.js';
import { problemAt } from './references.js';

interface Bound {
  readonly key: string;
  readonly value: number | undefined;
  readonly most: number | undefined;
  readonly unit: string;
}

const MILLI = 1000;

const sizeBounds = (value: Size | undefined, most: Size | undefined): readonly Bound[] => [
  {
    key: 'cores',
    value: value && value.milliCores / MILLI,
    most: most && most.milliCores / MILLI,
    unit: ' cores',
  },
  { key: 'memory', value: value?.memoryMb, most: most?.memoryMb, unit: ' MB' },
  { key: 'accelerators', value: value?.accelerators, most: most?.accelerators, unit: '' },
];

const quotaBounds = (quota: Quota, limit: Limit): readonly Bound[] => [
  { key: 'runningTasks', value: quota.runningTasks, most: limit.runningTasks, unit: '' },
  { key: 'queuedTasks', value: quota.queuedTasks, most: limit.queuedTasks, unit: '' },
  ...sizeBounds(quota.total, limit.total),
];

const limitBounds = (limit: Limit, outer: Limit): readonly Bound[] => [
  {
    key: 'requestsPerSecond',
    value: limit.requestsPerSecond,
    most: outer.requestsPerSecond,
    unit: '',
  },
  { key: 'queuedRequests', value: limit.queuedRequests, most: outer.queuedRequests, unit: '' },
  { key: 'body', value: limit.bodyBytes, most: outer.bodyBytes, unit: ' B' },
  { key: 'runningTasks', value: limit.runningTasks, most: outer.runningTasks, unit: '' },
  { key: 'queuedTasks', value: limit.queuedTasks, most: outer.queuedTasks, unit: '' },
  ...sizeBounds(limit.total, outer.total),
];

const exceeded = (
  object: DraftObject,
  limit: string,
  bounds: readonly Bound[],
): readonly ConfigurationProblem[] =>
  bounds
    .filter(({ value, most }) => value !== undefined && most !== undefined && value > most)
    .map(({ key, value, most, unit }) =>
      problemAt(
        object,
        key,
        `${value}${unit} is above limit ${limit}`,
        `at most ${most}${unit}, or a higher limit ${limit}`,
      ),
    );

/** Follows `within` from a limit; the way back to it, or nothing if there is none. */
const cycleFrom = (
  start: Limit,
  limits: ReadonlyMap<string, Limit>,
): readonly string[] | undefined => {
  const path = [start.name];
  let outer = start.within;
  while (outer !== undefined && path.length <= limits.size) {
    path.push(outer);
    if (outer === start.name) return path;
    outer = limits.get(outer)?.within;
  }
  return undefined;
};

/**
 * Checks limits and quotas.
 *
 * @param draft - the draft
 * @returns cycles of limits, and whatever is above the limit that it must stay within
 */
export const checkLimits = (draft: Draft): readonly ConfigurationProblem[] => {
  const drafts = objectsOf(draft, 'limit');
  const limits = new Map(drafts.map(({ value }) => [value.name, value]));
  const ofLimits = drafts.flatMap((object) => {
    const cycle = cycleFrom(object.value, limits);
    if (cycle) {
      const message = `limits form a cycle: ${cycle.join(' -> ')}`;
      return [problemAt(object, 'within', message, 'a limit that is not within this one')];
    }
    const outer = limits.get(object.value.within ?? '');
    return outer ? exceeded(object, outer.name, limitBounds(object.value, outer)) : [];
  });
  const ofQuotas = objectsOf(draft, 'quota').flatMap((object) => {
    const limit = limits.get(object.value.limit);
    return limit ? exceeded(object, limit.name, quotaBounds(object.value, limit)) : [];
  });
  return [...ofLimits, ...ofQuotas];
};
