/**
 * What the library has to know of how others write to the store: where workers and operators write,
 * and how their items are read.
 */
import type { WorkerDescription } from '../../infrastructure/taskWorker.js';

import type { SiteConfiguration } from './siteConfiguration.js';

/** An item that operators wrote. */
export type OperatorItem =
  | { readonly kind: 'configuration'; readonly configuration: SiteConfiguration }
  | { readonly kind: 'evacuation'; readonly dataCentre: string };

/** Reads items of workers and operators. */
export interface SiteCodec {
  /** Prefix under which workers describe themselves. */
  readonly workersPrefix: string;
  /** Prefix under which operators write. */
  readonly operatorPrefix: string;
  /** Returns undefined for an item that names no worker to use. */
  readWorker(key: string, value: string): WorkerDescription | undefined;
  /** Returns undefined for an item that asks for nothing that the scheduler does. */
  readOperatorItem(key: string, value: string): OperatorItem | undefined;
}
