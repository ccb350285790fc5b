/**
 * `config check`.
 */
import { Command, Option } from 'clipanion';
import { checkConfiguration } from 'samphirenotch/config/checker.js';
import { describeProblem } from 'samphirenotch/config/configurationProblem.js';
import { Ok, type Result } from 'samphirenotch/results.js';
import { CHECKED, readAnswer } from '../answers.js';
import type { CliProblem } from '../cliProblem.js';
import { readDirectory, type NamedFile } from '../configurationDirectory.js';
import type { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';

/** Largest value that a platform's store takes unless an entry says otherwise, in bytes. */
const MAXIMUM_VALUE_BYTES = 1024 * 1024;

type Report = (typeof CHECKED)['_output'];

/** Checks a directory. */
export class ConfigCheck extends EntryCommand {
  static override paths = [['config', 'check']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Check the files of a directory and report every problem',
    details:
      'Without an entry the files are checked here, and sizes are not compared with the workers ' +
      'that there are.',
    examples: [['Check', '$0 config check examples/council']],
  });

  directory = Option.String({ name: 'DIR' });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(client: EntryClient): Promise<ExitCode> {
    const content = await readDirectory(this.directory);
    if (!content.ok) return this.fail(content.val);
    const { files } = content.val;
    const report = await this.check(client, files);
    if (!report.ok) return this.fail(report.val);
    const { knowsWorkers, problems } = report.val;
    if (!knowsWorkers) this.note('Sizes were not compared with the workers that there are.');
    if (this.json) this.print(JSON.stringify(report.val));
    else if (problems.length > 0) this.print(...problems.map(describeProblem));
    else this.print(`${files.length} files, no problem.`);
    return problems.length === 0 ? EXIT_CODES.ok : EXIT_CODES.refused;
  }

  private async check(
    client: EntryClient,
    files: readonly NamedFile[],
  ): Promise<Result<Report, CliProblem>> {
    if (client.addresses.length > 0) {
      return readAnswer(CHECKED, await client.post('/configuration/check', { files }));
    }
    const texts = new Map(files.map(({ name, text }) => [name, text]));
    const context = { maximumValueBytes: MAXIMUM_VALUE_BYTES, workers: [] };
    const checked = checkConfiguration(texts, context);
    return Ok({ knowsWorkers: false, problems: checked.ok ? [] : [...checked.val] });
  }
}
