/**
 * `outage end`.
 */
import { Command } from 'clipanion';
import type { EntryClient } from '../entryClient.js';
import type { ExitCode } from '../exitCode.js';
import { OutageCommand } from '../outageCommand.js';

/** Brings a data centre back. */
export class OutageEnd extends OutageCommand {
  static override paths = [['outage', 'end']];

  static override usage = Command.Usage({
    category: 'Outages',
    description: 'Bring a data centre back',
    details: 'An edit of the published files and a publish, nothing else.',
    examples: [['Bring Timaru back', '$0 outage end Timaru --why "The river is down"']],
  });

  override run(client: EntryClient): Promise<ExitCode> {
    return this.change(client, 'end');
  }
}
