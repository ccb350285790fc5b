/**
 * Logs of the scheduler: short sentences, each with the fixed prefix of the part that speaks.
 */
import { Logger, type ILogObjMeta } from 'tslog';

import { LineSink, type LineOutput, type LineRank } from './lineSink.js';

/** Named values that belong to a log line, such as request and task ids. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines of one part. */
export interface Log {
  debug(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  error(sentence: string, fields?: LogFields): void;
}

/** How lines are written, and from which level on. */
export interface LogSettings {
  readonly format: 'json' | 'pretty' | 'hidden';
  readonly level: 'debug' | 'info' | 'warn' | 'error';
}

const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

const sink = new LineSink();
process.once('exit', () => sink.flushNow());

/** @returns how many lines were dropped because nobody read them */
export const droppedLines = (): number => sink.dropped;

let settings: LogSettings = { format: 'hidden', level: 'info' };

let output: LineOutput = sink;

/**
 * Sets how all parts of this process log from now on.
 *
 * @param changed - the settings
 * @param lines - takes lines of JSON; standard output unless a test says otherwise
 */
export const configureLogs = (changed: LogSettings, lines: LineOutput = sink): void => {
  settings = changed;
  output = lines;
};

/** A line before it is written, as the logger hands it on. */
interface Line {
  readonly message: string;
  readonly fields: LogFields | undefined;
  readonly levelName: string;
}

const ALARMS = new Set(['WARN', 'ERROR']);

/** Writes one line of JSON: time, level and part, then the sentence and its fields. */
const writeJson = (part: string, rank: LineRank, { message, fields, levelName }: Line): void => {
  const time = new Date().toISOString();
  const line = JSON.stringify({ time, level: levelName.toLowerCase(), part, message, ...fields });
  output.add(line, ALARMS.has(levelName) ? 'alarm' : rank);
};

/** Lines are plain values: nothing to mask or to clone, which would cost more than all the rest. */
const jsonOverwrite = (part: string, rank: LineRank) => ({
  mask: (args: unknown[]) => args,
  toLogObj: ([message, fields]: unknown[]) => ({ message, fields }) as LogFields,
  addMeta: (line: LogFields, _levelId: number, levelName: string) =>
    ({ ...line, levelName }) as unknown as LogFields & ILogObjMeta,
  transportJSON: (line: unknown) => writeJson(part, rank, line as Line),
});

/** A log that reads the process's settings on first use. */
class PartLog implements Log {
  private logger: Logger<LogFields> | undefined;

  private loggerSettings: LogSettings | undefined;

  constructor(
    private readonly prefix: string,
    private readonly rank: LineRank,
  ) {}

  debug(sentence: string, fields?: LogFields): void {
    this.current().debug(sentence, ...(fields ? [fields] : []));
  }

  info(sentence: string, fields?: LogFields): void {
    this.current().info(sentence, ...(fields ? [fields] : []));
  }

  warn(sentence: string, fields?: LogFields): void {
    this.current().warn(sentence, ...(fields ? [fields] : []));
  }

  error(sentence: string, fields?: LogFields): void {
    this.current().error(sentence, ...(fields ? [fields] : []));
  }

  private current(): Logger<LogFields> {
    if (this.logger && this.loggerSettings === settings) return this.logger;
    this.loggerSettings = settings;
    this.logger = new Logger<LogFields>({
      type: settings.format,
      name: this.prefix,
      minLevel: LEVELS[settings.level],
      hideLogPositionForProduction: true,
      ...(settings.format === 'json' ? { overwrite: jsonOverwrite(this.prefix, this.rank) } : {}),
    });
    return this.logger;
  }
}

/**
 * Makes the log of a part.
 *
 * @param prefix - the part's fixed prefix, for instance `ownership`
 * @param rank - rank of its lines below the level of warnings
 * @returns the log
 */
export const partLog = (prefix: string, rank: LineRank = 'decision'): Log =>
  new PartLog(prefix, rank);
