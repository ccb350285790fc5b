/**
 * `task list`.
 */
import { Command, Option } from 'clipanion';
import { readAnswer, TASK_PAGE } from '../answers.js';
import type { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { writeTable } from '../table.js';

const COLUMNS = ['id', 'taskClass', 'tenant', 'state', 'attempts', 'dataCentre', 'workerId'];

/** Lists tasks. */
export class TaskList extends EntryCommand {
  static override paths = [['task', 'list']];

  static override usage = Command.Usage({
    category: 'Tasks',
    description: 'List tasks, page by page',
    examples: [
      ['Settlements that wait', '$0 task list --class settlement --state queued'],
      ['The next page', '$0 task list --cursor CURSOR'],
    ],
  });

  tenant = Option.String('--tenant', { description: 'Only of this tenant' });

  taskClass = Option.String('--class', { description: 'Only of this class' });

  state = Option.String('--state', { description: 'Only in this state' });

  limit = Option.String('--limit', { description: 'How many on a page' });

  cursor = Option.String('--cursor', { description: 'Where the page begins' });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(client: EntryClient): Promise<ExitCode> {
    const { cursor, limit, state, taskClass, tenant } = this;
    const asked = Object.entries({ cursor, limit, state, taskClass, tenant });
    const given = asked.filter((pair): pair is [string, string] => pair[1] !== undefined);
    const path = `/tasks?${new URLSearchParams(given)}`;
    const page = readAnswer(TASK_PAGE, await client.json({ method: 'GET', path }));
    if (!page.ok) return this.fail(page.val);
    const { tasks, nextCursor } = page.val;
    if (this.json) this.print(JSON.stringify(page.val));
    else this.print(...(tasks.length > 0 ? writeTable(tasks, COLUMNS) : ['No task.']));
    if (!this.json && typeof nextCursor === 'string') this.note(`More: --cursor ${nextCursor}`);
    return EXIT_CODES.ok;
  }
}
