/**
 * Follows the configuration and the evacuations that operators write to the store.
 */
import type { KeyValue } from '../../infrastructure/keyValueStore.js';
import { partLog } from '../../observability/log.js';

import type { SiteCodec } from '../model/siteCodec.js';
import type { OperatorView, SiteConfiguration } from '../model/siteConfiguration.js';
import { applyItem, type StoreListener } from './storeFollower.js';

/** Holds the newest configuration and the evacuated data centres. */
export class OperatorFollower implements StoreListener {
  private readonly log = partLog('operator');

  private configuration: SiteConfiguration | undefined;

  private readonly evacuations = new Map<string, string>();

  private callback: (() => void) | undefined;

  /**
   * @param codec - decodes items
   */
  constructor(private readonly codec: SiteCodec) {}

  /** @returns the newest configuration and the evacuated data centres */
  view(): OperatorView {
    return {
      configuration: this.configuration,
      evacuated: new Set(this.evacuations.values()),
    };
  }

  /**
   * Sets a callback for changes.
   *
   * @param callback - called after each change
   */
  whenChanged(callback: () => void): void {
    this.callback = callback;
  }

  onListing(items: readonly KeyValue[]): void {
    const present = new Set(items.map(({ key }) => key));
    [...this.evacuations.keys()]
      .filter((key) => !present.has(key))
      .forEach((key) => this.onChange(key, undefined));
    items.forEach(({ key, value }) => applyItem(key, () => this.onChange(key, value)));
  }

  onChange(key: string, value: string | undefined): void {
    if (value === undefined) {
      const dataCentre = this.evacuations.get(key);
      if (dataCentre === undefined) return;
      this.evacuations.delete(key);
      this.log.info('The evacuation of a data centre has ended', { dataCentre });
      this.callback?.();
      return;
    }
    const item = this.codec.readOperatorItem(key, value);
    if (!item) return;
    if (item.kind === 'evacuation') this.evacuate(key, item.dataCentre);
    else this.configure(item.configuration);
    this.callback?.();
  }

  onCaughtUp(): void {}

  private evacuate(key: string, dataCentre: string): void {
    if (this.evacuations.has(key)) return;
    this.evacuations.set(key, dataCentre);
    this.log.info('A data centre is evacuated', { dataCentre });
  }

  private configure(configuration: SiteConfiguration): void {
    const known = this.configuration?.version ?? 0;
    if (configuration.version <= known) return;
    this.configuration = configuration;
    this.log.info('A configuration is in force', {
      version: configuration.version,
      former: known,
      queues: configuration.queues.length,
    });
  }
}
