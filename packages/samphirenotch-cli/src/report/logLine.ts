/**
 * Reads lines that entries have logged.
 */
import { z } from 'zod';

/** A log line. */
export interface LogLine {
  /** When it was written, in milliseconds: Unix time, or what was put in front of it. */
  readonly atMs: number;
  /** The process that wrote it, by what was put in front of it or by the name of its file. */
  readonly source: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const FIELDS = z.looseObject({ time: z.string(), message: z.string() });

/** Collected logs may have seconds and the name of the writer in front of each line. */
const PREFIXED = /^\s*(?<seconds>-?\d+(?:\.\d+)?)\s+(?<source>\S+)\s+(?=\{)/u;

const MS_PER_S = 1_000;

const parseFields = (text: string): z.infer<typeof FIELDS> | undefined => {
  try {
    const parsed = FIELDS.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

/**
 * Reads one line.
 *
 * @param line - the line
 * @param file - name of its file, which stands for the writer where the line names none
 * @returns the line; undefined if no entry wrote it
 */
export const readLogLine = (line: string, file: string): LogLine | undefined => {
  const prefix = PREFIXED.exec(line);
  const text = prefix ? line.slice(prefix[0].length) : line;
  if (!text.startsWith('{')) return undefined;
  const fields = parseFields(text);
  if (!fields) return undefined;
  const seconds = prefix?.groups?.seconds;
  const atMs = seconds === undefined ? Date.parse(fields.time) : Number(seconds) * MS_PER_S;
  if (!Number.isFinite(atMs)) return undefined;
  return { atMs, source: prefix?.groups?.source ?? file, message: fields.message, fields };
};
