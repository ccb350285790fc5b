/**
 * `config publish`.
 */
import { Command, Option } from 'clipanion';
import { readDirectory, writeBase } from '../configurationDirectory.js';
import type { EntryClient } from '../entryClient.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { PublishCommand } from '../publishCommand.js';

/** Publishes a directory. */
export class ConfigPublish extends PublishCommand {
  static override paths = [['config', 'publish']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Check the files of a directory and publish them as a new version',
    details:
      'The whole set is checked first; nothing takes effect unless all is well. If somebody ' +
      'published since the directory was written by `config show --to` or last published, the ' +
      'command ends with exit code 3 and names what changed.',
    examples: [
      ['Publish', '$0 config publish examples/council --why "First setup"'],
      ['Publish over version 7', '$0 config publish site --base 7 --why "More room for plans"'],
    ],
  });

  directory = Option.String({ name: 'DIR' });

  base = Option.String('--base', {
    description: 'Version that the files were edited from; by default the one noted in DIR',
  });

  override async run(client: EntryClient): Promise<ExitCode> {
    const content = await readDirectory(this.directory);
    if (!content.ok) return this.fail(content.val);
    const { files, baseVersion } = content.val;
    const base = this.base === undefined ? baseVersion : this.readBase(this.base);
    if (Number.isNaN(base)) {
      return this.fail({ exitCode: EXIT_CODES.usage, lines: ['--base takes a version number.'] });
    }
    if (base === undefined) this.note('No base version is known: publishing over the newest one.');
    const published = await this.publish(client, '/configuration/publish', {
      files,
      baseVersion: base,
    });
    if (!published.ok) return this.fail(published.val);
    const noted = await writeBase(this.directory, published.val.version);
    if (!noted.ok) this.note(...noted.val.lines);
    return EXIT_CODES.ok;
  }

  private readBase(text: string): number {
    return /^\d{1,15}$/u.test(text) ? Number(text) : Number.NaN;
  }
}
