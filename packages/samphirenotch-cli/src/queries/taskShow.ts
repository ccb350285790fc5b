/**
 * `task show`.
 */
import { Command, Option } from 'clipanion';
import type { EntryClient } from '../entryClient.js';
import type { ExitCode } from '../exitCode.js';
import { ObjectQuery } from '../objectQuery.js';

/** Shows a task. */
export class TaskShow extends ObjectQuery {
  static override paths = [['task', 'show']];

  static override usage = Command.Usage({
    category: 'Tasks',
    description: 'Show a task',
    examples: [['Show', '$0 task show ID']],
  });

  id = Option.String({ name: 'ID' });

  override run(client: EntryClient): Promise<ExitCode> {
    return this.show(client, `/tasks/${encodeURIComponent(this.id)}`);
  }
}
