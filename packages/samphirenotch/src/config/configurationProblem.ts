/**
 * What is wrong with something that an operator wrote, and where.
 */

/** One problem in a file of sections and keys. */
export interface ConfigurationProblem {
  readonly file: string;
  /** Line in the file, counted from 1; nothing if the problem is about the whole file or set. */
  readonly line?: number;
  /** Section as written, without brackets. */
  readonly section?: string;
  readonly key?: string;
  readonly message: string;
  /** What would be accepted instead. */
  readonly accepted: string;
}

const placeOf = ({ file, line, section, key }: ConfigurationProblem): string => {
  const place = line === undefined ? file : `${file}:${line}`;
  const heading = section === undefined ? '' : ` [${section}]`;
  return `${place}${heading}${key === undefined ? '' : ` ${key}`}`;
};

/**
 * Writes a problem as one line.
 *
 * @param problem - the problem
 * @returns for instance `tenants.ini:3 [tenant growers] limit: unknown limit "smal"; accepted: small`
 */
export const describeProblem = (problem: ConfigurationProblem): string =>
  `${placeOf(problem)}: ${problem.message}; accepted: ${problem.accepted}`;
