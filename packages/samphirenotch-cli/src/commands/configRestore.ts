/**
 * `config restore`.
 */
import { Command, Option } from 'clipanion';
import type { EntryClient } from '../entryClient.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { PublishCommand } from '../publishCommand.js';

/** Publishes an earlier version again. */
export class ConfigRestore extends PublishCommand {
  static override paths = [['config', 'restore']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Publish the content of an earlier version as a new version',
    examples: [['Go back to version 7', '$0 config restore 7 --why "Version 8 was a mistake"']],
  });

  version = Option.String({ name: 'N' });

  override async run(client: EntryClient): Promise<ExitCode> {
    if (!/^\d{1,15}$/u.test(this.version)) {
      return this.fail({ exitCode: EXIT_CODES.usage, lines: ['N is a version number.'] });
    }
    const body = { version: Number(this.version) };
    const published = await this.publish(client, '/configuration/restore', body);
    return published.ok ? EXIT_CODES.ok : this.fail(published.val);
  }
}
