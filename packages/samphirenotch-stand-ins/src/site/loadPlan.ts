/**
 * What a mixed load consists of.
 */

/** Requests of one class, sent at a steady rate. */
export interface RequestLoad {
  readonly taskClass: string;
  readonly tenant: string;
  readonly perSecond: number;
  readonly serviceMs: number;
  /** Each request carries an idempotency key of its own. */
  readonly keyed: boolean;
  readonly waitSeconds: number;
}

/** Batch tasks of one class, submitted at a steady rate. */
export interface TaskLoad {
  readonly taskClass: string;
  readonly tenant: string;
  readonly perSecond: number;
  /** Work of a task, from and up to, in milliseconds. */
  readonly shortestMs: number;
  readonly longestMs: number;
}

/** Standing watchers, started at the beginning and cleared at the end. */
export interface WatcherLoad {
  readonly taskClass: string;
  readonly tenant: string;
  readonly count: number;
}

/** A mixed load. */
export interface LoadPlan {
  readonly service: string;
  readonly requests: readonly RequestLoad[];
  readonly tasks: TaskLoad;
  readonly watchers: WatcherLoad;
}
