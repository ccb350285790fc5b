/**
 * Exit codes of the command line. Scripts rely on them; they are listed in docs/command-line.md.
 */

/** Exit codes by what happened. */
export const EXIT_CODES = {
  /** Done. */
  ok: 0,
  /** Refused, or something is wrong with what was given. */
  refused: 1,
  /** The command line itself is wrong. */
  usage: 2,
  /** Somebody else changed it first. */
  conflict: 3,
  /** No answer; nothing was done. */
  unavailable: 4,
  /** No answer, and it may have been done. */
  unknown: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
