/**
 * `task explain`.
 */
import { Command, Option } from 'clipanion';
import type { EntryClient } from '../entryClient.js';
import type { ExitCode } from '../exitCode.js';
import { ObjectQuery } from '../objectQuery.js';

/** Explains a task. */
export class TaskExplain extends ObjectQuery {
  static override paths = [['task', 'explain']];

  static override usage = Command.Usage({
    category: 'Tasks',
    description: 'Explain why a task waits or runs where it runs, and which limit stops it',
    examples: [['Explain', '$0 task explain ID']],
  });

  id = Option.String({ name: 'ID' });

  override run(client: EntryClient): Promise<ExitCode> {
    return this.show(client, `/tasks/${encodeURIComponent(this.id)}/explain`);
  }
}
