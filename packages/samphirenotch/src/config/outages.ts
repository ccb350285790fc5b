/**
 * Takes data centres out and brings them back: an edit and a publish, nothing else.
 */
import type { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { CheckContext } from './checker.js';
import type { ConfigurationFiles } from './draft.js';
import type { History } from './history.js';
import { findOutage, withOutage, withoutOutage } from './outageEdit.js';
import type { Publication, Published, PublishRefusal } from './publication.js';
import type { Publisher } from './publisher.js';

/** What is to become of a data centre. */
export type OutageChange = 'start' | 'end';

const MOST_TRIES = 50;

type Outcome<T> = Result<T, PublishRefusal>;
type Edit = (files: ConfigurationFiles) => Outcome<ConfigurationFiles>;

const failed = (failure: Failure): PublishRefusal => ({ kind: 'failed', failure });

const conflict = (message: string): PublishRefusal => ({ kind: 'conflict', message, changed: [] });

/** Starts and ends outages. */
export class Outages {
  /**
   * @param publisher - publishes the edited files
   * @param history - reads the accepted files
   */
  constructor(
    private readonly publisher: Publisher,
    private readonly history: History,
  ) {}

  /**
   * Takes a data centre out or brings it back. Goes on when other objects change meanwhile, and
   * loses when somebody else changed the same outage.
   *
   * @param change - what is to be done
   * @param dataCentre - name of the data centre
   * @param publication - who does it and why
   * @param context - what the edited files are checked against; capacities of workers are left out,
   *   because an outage must not wait for them
   * @param call - deadline and cancellation
   * @returns the accepted record, or why nothing was published
   */
  async change(
    change: OutageChange,
    dataCentre: string,
    publication: Publication,
    context: CheckContext,
    call: Call,
  ): Promise<Outcome<Published>> {
    const edit: Edit = (files) =>
      change === 'start' ? this.start(files, dataCentre, publication) : this.end(files, dataCentre);
    for (let tries = 1; ; tries += 1) {
      const outcome = await this.publishEdit(edit, publication, { ...context, workers: [] }, call);
      if (outcome.ok || tries === MOST_TRIES || call.signal.aborted) return outcome;
      const refusal = outcome.val;
      if (refusal.kind !== 'conflict' || refusal.current === undefined) return outcome;
      const isSame = refusal.changed.some(({ object }) => object === `outage ${dataCentre}`);
      if (isSame) return outcome;
    }
  }

  private async publishEdit(
    edit: Edit,
    publication: Publication,
    context: CheckContext,
    call: Call,
  ): Promise<Outcome<Published>> {
    const root = await this.history.root(call);
    if (!root.ok) return Err(failed(root.val));
    const { record } = root.val;
    if (!record) return Err(conflict('nothing was published yet'));
    const files = await this.history.files(record.digest, call);
    if (!files.ok) return Err(failed(files.val));
    const edited = edit(files.val);
    if (!edited.ok) return edited;
    const { publishedBy, why } = publication;
    const request = { files: edited.val, baseVersion: record.version, publishedBy, why };
    return this.publisher.publish(request, context, call);
  }

  private start(
    files: ConfigurationFiles,
    dataCentre: string,
    publication: Publication,
  ): Outcome<ConfigurationFiles> {
    const outage = findOutage(files, dataCentre);
    if (!outage) return Ok(withOutage(files, dataCentre, publication));
    const { owner, why } = outage.value;
    return Err(conflict(`${dataCentre} is out already, by ${owner}: ${why}`));
  }

  private end(files: ConfigurationFiles, dataCentre: string): Outcome<ConfigurationFiles> {
    const outage = findOutage(files, dataCentre);
    if (outage) return Ok(withoutOutage(files, outage));
    return Err(conflict(`${dataCentre} is not out`));
  }
}
