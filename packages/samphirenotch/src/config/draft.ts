/**
 * Objects read from files, before the relations between them are checked.
 */
import type { ConfigurationProblem } from './configurationProblem.js';
import { readIni, type IniSection } from './iniText.js';
import { nearestName } from './nearestName.js';
import { OBJECT_KINDS, readHeading, writeHeading, type ObjectKind } from './objectKind.js';
import { OBJECT_READS, type ObjectOfKind } from './objectReader.js';
import type { ConfigurationSet } from './objects.js';
import { SectionReader } from './sectionReader.js';
import { OBJECT_NAME } from './valueFormat.js';

/** Text of each file by its name. */
export type ConfigurationFiles = ReadonlyMap<string, string>;

/** An object with the section that it was read from. */
export interface DraftObject<K extends ObjectKind = ObjectKind> {
  readonly kind: K;
  readonly value: ObjectOfKind[K];
  readonly section: IniSection;
}

/** What one file holds. */
export interface DraftFile {
  readonly objects: readonly DraftObject[];
  readonly problems: readonly ConfigurationProblem[];
}

/** What a set of files holds. */
export interface Draft {
  readonly objects: readonly DraftObject[];
  readonly problems: readonly ConfigurationProblem[];
}

const malformedHeading = ({ file, heading, line }: IniSection): ConfigurationProblem => {
  const nearest = nearestName(heading.split(' ')[0] ?? '', OBJECT_KINDS);
  const hint = nearest === undefined ? '' : `, did you mean [${nearest} NAME]?`;
  const accepted = OBJECT_KINDS.map((kind) => `[${kind} NAME]`).join(', ');
  const message = `neither a known kind nor a kind with one name${hint}`;
  return { file, line, section: heading, message, accepted };
};

const readObject = (
  section: IniSection,
  problems: ConfigurationProblem[],
): DraftObject | undefined => {
  if (section.heading === '') return undefined;
  const heading = readHeading(section.heading);
  if (!heading) {
    problems.push(malformedHeading(section));
    return undefined;
  }
  const reader = new SectionReader(section, problems);
  if (OBJECT_NAME.read(heading.name) === undefined) {
    reader.report(undefined, `"${heading.name}" is no name`, OBJECT_NAME.accepted);
  }
  const value = OBJECT_READS[heading.kind](reader, heading.name);
  reader.reportUnknownKeys();
  return { kind: heading.kind, value, section };
};

/**
 * Reads the objects of one file.
 *
 * @param file - its name
 * @param text - its text
 * @returns objects and problems
 */
export const readDraftFile = (file: string, text: string): DraftFile => {
  const ini = readIni(file, text);
  const problems = [...ini.problems];
  const objects = ini.sections
    .map((section) => readObject(section, problems))
    .filter((object) => object !== undefined);
  return { objects, problems };
};

const findRepeated = (objects: readonly DraftObject[]): readonly ConfigurationProblem[] => {
  const first = new Map<string, IniSection>();
  return objects.flatMap(({ section }) => {
    const { file, heading, line } = section;
    const earlier = first.get(heading);
    if (!earlier) {
      first.set(heading, section);
      return [];
    }
    const message = `the object is already at ${earlier.file}:${earlier.line}`;
    return [{ file, line, section: heading, message, accepted: 'each object once' }];
  });
};

/**
 * Puts files together.
 *
 * @param files - what each file holds
 * @returns the objects and every problem of reading
 */
export const joinDraft = (files: readonly DraftFile[]): Draft => {
  const objects = files.flatMap((file) => file.objects);
  const problems = files.flatMap((file) => file.problems);
  return { objects, problems: [...problems, ...findRepeated(objects)] };
};

/**
 * Finds the objects of a kind.
 *
 * @param draft - the draft
 * @param kind - the kind
 * @returns the objects in the order of the files
 */
export const objectsOf = <K extends ObjectKind>(draft: Draft, kind: K): readonly DraftObject<K>[] =>
  draft.objects.filter((object): object is DraftObject<K> => object.kind === kind);

const byName = <K extends ObjectKind>(
  draft: Draft,
  kind: K,
): ReadonlyMap<string, ObjectOfKind[K]> =>
  new Map(objectsOf(draft, kind).map(({ value }) => [value.name, value]));

/**
 * Makes the set of a draft.
 *
 * @param draft - a draft that was checked
 * @param version - version that it was accepted under
 * @param digest - digest of the content
 * @returns the set
 */
export const toSet = (draft: Draft, version: number, digest: string): ConfigurationSet => ({
  version,
  digest,
  dataCentres: byName(draft, 'dataCentre'),
  services: byName(draft, 'service'),
  taskClasses: byName(draft, 'taskClass'),
  tenants: byName(draft, 'tenant'),
  limits: byName(draft, 'limit'),
  quotas: byName(draft, 'quota'),
  outages: byName(draft, 'outage'),
});

/**
 * Names an object as operators do.
 *
 * @param object - the object
 * @returns for instance `tenant growers`
 */
export const nameOf = ({ kind, value }: DraftObject): string =>
  writeHeading({ kind, name: value.name });
