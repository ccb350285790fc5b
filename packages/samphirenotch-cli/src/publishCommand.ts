/**
 * What all commands that publish have in common.
 */
import { Option } from 'clipanion';
import { Ok, type Result } from 'samphirenotch/results.js';
import { PUBLISHED, readAnswer, type VersionRecord } from './answers.js';
import type { CliProblem } from './cliProblem.js';
import type { EntryClient } from './entryClient.js';
import { EntryCommand } from './entryCommand.js';
import { withProgress } from './progress.js';
import { whenInForce } from './whenInForce.js';

/** A command that publishes. */
export abstract class PublishCommand extends EntryCommand {
  why = Option.String('--why', {
    required: true,
    description: 'Why, for whoever reads the history later',
  });

  by = Option.String('--by', { description: 'Who publishes; your user name by default' });

  /** Publishes and tells what became of it. */
  protected async publish(
    client: EntryClient,
    path: string,
    body: Readonly<Record<string, unknown>>,
  ): Promise<Result<VersionRecord, CliProblem>> {
    const publishedBy = this.author(this.by);
    if (!publishedBy.ok) return publishedBy;
    const sent = { ...body, publishedBy: publishedBy.val, why: this.why };
    const answer = await withProgress(
      client.post(path, sent),
      'Publishing; the platform is slow to answer.',
      (line) => this.note(line),
    );
    const published = readAnswer(PUBLISHED, answer);
    if (!published.ok) return published;
    const { isNew, record } = published.val;
    this.print(
      isNew
        ? `Accepted as version ${record.version}.`
        : `Nothing changed: version ${record.version}.`,
    );
    if (isNew) this.note(await whenInForce(client, record.version));
    return Ok(record);
  }
}
