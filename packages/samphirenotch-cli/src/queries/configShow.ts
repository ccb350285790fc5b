/**
 * `config show`.
 */
import { Command, Option } from 'clipanion';
import { readAnswer, SHOWN } from '../answers.js';
import { writeDirectory } from '../configurationDirectory.js';
import type { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';

type Shown = (typeof SHOWN)['_output'];

/** Shows a configuration. */
export class ConfigShow extends EntryCommand {
  static override paths = [['config', 'show']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show the accepted configuration, or an earlier version',
    examples: [
      ['Show what is accepted', '$0 config show'],
      ['Write version 7 into a directory, to edit it', '$0 config show --version 7 --to site'],
    ],
  });

  version = Option.String('--version', { description: 'Version to show' });

  directory = Option.String('--to', { description: 'Directory to write the files into' });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(client: EntryClient): Promise<ExitCode> {
    if (this.version !== undefined && !/^\d{1,15}$/u.test(this.version)) {
      return this.fail({ exitCode: EXIT_CODES.usage, lines: ['--version takes a number.'] });
    }
    const path = this.version === undefined ? '' : `/versions/${this.version}`;
    const answer = await client.json({ method: 'GET', path: `/configuration${path}` });
    const shown = readAnswer(SHOWN, answer);
    if (!shown.ok) return this.fail(shown.val);
    if (this.directory !== undefined) return this.write(this.directory, shown.val);
    if (this.json) this.print(JSON.stringify(shown.val));
    else this.print(...this.describe(shown.val));
    return EXIT_CODES.ok;
  }

  private async write(directory: string, shown: Shown): Promise<ExitCode> {
    const version = shown.record?.version ?? shown.inForce?.version ?? 0;
    const written = await writeDirectory(directory, shown.files, version);
    if (!written.ok) return this.fail(written.val);
    this.print(`Wrote ${shown.files.length} files of version ${version} to ${directory}.`);
    return EXIT_CODES.ok;
  }

  private describe({ files, inForce, record }: Shown): readonly string[] {
    const head = record
      ? [
          `; version ${record.version}, published by ${record.publishedBy}`,
          `; at ${new Date(record.atMs).toISOString()}`,
          `; why: ${record.why}`,
        ]
      : [`; version ${inForce?.version ?? 0}, in force at this entry; the store does not answer`];
    return [...head, ...files.flatMap(({ name, text }) => ['', `; file ${name}`, text.trimEnd()])];
  }
}
