/**
 * What the demonstration does at each site.
 */
import type { LoadPlan } from 'samphirenotch-stand-ins/site/loadPlan.js';
import { COUNCIL, KOVACIK, type SitePlan } from 'samphirenotch-stand-ins/site/sitePlan.js';

/** A site with its load and its events. */
export interface DemoSite extends LoadPlan {
  readonly plan: SitePlan;
  /** Directory of its configuration, below `examples/`. */
  readonly example: string;
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
