/**
 * `config restore`.
 */
import { Command, Option } from 'clipanion';
import { Ok, type Result } from 'samphirenotch/results.js';
import { CHANGES, readAnswer, SHOWN } from '../answers.js';
import { describeChange, type CliProblem } from '../cliProblem.js';
import type { EntryClient } from '../entryClient.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { PublishCommand } from '../publishCommand.js';

type Changed = (typeof CHANGES)['_output']['changed'];

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
    const changes = await this.changes(client);
    if (!changes.ok) return this.fail(changes.val);
    this.note('Restoring:', ...changes.val.map((each) => `  ${describeChange(each)}`));
    const body = { version: Number(this.version) };
    const published = await this.publish(client, '/configuration/restore', body);
    return published.ok ? EXIT_CODES.ok : this.fail(published.val);
  }

  /** What the old version differs in from the accepted one, outages that would end among it. */
  private async changes(client: EntryClient): Promise<Result<Changed, CliProblem>> {
    const path = `/configuration/versions/${this.version}`;
    const shown = readAnswer(SHOWN, await client.json({ method: 'GET', path }));
    if (!shown.ok) return shown;
    const { files } = shown.val;
    const changes = readAnswer(CHANGES, await client.post('/configuration/diff', { files }));
    return changes.ok ? Ok(changes.val.changed) : changes;
  }
}
