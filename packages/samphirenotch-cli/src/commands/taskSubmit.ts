/**
 * `task submit`.
 */
import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import { ANY_OBJECT, readAnswer } from '../answers.js';
import type { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { writeObject } from '../table.js';

/** Submits a task. */
export class TaskSubmit extends EntryCommand {
  static override paths = [['task', 'submit']];

  static override usage = Command.Usage({
    category: 'Tasks',
    description: 'Submit a task; it is kept once this command says so',
    details:
      'If the outcome is not known (exit code 5), submit again with the same --key: a task is ' +
      'kept once for a key.',
    examples: [
      [
        'Submit a settlement',
        '$0 task submit settlement --tenant desk --key 2026-12-03 --payload \'{"day":"2026-12-03"}\'',
      ],
    ],
  });

  taskClass = Option.String({ name: 'CLASS' });

  tenant = Option.String('--tenant', { required: true, description: 'Tenant that it is for' });

  key = Option.String('--key', { description: 'Idempotency key; a new one by default' });

  payload = Option.String('--payload', '', { description: 'What to run, as text' });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(client: EntryClient): Promise<ExitCode> {
    const key = this.key ?? randomUUID();
    if (this.key === undefined) this.note(`The idempotency key is ${key}.`);
    const answer = await client.json({
      method: 'POST',
      path: '/tasks',
      headers: {
        'Content-Type': 'application/json',
        Tenant: encodeURIComponent(this.tenant),
        'Idempotency-Key': key,
      },
      body: JSON.stringify({ taskClass: this.taskClass, payload: this.payload }),
    });
    const task = readAnswer(ANY_OBJECT, answer);
    if (!task.ok) return this.fail(task.val);
    this.print(...(this.json ? [JSON.stringify(task.val)] : writeObject(task.val)));
    return EXIT_CODES.ok;
  }
}
