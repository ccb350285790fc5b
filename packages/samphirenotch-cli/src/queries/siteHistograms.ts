/**
 * `histograms`.
 */
import { Command, Option } from 'clipanion';
import {
  summarizeSeries,
  type EncodedSeries,
  type Grouping,
} from 'samphirenotch/observability/histogramSummary.js';
import { HISTOGRAMS, readAnswer } from '../answers.js';
import { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';
import { writeTable } from '../table.js';

const GROUPINGS: readonly Grouping[] = ['tenant', 'class', 'data-centre'];

/** Shows histograms. */
export class SiteHistograms extends EntryCommand {
  static override paths = [['histograms']];

  static override usage = Command.Usage({
    category: 'Status',
    description: 'Show how long requests and starts took, as percentiles in milliseconds',
    details: 'Histograms of all entries given with --entry are added.',
    examples: [
      ['By class', '$0 histograms --by class'],
      [
        'By data centre, of two entries',
        '$0 histograms --by data-centre --entry http://127.0.0.1:8001,http://127.0.0.1:8002',
      ],
    ],
  });

  by = Option.String('--by', 'class', { description: GROUPINGS.join(', ') });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(client: EntryClient): Promise<ExitCode> {
    const grouping = GROUPINGS.find((each) => each === this.by);
    if (!grouping) {
      const lines = [`--by takes one of: ${GROUPINGS.join(', ')}.`];
      return this.fail({ exitCode: EXIT_CODES.usage, lines });
    }
    const series: EncodedSeries[] = [];
    const clients = client.addresses.map((address) => new EntryClient([address]));
    for (const each of clients.length > 0 ? clients : [client]) {
      const answer = await each.json({ method: 'GET', path: '/histograms' });
      const histograms = readAnswer(HISTOGRAMS, answer);
      if (!histograms.ok) return this.fail(histograms.val);
      series.push(...histograms.val.series);
    }
    const summaries = summarizeSeries(series, grouping);
    const rows = summaries.map((summary) => ({ ...summary }));
    if (this.json) this.print(JSON.stringify(summaries));
    else this.print(...(rows.length > 0 ? writeTable(rows) : ['Nothing was measured yet.']));
    return EXIT_CODES.ok;
  }
}
