/**
 * `config log`.
 */
import { Command, Option } from 'clipanion';
import { readAnswer, VERSIONS } from '../answers.js';
import type { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { writeTable } from '../table.js';

/** Lists versions. */
export class ConfigLog extends EntryCommand {
  static override paths = [['config', 'log']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'List versions, newest first: who published what, and why',
    examples: [
      ['The last versions', '$0 config log'],
      ['The five before version 40', '$0 config log --below 40 --limit 5'],
    ],
  });

  below = Option.String('--below', { description: 'Only versions below this one' });

  limit = Option.String('--limit', '20', { description: 'How many, at most 100' });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(client: EntryClient): Promise<ExitCode> {
    const parameters = new URLSearchParams({ limit: this.limit });
    if (this.below !== undefined) parameters.set('below', this.below);
    const path = `/configuration/versions?${parameters}`;
    const versions = readAnswer(VERSIONS, await client.json({ method: 'GET', path }));
    if (!versions.ok) return this.fail(versions.val);
    const { records } = versions.val;
    const rows = records.map(({ atMs, publishedBy, version, why }) => ({
      version,
      at: new Date(atMs).toISOString(),
      by: publishedBy,
      why,
    }));
    if (this.json) this.print(JSON.stringify(versions.val));
    else this.print(...(rows.length > 0 ? writeTable(rows) : ['Nothing was published yet.']));
    return EXIT_CODES.ok;
  }
}
