/**
 * What all commands that speak to an entry have in common.
 */
import { userInfo } from 'node:os';
import { Command, Option, type BaseContext } from 'clipanion';
import { Err, Ok, type Result } from 'samphirenotch/results.js';
import { problem, type CliProblem } from './cliProblem.js';
import { readAddresses } from './entryAddresses.js';
import { EntryClient } from './entryClient.js';
import { EXIT_CODES, type ExitCode } from './exitCode.js';

/** A command that speaks to an entry. */
export abstract class EntryCommand extends Command<BaseContext> {
  entry = Option.String('--entry', {
    description: 'Entries to speak to, such as http://127.0.0.1:8001; or SAMPHIRENOTCH_ENTRY',
  });

  /** Speaks to the entry and prints. */
  abstract run(client: EntryClient): Promise<ExitCode>;

  async execute(): Promise<ExitCode> {
    const addresses = readAddresses(this.entryText());
    if (!addresses.ok) return this.fail(addresses.val);
    return this.run(new EntryClient(addresses.val));
  }

  protected entryText(): string {
    return this.entry ?? this.context.env.SAMPHIRENOTCH_ENTRY ?? '';
  }

  protected print(...lines: readonly string[]): void {
    lines.forEach((line) => this.context.stdout.write(`${line}\n`));
  }

  /** Progress and notes, which do not belong to the output. */
  protected note(...lines: readonly string[]): void {
    lines.forEach((line) => this.context.stderr.write(`${line}\n`));
  }

  protected fail({ exitCode, lines }: CliProblem): ExitCode {
    this.note(...lines);
    return exitCode;
  }

  /** Who works here: `--by`, or the name of the user. */
  protected author(by: string | undefined): Result<string, CliProblem> {
    if (by !== undefined && by.trim() !== '') return Ok(by);
    const name = this.context.env.USER ?? this.userName();
    if (name !== '') return Ok(name);
    return Err(problem(EXIT_CODES.usage, 'Who you are is not known: use --by NAME.'));
  }

  private userName(): string {
    try {
      return userInfo().username;
    } catch {
      return '';
    }
  }
}
