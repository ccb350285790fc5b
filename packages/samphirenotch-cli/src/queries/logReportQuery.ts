/**
 * `report`.
 */
import { once } from 'node:events';
import { createReadStream } from 'node:fs';
import path from 'node:path';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

import { Command, Option, type BaseContext } from 'clipanion';

import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { LogHistory } from '../report/jobHistory.js';
import { readLogLine } from '../report/logLine.js';
import { reportOf } from '../report/logReport.js';
import { writeReport } from '../report/reportText.js';

const DEFAULT_SLOWEST = 20;

/** Sums up logs of entries. */
export class LogReportQuery extends Command<BaseContext> {
  static override paths = [['report']];

  static override usage = Command.Usage({
    category: 'Status',
    description:
      'Sum up logs of entries: who waited and for what, who was refused, where work went',
    details:
      'Reads the JSON lines of any number of entries, from files or from standard input. Lines of ' +
      'other programs are passed over.',
    examples: [
      ['Of files', '$0 report entry-1.log entry-2.log'],
      ['Of standard input, as JSON', 'cat entry-*.log | $0 report --json'],
    ],
  });

  files = Option.Rest({ name: 'LOG' });

  slowest = Option.String('--slowest', String(DEFAULT_SLOWEST), {
    description: 'How many of the slowest jobs to list',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  async execute(): Promise<ExitCode> {
    const slowest = Number(this.slowest);
    if (!Number.isInteger(slowest) || slowest < 0) {
      return this.fail(EXIT_CODES.usage, '--slowest takes a whole number.');
    }
    const history = new LogHistory();
    const read = await this.readAll(history);
    if (read !== undefined) return this.fail(EXIT_CODES.usage, read);
    const { fromMs, toMs } = history.span();
    if (toMs < fromMs) return this.fail(EXIT_CODES.refused, 'No line of an entry was found.');
    const report = reportOf(history, slowest);
    const lines = this.json ? [JSON.stringify(report)] : writeReport(report);
    lines.forEach((line) => this.context.stdout.write(`${line}\n`));
    return EXIT_CODES.ok;
  }

  /** Returns what is wrong with a file. */
  private async readAll(history: LogHistory): Promise<string | undefined> {
    if (this.files.length === 0) {
      await LogReportQuery.read(this.context.stdin as Readable, '', history);
      return undefined;
    }
    for (const file of this.files) {
      const stream = createReadStream(file);
      try {
        await once(stream, 'open');
      } catch (error) {
        return error instanceof Error ? error.message : String(error);
      }
      await LogReportQuery.read(stream, path.basename(file), history);
    }
    return undefined;
  }

  private static async read(stream: Readable, file: string, history: LogHistory): Promise<void> {
    for await (const line of createInterface({ input: stream, crlfDelay: Infinity })) {
      const logged = readLogLine(line, file);
      if (logged) history.add(logged);
    }
  }

  private fail(exitCode: ExitCode, line: string): ExitCode {
    this.context.stderr.write(`${line}\n`);
    return exitCode;
  }
}
