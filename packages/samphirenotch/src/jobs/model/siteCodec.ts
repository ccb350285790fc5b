/**
 * Decodes what workers and operators write to the store. The format belongs to the site, not to
 * this library.
 */
import type { WorkerDescription } from '../../infrastructure/taskWorker.js';

import type { SiteConfiguration } from './siteConfiguration.js';

/** An item that operators wrote: a configuration, or the evacuation of a data centre. */
export type OperatorItem =
  | { readonly kind: 'configuration'; readonly configuration: SiteConfiguration }
  | { readonly kind: 'evacuation'; readonly dataCentre: string };

/** Decodes items of workers and operators. */
export interface SiteCodec {
  /** Key prefix of the descriptions that workers write of themselves. */
  readonly workersPrefix: string;
  /** Key prefix of items that operators write. */
  readonly operatorPrefix: string;
  /** Decodes the description of a worker; undefined if the item describes no usable worker. */
  readWorker(key: string, value: string): WorkerDescription | undefined;
  /**
   * Removes from the description of a worker what changes with each heartbeat alone. Descriptions that
   * are equal without it decode to the same.
   */
  withoutHeartbeat(value: string): string;
  /** Decodes an item of operators; undefined if it does not concern the scheduler. */
  readOperatorItem(key: string, value: string): OperatorItem | undefined;
}
