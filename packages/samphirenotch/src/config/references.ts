/**
 * Which objects refer to which, and the check that every referred object exists.
 */
import type { ConfigurationProblem } from './configurationProblem.js';
import type { Draft, DraftObject } from './draft.js';
import { nearestName } from './nearestName.js';
import type { ObjectKind } from './objectKind.js';

/** One reference of an object to another. */
export interface Reference {
  readonly from: DraftObject;
  /** Key that holds the reference. */
  readonly key: string;
  readonly kind: ObjectKind;
  readonly name: string;
}

/** Keys of each kind that hold references, with the kind that they refer to. */
export const REFERENCE_KEYS: Readonly<Record<ObjectKind, Readonly<Record<string, ObjectKind>>>> = {
  dataCentre: {},
  service: { dataCentres: 'dataCentre' },
  taskClass: { service: 'service', dataCentres: 'dataCentre' },
  tenant: { limit: 'limit', quota: 'quota' },
  limit: { within: 'limit' },
  quota: { limit: 'limit' },
  outage: { dataCentre: 'dataCentre' },
};

const namesAt = (object: DraftObject, key: string): readonly string[] => {
  const value: unknown = Object.entries(object.value).find(([each]) => each === key)?.[1];
  const names: unknown[] = Array.isArray(value) ? value : [value];
  return names.filter((name): name is string => typeof name === 'string' && name !== '');
};

const referencesFrom = (object: DraftObject): readonly Reference[] =>
  Object.entries(REFERENCE_KEYS[object.kind]).flatMap(([key, kind]) =>
    namesAt(object, key).map((name) => ({ from: object, key, kind, name })),
  );

/**
 * Lists the references of a draft.
 *
 * @param draft - the draft
 * @returns every reference
 */
export const referencesOf = (draft: Draft): readonly Reference[] =>
  draft.objects.flatMap(referencesFrom);

const namesByKind = (draft: Draft): ReadonlyMap<ObjectKind, ReadonlySet<string>> => {
  const names = new Map<ObjectKind, Set<string>>();
  for (const { kind, value } of draft.objects) {
    const known = names.get(kind) ?? new Set<string>();
    known.add(value.name);
    names.set(kind, known);
  }
  return names;
};

/**
 * Makes a problem about a key of an object.
 *
 * @param object - the object
 * @param key - the key, nothing for the whole object
 * @param message - what is wrong
 * @param accepted - what would be accepted
 * @returns the problem
 */
export const problemAt = (
  { section }: DraftObject,
  key: string | undefined,
  message: string,
  accepted: string,
): ConfigurationProblem => {
  const line = (key === undefined ? undefined : section.values.get(key)?.line) ?? section.line;
  return { file: section.file, line, section: section.heading, key, message, accepted };
};

const unknownReference = (
  { from, key, kind, name }: Reference,
  known: ReadonlySet<string>,
): ConfigurationProblem => {
  const nearest = nearestName(name, known);
  const hint = nearest === undefined ? '' : `, did you mean ${nearest}?`;
  const names = [...known].join(', ') || `none until a [${kind} NAME] is written`;
  return problemAt(from, key, `unknown ${kind} "${name}"${hint}`, names);
};

/**
 * Checks that every referred object exists. A deleted object shows up here at each of its referrers.
 *
 * @param draft - the draft
 * @returns the problems
 */
export const checkReferences = (draft: Draft): readonly ConfigurationProblem[] => {
  const names = namesByKind(draft);
  const none: ReadonlySet<string> = new Set();
  return referencesOf(draft)
    .filter(({ kind, name }) => !names.get(kind)?.has(name))
    .map((reference) => unknownReference(reference, names.get(reference.kind) ?? none));
};
