/**
 * `outage start`.
 */
import { Command } from 'clipanion';
import type { EntryClient } from '../entryClient.js';
import type { ExitCode } from '../exitCode.js';
import { OutageCommand } from '../outageCommand.js';

/** Takes a data centre out. */
export class OutageStart extends OutageCommand {
  static override paths = [['outage', 'start']];

  static override usage = Command.Usage({
    category: 'Outages',
    description: 'Take a data centre out: within seconds no task starts there',
    details: 'An edit of the published files and a publish, nothing else.',
    examples: [['Take Timaru out', '$0 outage start Timaru --why "The river gate closes"']],
  });

  override run(client: EntryClient): Promise<ExitCode> {
    return this.change(client, 'start');
  }
}
