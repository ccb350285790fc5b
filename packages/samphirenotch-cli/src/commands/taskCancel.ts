/**
 * `task cancel`.
 */
import { Command, Option } from 'clipanion';
import { ANY_OBJECT, readAnswer } from '../answers.js';
import type { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { writeObject } from '../table.js';

/** Cancels a task. */
export class TaskCancel extends EntryCommand {
  static override paths = [['task', 'cancel']];

  static override usage = Command.Usage({
    category: 'Tasks',
    description: 'Cancel a task',
    examples: [['Cancel', '$0 task cancel ID']],
  });

  id = Option.String({ name: 'ID' });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(client: EntryClient): Promise<ExitCode> {
    const path = `/tasks/${encodeURIComponent(this.id)}`;
    const task = readAnswer(ANY_OBJECT, await client.json({ method: 'DELETE', path }));
    if (!task.ok) return this.fail(task.val);
    this.print(...(this.json ? [JSON.stringify(task.val)] : writeObject(task.val)));
    return EXIT_CODES.ok;
  }
}
