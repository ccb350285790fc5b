/**
 * `config diff`.
 */
import { Command, Option } from 'clipanion';
import { CHANGES, readAnswer } from '../answers.js';
import { describeChange } from '../cliProblem.js';
import { readDirectory } from '../configurationDirectory.js';
import type { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';

/** Compares a directory with what is accepted. */
export class ConfigDiff extends EntryCommand {
  static override paths = [['config', 'diff']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show which objects a publish of a directory would change',
    examples: [['Compare', '$0 config diff site']],
  });

  directory = Option.String({ name: 'DIR' });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(client: EntryClient): Promise<ExitCode> {
    const content = await readDirectory(this.directory);
    if (!content.ok) return this.fail(content.val);
    const { files } = content.val;
    const changes = readAnswer(CHANGES, await client.post('/configuration/diff', { files }));
    if (!changes.ok) return this.fail(changes.val);
    const { changed } = changes.val;
    if (this.json) this.print(JSON.stringify(changes.val));
    else this.print(...(changed.length > 0 ? changed.map(describeChange) : ['No object differs.']));
    return EXIT_CODES.ok;
  }
}
