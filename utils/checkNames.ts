/**
 * Checks that the names of the operated platform stay in its adapter.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

/** Folders outside of which nothing is checked. */
const roots = ['packages', 'benchmarks', 'examples'];

/** Names of calls, fields and variables that only the adapter may know. */
const platformName =
  /kv-(?:txn|range|watch|lease|key|keep)|run-(?:start|stop)|machine-(?:move|upkeep)|FenceToken|LastSeen|RunId|ClockMs|SAMPHIRENOTCH_BOOT/u;

const isSource = (name: string): boolean =>
  /\.(?:ts|js|json|ini)$/u.test(name) &&
  !name.split(path.sep).some((part) => ['node_modules', 'dist', 'generated'].includes(part));

/**
 * Finds names of the platform in one text.
 *
 * @param file - the file, for the message
 * @param text - its text
 * @returns one line for each place
 */
export const findPlatformNames = (file: string, text: string): string[] =>
  text.split('\n').flatMap((line, index) => {
    const found = platformName.exec(line);

    return found ? [`${file}:${index + 1} knows the platform's name ${found[0]}`] : [];
  });

/**
 * Checks every source outside of the adapter; the current folder is the root of the repository.
 *
 * @returns one line for each violation
 */
export const checkNames = (): string[] =>
  roots
    .filter((root) => existsSync(root))
    .flatMap((root) =>
      readdirSync(root, { recursive: true, encoding: 'utf8' })
        .filter(isSource)
        .map((name) => path.join(root, name)),
    )
    .flatMap((file) => findPlatformNames(file, readFileSync(file, 'utf8')));
