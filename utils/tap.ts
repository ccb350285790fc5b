/**
 * Reads the results of tests from TAP output.
 *
 * @packageDocumentation
 */

/** The result of one test. */
export interface TapTest {
  /** The title of the test, without the name of its file. */
  readonly title: string;
  /** Whether the test passed. */
  readonly ok: boolean;
}

const resultPattern = /^(?<state>ok|not ok) \d+ - (?<title>.*?)(?<directive> # (?:SKIP|TODO).*)?$/;
const fileSeparator = ' › ';

const stripFile = (title: string): string => title.split(fileSeparator).at(-1) ?? title;

/**
 * Reads TAP output. Tests that were skipped or are still to do are left out.
 *
 * @param output - The output of the test runner.
 * @returns The results in the order of the output.
 */
export const parseTap = (output: string): TapTest[] =>
  output
    .split('\n')
    .map((line) => resultPattern.exec(line)?.groups)
    .filter((groups) => groups !== undefined && groups.directive === undefined)
    .map((groups) => ({ title: stripFile(groups?.title ?? ''), ok: groups?.state === 'ok' }));
