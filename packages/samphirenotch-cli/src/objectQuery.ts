/**
 * What queries that show one object have in common.
 */
import { Option } from 'clipanion';
import { ANY_OBJECT, readAnswer } from './answers.js';
import type { EntryClient } from './entryClient.js';
import { EntryCommand } from './entryCommand.js';
import { EXIT_CODES, type ExitCode } from './exitCode.js';
import { writeObject } from './table.js';

/** A query that shows what an entry answers as one object. */
export abstract class ObjectQuery extends EntryCommand {
  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async show(client: EntryClient, path: string): Promise<ExitCode> {
    const object = readAnswer(ANY_OBJECT, await client.json({ method: 'GET', path }));
    if (!object.ok) return this.fail(object.val);
    this.print(...(this.json ? [JSON.stringify(object.val)] : writeObject(object.val)));
    return EXIT_CODES.ok;
  }
}
