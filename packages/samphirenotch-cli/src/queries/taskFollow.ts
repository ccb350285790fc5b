/**
 * `task follow`.
 */
import { Command, Option } from 'clipanion';
import { ANY_OBJECT } from '../answers.js';
import type { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { readEvents, type ServerEvent } from '../serverEvents.js';

const SHOWN_KEYS = ['state', 'attempts', 'evictions', 'dataCentre', 'workerId', 'detail'];

/** Follows a task. */
export class TaskFollow extends EntryCommand {
  static override paths = [['task', 'follow']];

  static override usage = Command.Usage({
    category: 'Tasks',
    description: 'Follow a task until it has ended',
    examples: [['Follow', '$0 task follow ID']],
  });

  id = Option.String({ name: 'ID' });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object a line' });

  override async run(client: EntryClient): Promise<ExitCode> {
    const path = `/tasks/${encodeURIComponent(this.id)}/events`;
    const answer = await client.open({ method: 'GET', path, timeoutMs: 0 });
    if (!answer.ok) return this.fail(answer.val);
    try {
      for await (const event of readEvents(answer.val.body)) {
        if (event.name === 'problem') return this.fail(this.problemOf(event));
        this.print(this.json ? event.data : this.describe(event.data));
      }
      return EXIT_CODES.ok;
    } catch {
      const lines = ['The entry ended the connection; follow the task again.'];
      return this.fail({ exitCode: EXIT_CODES.unavailable, lines });
    }
  }

  private problemOf({ data }: ServerEvent): { exitCode: ExitCode; lines: string[] } {
    const detail = this.read(data).detail ?? data;
    return { exitCode: EXIT_CODES.unavailable, lines: [String(detail)] };
  }

  private describe(data: string): string {
    const task = this.read(data);
    const shown = SHOWN_KEYS.filter((key) => task[key] !== undefined);
    return shown.map((key) => `${key}=${String(task[key])}`).join(' ') || data;
  }

  private read(data: string): Readonly<Record<string, unknown>> {
    try {
      const read = ANY_OBJECT.safeParse(JSON.parse(data));
      return read.success ? read.data : {};
    } catch {
      return {};
    }
  }
}
