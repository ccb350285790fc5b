/**
 * Configuration files in a directory of the operator's machine.
 */
import { mkdir, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { Err, Ok, type Result } from 'samphirenotch/results.js';
import { problem, type CliProblem } from './cliProblem.js';
import { EXIT_CODES } from './exitCode.js';

/** A configuration file. */
export interface NamedFile {
  readonly name: string;
  readonly text: string;
}

/** Files with the version that they were edited from, if it is known. */
export interface DirectoryContent {
  readonly files: readonly NamedFile[];
  readonly baseVersion?: number;
}

const BASE_FILE = '.samphirenotch-base';
const EXTENSION = '.ini';

/** An entry takes no longer body than twice this. */
const MOST_CHARACTERS = 8_000_000;

const tooLarge = (directory: string, length: number): CliProblem => {
  const line = `The files of ${directory} are too large: ${length} characters; accepted: at most ${MOST_CHARACTERS}.`;
  return problem(EXIT_CODES.refused, line);
};

const pathOf = (error: unknown, directory: string): string =>
  error instanceof Error && 'path' in error ? String(error.path) : directory;

const reasonOf = (error: unknown): string => {
  const code = error instanceof Error && 'code' in error ? String(error.code) : 'error';
  if (code === 'ENOENT') return 'it does not exist';
  if (code === 'ENOTDIR') return 'it is not a directory';
  return code === 'EACCES' ? 'access is denied' : code;
};

const namesIn = async (directory: string): Promise<readonly string[]> => {
  const entries = await readdir(directory, { withFileTypes: true });
  return entries
    .filter((entry) => !entry.isDirectory() && entry.name.endsWith(EXTENSION))
    .map((entry) => entry.name)
    .sort();
};

const readBase = async (directory: string): Promise<number | undefined> => {
  try {
    const text = await readFile(path.join(directory, BASE_FILE), 'utf8');
    return /^\d{1,15}$/u.test(text.trim()) ? Number(text.trim()) : undefined;
  } catch {
    return undefined;
  }
};

/**
 * Reads the configuration files of a directory.
 *
 * @param directory - the directory
 * @returns its files that end in .ini, or why they cannot be read
 */
export const readDirectory = async (
  directory: string,
): Promise<Result<DirectoryContent, CliProblem>> => {
  try {
    const names = await namesIn(directory);
    const texts = await Promise.all(
      names.map((name) => readFile(path.join(directory, name), 'utf8')),
    );
    const length = texts.reduce((sum, text) => sum + text.length, 0);
    if (length > MOST_CHARACTERS) return Err(tooLarge(directory, length));
    const files = names.map((name, index) => ({
      name: name.normalize('NFC'),
      text: texts[index] ?? '',
    }));
    return Ok({ files, baseVersion: await readBase(directory) });
  } catch (error) {
    return Err(
      problem(EXIT_CODES.usage, `Cannot read ${pathOf(error, directory)}: ${reasonOf(error)}.`),
    );
  }
};

/**
 * Records the version that the files of a directory are.
 *
 * @param directory - the directory
 * @param version - the version
 * @returns nothing, or why it cannot be recorded
 */
export const writeBase = async (
  directory: string,
  version: number,
): Promise<Result<void, CliProblem>> => {
  try {
    await writeFile(path.join(directory, BASE_FILE), `${version}\n`);
    return Ok(undefined);
  } catch (error) {
    return Err(problem(EXIT_CODES.refused, `Cannot write to ${directory}: ${reasonOf(error)}.`));
  }
};

/**
 * Writes files of a version into a directory, in place of the configuration files there.
 *
 * @param directory - the directory; made if it does not exist
 * @param files - the files
 * @param version - their version
 * @returns nothing, or why they cannot be written
 */
export const writeDirectory = async (
  directory: string,
  files: readonly NamedFile[],
  version: number,
): Promise<Result<void, CliProblem>> => {
  try {
    await mkdir(directory, { recursive: true });
    const kept = new Set(files.map(({ name }) => name));
    const extra = (await namesIn(directory)).filter((name) => !kept.has(name));
    await Promise.all(extra.map((name) => rm(path.join(directory, name))));
    await Promise.all(
      files.map(({ name, text }) => writeFile(path.join(directory, path.basename(name)), text)),
    );
    return await writeBase(directory, version);
  } catch (error) {
    return Err(problem(EXIT_CODES.refused, `Cannot write to ${directory}: ${reasonOf(error)}.`));
  }
};
