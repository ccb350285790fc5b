/**
 * Checks that each folder imports only what its `ALLOWED_IMPORTS` file names.
 *
 * The nearest such file upward counts. It holds one entry a line: a folder relative to the folder of
 * the file (`../infrastructure/`), a package (`undici`), or a prefix that ends in a colon (`node:`).
 *
 * @packageDocumentation
 */

import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

import ts from 'typescript';

const allowedFileName = 'ALLOWED_IMPORTS';
const strictRoot = path.join('packages', 'samphirenotch', 'src');
const sideRoots = ['tests', 'benchmarks', 'utils', 'platform'];

/** What one folder may import. */
export interface AllowedImports {
  /** The folder that holds the file. */
  readonly folder: string;
  /** The entries of the file, without comments. */
  readonly entries: readonly string[];
}

/**
 * Reads the entries of an `ALLOWED_IMPORTS` file.
 *
 * @param text - The text of the file.
 * @returns The entries, without comments and empty lines.
 */
export const parseAllowedImports = (text: string): string[] =>
  text
    .split('\n')
    .map((line) => line.replace(/#.*/, '').trim())
    .filter((line) => line !== '');

/**
 * Finds what a folder may import.
 *
 * @param folder - The folder, relative to the root of the repository.
 * @returns The nearest allowed imports upward, or undefined if nothing limits the folder.
 */
export const findAllowedImports = (folder: string): AllowedImports | undefined => {
  const file = path.join(folder, allowedFileName);

  if (existsSync(file)) {
    return { folder, entries: parseAllowedImports(readFileSync(file, 'utf8')) };
  }

  return folder === '.' ? undefined : findAllowedImports(path.dirname(folder));
};

const isWithin = (target: string, folder: string): boolean =>
  target === folder || target.startsWith(`${folder}${path.sep}`);

const isEntryMet = (entry: string, specifier: string): boolean =>
  specifier === entry ||
  specifier.startsWith(entry.endsWith(':') || entry.endsWith('/') ? entry : `${entry}/`);

/**
 * Tells whether a file may import something.
 *
 * @param file - The importing file, relative to the root of the repository.
 * @param specifier - The import specifier as written.
 * @param allowed - What the folder of the file may import.
 * @returns True if the import is allowed.
 */
export const isImportAllowed = (
  file: string,
  specifier: string,
  allowed: AllowedImports,
): boolean => {
  if (!specifier.startsWith('.')) {
    return allowed.entries.some((entry) => isEntryMet(entry, specifier));
  }

  const target = path.join(path.dirname(file), specifier);
  const targetFolder = path.dirname(target);

  if (targetFolder === path.dirname(file)) {
    return true;
  }

  // The root of a tree is its own folder only; any other folder owns what lies below it.
  if (allowed.folder !== strictRoot && isWithin(targetFolder, allowed.folder)) {
    return true;
  }

  return allowed.entries
    .filter((entry) => entry.startsWith('.'))
    .map((entry) => path.join(allowed.folder, entry))
    .some((entry) =>
      entry.endsWith(path.sep)
        ? isWithin(targetFolder, path.normalize(entry).slice(0, -1))
        : target === entry,
    );
};

/**
 * Checks one file.
 *
 * @param file - The file, relative to the root of the repository.
 * @param text - The text of the file.
 * @param allowed - What the folder of the file may import.
 * @returns One line for each import that is not allowed.
 */
export const checkFile = (file: string, text: string, allowed: AllowedImports): string[] =>
  ts
    .preProcessFile(text, true, true)
    .importedFiles.filter(({ fileName }) => !isImportAllowed(file, fileName, allowed))
    .map(({ fileName, pos }) => {
      const line = text.slice(0, pos).split('\n').length;
      const entries = allowed.entries.join(', ') || 'only its own folder';

      return `${file}:${line} imports ${fileName}; ${allowed.folder} allows: ${entries}`;
    });

const listSources = (root: string): string[] => {
  if (!existsSync(root)) {
    return [];
  }

  return readdirSync(root, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts') && !name.split(path.sep).includes('generated'))
    .map((name) => path.join(root, name))
    .sort();
};

const checkMissing = (files: readonly string[]): string[] =>
  [...new Set(files.map((file) => path.dirname(file)))]
    .filter((folder) => path.dirname(folder) === strictRoot)
    .filter((folder) => !existsSync(path.join(folder, allowedFileName)))
    .map((folder) => `${folder} has sources but no ${allowedFileName}`);

/**
 * Checks every source of the repository, which must be the current folder.
 *
 * @returns One line for each violation.
 */
export const checkImports = (): string[] => {
  const packageRoots = readdirSync('packages').map((name) => path.join('packages', name, 'src'));
  const files = [...packageRoots, ...sideRoots].flatMap(listSources);

  const violations = files.flatMap((file) => {
    const allowed = findAllowedImports(path.dirname(file));

    return allowed ? checkFile(file, readFileSync(file, 'utf8'), allowed) : [];
  });

  return [...checkMissing(files), ...violations];
};
