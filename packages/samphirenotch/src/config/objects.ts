/**
 * The named objects that operators write. They refer to one another by name.
 */
import type { Size } from '../infrastructure/worker.js';

/** What every object tells a successor. */
export interface Description {
  readonly name: string;
  readonly owner: string;
  readonly why: string;
  readonly runbook: string;
}

/** A data centre of the site. */
export interface DataCentre extends Description {
  readonly region: string;
  /** Number of job partitions that have their home here. */
  readonly partitions: number;
}

/** A service that answers requests. */
export interface Service extends Description {
  readonly dataCentres: readonly string[];
  /** Room set aside per worker for requests. */
  readonly reservedSize: Size;
}

/** How the class's work is reached: by requests, or as tasks that run to an end or until stopped. */
export type TaskClassKind = 'request' | 'batch' | 'watcher';

/** What becomes of work in a data centre that is cut off from the owner of its job. */
export type PartitionPolicy = 'keep' | 'restart';

/** A class of requests or tasks. */
export interface TaskClass extends Description {
  readonly kind: TaskClassKind;
  readonly service: string;
  readonly dataCentres: readonly string[];
  /** Higher is more urgent. */
  readonly priority: number;
  readonly idempotent: boolean;
  readonly size: Size;
  readonly deadlineMs: number;
  readonly onPartition: PartitionPolicy;
  /** How often an attempt that fails is tried, at most. */
  readonly maximumAttempts: number;
}

/** A customer team. */
export interface Tenant extends Description {
  /** Share of contended capacity relative to other tenants. */
  readonly weight: number;
  readonly limit: string;
  readonly quota: string;
}

/** Bounds of requests. */
export interface Limit extends Description {
  readonly requestsPerSecond: number;
  readonly queuedRequests: number;
  readonly bodyBytes: number;
  /** Limit that this one must stay within, if any. */
  readonly within?: string;
  /** Most that quotas under this limit may allow, where set. */
  readonly runningTasks?: number;
  readonly queuedTasks?: number;
  readonly total?: Size;
}

/** Bounds of tasks. */
export interface Quota extends Description {
  readonly runningTasks: number;
  readonly queuedTasks: number;
  readonly total: Size;
  /** Limit that the quota must stay within, if any. */
  readonly limit: string;
}

/** A data centre that operators took out. */
export interface Outage extends Description {
  readonly dataCentre: string;
}

/** One consistent set of objects, as accepted. */
export interface ConfigurationSet {
  /** Rises by one with each accepted set. */
  readonly version: number;
  /** Digest of the content. */
  readonly digest: string;
  readonly dataCentres: ReadonlyMap<string, DataCentre>;
  readonly services: ReadonlyMap<string, Service>;
  readonly taskClasses: ReadonlyMap<string, TaskClass>;
  readonly tenants: ReadonlyMap<string, Tenant>;
  readonly limits: ReadonlyMap<string, Limit>;
  readonly quotas: ReadonlyMap<string, Quota>;
  readonly outages: ReadonlyMap<string, Outage>;
}

/**
 * Tells whether operators have taken a data centre out.
 *
 * @param set - the configuration
 * @param dataCentre - name of the data centre
 * @returns true if an outage names it
 */
export const isOut = (set: ConfigurationSet, dataCentre: string): boolean =>
  [...set.outages.values()].some((outage) => outage.dataCentre === dataCentre);
