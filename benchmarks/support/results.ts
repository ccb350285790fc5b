/**
 * Keeps what was measured in files.
 *
 * @packageDocumentation
 */

import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';

import { format } from 'prettier';

const FOLDER = path.join('benchmarks', 'results');

/**
 * Writes results.
 *
 * @param name - name of the file without ending
 * @param results - what was measured
 */
export const writeResults = async (name: string, results: unknown): Promise<void> => {
  mkdirSync(FOLDER, { recursive: true });
  const text = await format(JSON.stringify(results), { parser: 'json', printWidth: 100 });
  writeFileSync(path.join(FOLDER, `${name}.json`), text);
};

/**
 * Reads results.
 *
 * @param name - name of the file without ending
 * @returns what was measured
 */
export const readResults = (name: string): unknown =>
  JSON.parse(readFileSync(path.join(FOLDER, `${name}.json`), 'utf8'));
