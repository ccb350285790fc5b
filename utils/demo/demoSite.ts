/**
 * What the demonstration does at each site.
 */
import { COUNCIL, KOVACIK, type SitePlan } from 'samphirenotch-stand-ins/site/sitePlan.js';

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

/** A site with its load and its events. */
export interface DemoSite {
  readonly plan: SitePlan;
  /** Directory of its configuration, below `examples/`. */
  readonly example: string;
  readonly service: string;
  readonly requests: readonly RequestLoad[];
  readonly tasks: TaskLoad;
  readonly watchers: WatcherLoad;
  /** Data centre that is taken out and brought back. */
  readonly outage: string;
  /** Data centre whose last entry is killed and replaced. */
  readonly killIn: string;
  /** Classes of requests that may run once only. */
  readonly onceClasses: ReadonlySet<string>;
}

/** The Council: price checks, bids, settlements, watchers of lots. */
const COUNCIL_DEMO: DemoSite = {
  plan: COUNCIL,
  example: 'council',
  service: 'spot-desk',
  requests: [
    {
      taskClass: 'price-check',
      tenant: 'growers',
      perSecond: 150,
      serviceMs: 5,
      keyed: false,
      waitSeconds: 1,
    },
    {
      taskClass: 'book-bid',
      tenant: 'maltsters',
      perSecond: 5,
      serviceMs: 10,
      keyed: true,
      waitSeconds: 2,
    },
  ],
  tasks: {
    taskClass: 'settlement',
    tenant: 'desk',
    perSecond: 6,
    shortestMs: 300,
    longestMs: 3000,
  },
  watchers: { taskClass: 'lot-watcher', tenant: 'growers', count: 12 },
  outage: 'Timaru',
  killIn: 'Rakaia',
  onceClasses: new Set(['book-bid']),
};

/** Kováčik: shift swaps, rota views, season plans, watches on animals. */
const KOVACIK_DEMO: DemoSite = {
  plan: KOVACIK,
  example: 'kovacik',
  service: 'rota-planner',
  requests: [
    {
      taskClass: 'shift-swap',
      tenant: 'keepers',
      perSecond: 10,
      serviceMs: 10,
      keyed: true,
      waitSeconds: 2,
    },
    {
      taskClass: 'rota-view',
      tenant: 'keepers',
      perSecond: 120,
      serviceMs: 5,
      keyed: false,
      waitSeconds: 1,
    },
  ],
  tasks: {
    taskClass: 'season-plan',
    tenant: 'curators',
    perSecond: 4,
    shortestMs: 1000,
    longestMs: 5000,
  },
  watchers: { taskClass: 'treatment-watch', tenant: 'vets', count: 12 },
  outage: 'Trnava',
  killIn: 'Nitra',
  onceClasses: new Set(['shift-swap']),
};

/** Sites by name. */
export const DEMO_SITES: Readonly<Record<string, DemoSite>> = {
  council: COUNCIL_DEMO,
  kovacik: KOVACIK_DEMO,
};
