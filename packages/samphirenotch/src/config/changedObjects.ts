/**
 * Finds which objects differ between two sets of files.
 */
import { readDraft } from './checker.js';
import { nameOf, type ConfigurationFiles, type DraftObject } from './draft.js';

/** How an object differs. */
export interface ChangedObject {
  /** For instance `tenant growers`. */
  readonly object: string;
  readonly change: 'added' | 'removed' | 'changed';
  /** Keys that differ, for a changed object. */
  readonly keys: readonly string[];
}

const objectsByName = (files: ConfigurationFiles): ReadonlyMap<string, DraftObject> =>
  new Map(readDraft(files).objects.map((object) => [nameOf(object), object]));

const changedKeys = (before: DraftObject, after: DraftObject): readonly string[] => {
  const keys = new Set([...before.section.values.keys(), ...after.section.values.keys()]);
  return [...keys].filter(
    (key) => before.section.values.get(key)?.text !== after.section.values.get(key)?.text,
  );
};

/**
 * Compares two sets of files by their objects. Order, comments and spacing do not count.
 *
 * @param before - files of the older set
 * @param after - files of the newer set
 * @returns what differs, by name
 */
export const changedObjects = (
  before: ConfigurationFiles,
  after: ConfigurationFiles,
): readonly ChangedObject[] => {
  const old = objectsByName(before);
  const fresh = objectsByName(after);
  const names = [...new Set([...old.keys(), ...fresh.keys()])].sort();
  return names.flatMap((object): ChangedObject[] => {
    const was = old.get(object);
    const is = fresh.get(object);
    if (!was) return [{ object, change: 'added', keys: [] }];
    if (!is) return [{ object, change: 'removed', keys: [] }];
    const keys = changedKeys(was, is);
    return keys.length === 0 ? [] : [{ object, change: 'changed', keys }];
  });
};
