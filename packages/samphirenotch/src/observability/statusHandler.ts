/**
 * What an entry knows of the site.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import type { HttpExchange, HttpHandler } from '../http/httpHandler.js';
import { answerRead } from './textAnswer.js';

/** A part that tells how it stands, such as entries, shards or workers. */
export interface StatusSource {
  /** Key under which it is shown. */
  readonly name: string;
  /** How it stands, as a value for JSON. */
  status(): unknown;
}

/** Whose status is served. */
export interface EntryIdentity {
  readonly id: string;
  readonly dataCentre: string;
}

/** Serves `/status`. */
export class StatusHandler implements HttpHandler {
  readonly prefix = '/status';

  /**
   * @param entry - this entry
   * @param configuration - the configuration in force
   * @param sources - what else is shown
   */
  constructor(
    private readonly entry: EntryIdentity,
    private readonly configuration: ConfigurationView,
    private readonly sources: readonly StatusSource[],
  ) {}

  async handle(exchange: HttpExchange): Promise<void> {
    answerRead(exchange, 'application/json', () => `${JSON.stringify(this.status())}\n`);
  }

  private status(): unknown {
    const { id, dataCentre } = this.entry;
    const shown = this.sources.map((source) => [source.name, source.status()]);
    const configuration = this.configurationStatus();
    return { entry: { id, dataCentre }, configuration, ...Object.fromEntries(shown) };
  }

  private configurationStatus(): unknown {
    const set = this.configuration.current();
    const ageMs = this.configuration.confirmedAgeMs();
    return {
      version: set?.version ?? 0,
      digest: set?.digest ?? '',
      confirmedAgeMs: Number.isFinite(ageMs) ? ageMs : null,
      outages: [...(set?.outages.values() ?? [])].map((outage) => outage.dataCentre),
    };
  }
}
