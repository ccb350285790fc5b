/**
 * What starting and ending an outage have in common.
 */
import { Option } from 'clipanion';
import type { EntryClient } from './entryClient.js';
import { EXIT_CODES, type ExitCode } from './exitCode.js';
import { PublishCommand } from './publishCommand.js';

/** A command that changes whether a data centre is out. */
export abstract class OutageCommand extends PublishCommand {
  dataCentre = Option.String({ name: 'DATA-CENTRE' });

  protected async change(client: EntryClient, change: 'start' | 'end'): Promise<ExitCode> {
    const body = { dataCentre: this.dataCentre.normalize('NFC'), change };
    const published = await this.publish(client, '/configuration/outages', body);
    return published.ok ? EXIT_CODES.ok : this.fail(published.val);
  }
}
