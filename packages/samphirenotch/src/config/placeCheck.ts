/**
 * Checks that services and task classes have somewhere to run.
 */
import type { Size } from '../infrastructure/worker.js';
import type { ConfigurationProblem } from './configurationProblem.js';
import { objectsOf, type Draft, type DraftObject } from './draft.js';
import { problemAt } from './references.js';

/** Capacity of one worker, as the platform lists it. */
export interface WorkerCapacity {
  readonly dataCentre: string;
  readonly capacity: Size;
}

const fits = (size: Size, room: Size): boolean =>
  size.milliCores <= room.milliCores &&
  size.memoryMb <= room.memoryMb &&
  size.accelerators <= room.accelerators;

const minus = (room: Size, taken: Size): Size => ({
  milliCores: room.milliCores - taken.milliCores,
  memoryMb: room.memoryMb - taken.memoryMb,
  accelerators: room.accelerators - taken.accelerators,
});

const outOf = (draft: Draft): ReadonlySet<string> =>
  new Set(objectsOf(draft, 'outage').map(({ value }) => value.dataCentre));

const checkService = (
  object: DraftObject<'service'>,
  out: ReadonlySet<string>,
): readonly ConfigurationProblem[] => {
  const { dataCentres, name } = object.value;
  if (dataCentres.length === 0 || dataCentres.some((each) => !out.has(each))) return [];
  const message = `service ${name} has no data centre left: all are taken out`;
  return [problemAt(object, 'dataCentres', message, 'at least one data centre without an outage')];
};

const checkReserve = (
  object: DraftObject<'service'>,
  workers: readonly WorkerCapacity[],
): readonly ConfigurationProblem[] => {
  const { dataCentres, reservedSize } = object.value;
  const usable = workers.filter((each) => dataCentres.includes(each.dataCentre));
  if (usable.length === 0 || usable.some(({ capacity }) => fits(reservedSize, capacity))) return [];
  const message = 'what is reserved for requests is more than any worker of its data centres has';
  return [problemAt(object, 'cores', message, 'a size that fits one of the listed workers')];
};

const checkDataCentres = (
  object: DraftObject<'taskClass'>,
  draft: Draft,
): readonly ConfigurationProblem[] => {
  const { dataCentres, service } = object.value;
  const allowed = objectsOf(draft, 'service').find(({ value }) => value.name === service);
  if (!allowed) return [];
  const beyond = dataCentres.filter((each) => !allowed.value.dataCentres.includes(each));
  if (beyond.length === 0) return [];
  const message = `service ${service} is not in ${beyond.join(', ')}`;
  return [problemAt(object, 'dataCentres', message, allowed.value.dataCentres.join(', '))];
};

/** Tasks get what requests leave; request classes run in the reserved room. */
const checkSize = (
  object: DraftObject<'taskClass'>,
  draft: Draft,
  workers: readonly WorkerCapacity[],
): readonly ConfigurationProblem[] => {
  const { dataCentres, kind, service, size } = object.value;
  const host = objectsOf(draft, 'service').find(({ value }) => value.name === service);
  const usable = workers.filter((each) => dataCentres.includes(each.dataCentre));
  if (!host || usable.length === 0) return [];
  const { reservedSize } = host.value;
  const roomOf = ({ capacity }: WorkerCapacity): Size =>
    kind === 'request' ? reservedSize : minus(capacity, reservedSize);
  if (usable.some((worker) => fits(size, roomOf(worker)))) return [];
  const message = 'fits no worker of any data centre that it may use';
  const accepted =
    kind === 'request'
      ? `a size within what service ${service} reserves`
      : `a size within a listed worker, less what service ${service} reserves`;
  return [problemAt(object, 'cores', message, accepted)];
};

/**
 * Checks places.
 *
 * @param draft - the draft
 * @param workers - capacities of the listed workers; none if they are not known
 * @returns the problems
 */
export const checkPlaces = (
  draft: Draft,
  workers: readonly WorkerCapacity[],
): readonly ConfigurationProblem[] => {
  const out = outOf(draft);
  const ofServices = objectsOf(draft, 'service').flatMap((object) => [
    ...checkService(object, out),
    ...checkReserve(object, workers),
  ]);
  const ofClasses = objectsOf(draft, 'taskClass').flatMap((object) => [
    ...checkDataCentres(object, draft),
    ...checkSize(object, draft, workers),
  ]);
  return [...ofServices, ...ofClasses];
};
