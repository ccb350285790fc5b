/**
 * Checks a whole set of files before it may be published, and reports every problem at once.
 */
import type { ConfigurationProblem } from './configurationProblem.js';
import { toContent } from './content.js';
import { joinDraft, objectsOf, toSet, type ConfigurationFiles, type Draft } from './draft.js';
import { DraftCache } from './draftCache.js';
import { checkLimits } from './limitCheck.js';
import type { ConfigurationSet } from './objects.js';
import { checkPlaces, type WorkerCapacity } from './placeCheck.js';
import { checkReferences, problemAt } from './references.js';
import { Err, Ok, type Result } from '../results.js';

/** What a set is checked against. */
export interface CheckContext {
  /** Largest value that the platform's store holds, in bytes. */
  readonly maximumValueBytes: number;
  /** Capacities of the listed workers; none if they are not known. */
  readonly workers: readonly WorkerCapacity[];
}

const FILE_NAME = /^[\p{L}\p{N}][\p{L}\p{M}\p{N}._-]{0,120}\.ini$/u;

const checkFileNames = (files: ConfigurationFiles): readonly ConfigurationProblem[] =>
  [...files.keys()]
    .filter((file) => !FILE_NAME.test(file))
    .map((file) => ({
      file,
      message: 'not a name of a configuration file',
      accepted: 'letters, digits, dots, hyphens and underscores, ending in .ini',
    }));

const checkSizes = (
  files: ConfigurationFiles,
  maximumValueBytes: number,
): readonly ConfigurationProblem[] =>
  [...files]
    .filter(([, text]) => Buffer.byteLength(text) > maximumValueBytes)
    .map(([file, text]) => ({
      file,
      message: `${Buffer.byteLength(text)} bytes are more than the platform stores as one value`,
      accepted: `at most ${maximumValueBytes} bytes in a file; split it`,
    }));

const checkManifest = (
  files: ConfigurationFiles,
  maximumValueBytes: number,
): readonly ConfigurationProblem[] => {
  const { digest, parts } = toContent(files);
  const bytes = Buffer.byteLength(parts.get(digest) ?? '');
  if (bytes <= maximumValueBytes) return [];
  const message = `the list of ${files.size} files takes ${bytes} bytes`;
  return [{ file: '.', message, accepted: `at most ${maximumValueBytes} bytes; use fewer files` }];
};

const checkEmpty = (draft: Draft): readonly ConfigurationProblem[] => {
  if (objectsOf(draft, 'dataCentre').length > 0) return [];
  const accepted = 'at least one [dataCentre NAME] in a file that ends in .ini';
  return [{ file: '.', message: 'no data centre is described', accepted }];
};

const checkOutages = (draft: Draft): readonly ConfigurationProblem[] => {
  const seen = new Set<string>();
  return objectsOf(draft, 'outage').flatMap((object) => {
    const { dataCentre } = object.value;
    const isRepeated = seen.has(dataCentre);
    seen.add(dataCentre);
    if (!isRepeated) return [];
    return [problemAt(object, 'dataCentre', `${dataCentre} is out already`, 'one outage for each')];
  });
};

const byPlace = (left: ConfigurationProblem, right: ConfigurationProblem): number =>
  left.file.localeCompare(right.file, 'en') || (left.line ?? 0) - (right.line ?? 0);

/**
 * Reads files into a draft.
 *
 * @param files - the files
 * @param cache - what earlier sets held
 * @returns the draft
 */
export const readDraft = (files: ConfigurationFiles, cache = new DraftCache()): Draft =>
  joinDraft(cache.read(files));

/**
 * Checks a set of files.
 *
 * @param files - the files
 * @param context - what they are checked against
 * @param cache - what earlier sets held
 * @returns the set, not yet accepted and so of version 0, or every problem in the order of the files
 */
export const checkConfiguration = (
  files: ConfigurationFiles,
  context: CheckContext,
  cache = new DraftCache(),
): Result<ConfigurationSet, readonly ConfigurationProblem[]> => {
  const draft = readDraft(files, cache);
  const problems = [
    ...checkFileNames(files),
    ...checkSizes(files, context.maximumValueBytes),
    ...checkManifest(files, context.maximumValueBytes),
    ...draft.problems,
    ...checkEmpty(draft),
    ...checkReferences(draft),
    ...checkLimits(draft),
    ...checkPlaces(draft, context.workers),
    ...checkOutages(draft),
  ];
  if (problems.length === 0) return Ok(toSet(draft, 0, toContent(files).digest));
  return Err([...problems].sort(byPlace));
};
