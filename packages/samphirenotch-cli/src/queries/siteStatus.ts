/**
 * `status`.
 */
import { Command } from 'clipanion';
import type { EntryClient } from '../entryClient.js';
import type { ExitCode } from '../exitCode.js';
import { ObjectQuery } from '../objectQuery.js';

/** Shows what an entry knows of the site. */
export class SiteStatus extends ObjectQuery {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'Status',
    description: 'Show entries, shards and owners, workers, and the configuration in force',
    examples: [['Show', '$0 status']],
  });

  override run(client: EntryClient): Promise<ExitCode> {
    return this.show(client, '/status');
  }
}
