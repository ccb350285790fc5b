/**
 * Divides the site into shares at its first start.
 */
import { rendezvousScore } from '../../membership/rendezvous.js';
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import { planShares } from '../model/layoutPlan.js';
import type { SiteCodec } from '../model/siteCodec.js';
import { LAYOUT_KEY } from '../store/jobKeys.js';
import type { ShareDirectory } from '../store/shareDirectory.js';
import { applyItem } from '../store/storeFollower.js';

/** Timeout of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

/** Shortest interval at which the layout is polled, in milliseconds. */
const POLL_MS = 100;

/**
 * Longest delay of an entry on a slow VM, as a multiple of the settle time: the entry that plans
 * sizes shares by its own speed, so the fastest entry should plan.
 */
const SLOW_VM_DELAY_FACTOR = 1.5;

/** Time between two counts of the workers, as a fraction of the settle time. */
const COUNT_INTERVAL_FACTOR = 1 / 3;

/** Spread of the delays of entries, as a multiple of the settle time: one planner is enough. */
const ENTRY_SPREAD_FACTOR = 0.25;

/**
 * Time after the first workers at which the site is planned even if more keep coming, as a multiple
 * of the settle time.
 */
const MAX_SETTLE_FACTOR = 3;

/** Settings and collaborators of a `LayoutInitializer`. */
export interface LayoutInitializerOptions {
  readonly store: TransactionStore;
  readonly shares: ShareDirectory;
  readonly codec: SiteCodec;
  readonly clock: Clock;
  /** Settle time: how long workers have to register at the first start, in milliseconds. */
  readonly settleMs: number;
  /** All data centres of the site; undefined if they are not known. */
  readonly siteDataCentres?: ReadonlySet<string> | undefined;
  /** Name of this entry. */
  readonly entry: string;
  /** CPU of the entry's VM, as a fraction of a core of usual speed. */
  readonly processorShare: number;
  /** Returns whether the store was read, since it may hold a layout already. */
  readonly isRead: () => boolean;
}

const isSame = (one: ReadonlyMap<string, number>, other: ReadonlyMap<string, number>): boolean =>
  one.size === other.size && [...one].every(([name, count]) => other.get(name) === count);

/** Writes the layout of the shares unless there is one already. */
export class LayoutInitializer {
  private readonly log = partLog('shares');

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: LayoutInitializerOptions) {}

  /**
   * Waits until the layout is known; plans it if no other entry does.
   *
   * @param signal - ends the wait
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, shares, settleMs, isRead } = this.options;
    await this.waitForTurn(signal);
    let firstWorkersMs = Number.POSITIVE_INFINITY;
    let previousWorkers = new Map<string, number>();
    while (!shares.layout && !signal.aborted) {
      const workers = isRead() ? await this.countWorkers(signal) : undefined;
      if (workers && workers.size > 0) {
        firstWorkersMs = Math.min(firstWorkersMs, clock.monotonicMs());
        const isLate = clock.monotonicMs() >= firstWorkersMs + MAX_SETTLE_FACTOR * settleMs;
        const isSettled = isSame(workers, previousWorkers);
        if (!shares.layout && (isSettled || isLate)) await this.plan(workers, signal);
        previousWorkers = workers;
      }
      await this.waitForLayout(Math.max(POLL_MS, COUNT_INTERVAL_FACTOR * settleMs), signal);
    }
  }

  private async waitForTurn(signal: AbortSignal): Promise<void> {
    const { settleMs, entry, processorShare } = this.options;
    const slowMs = SLOW_VM_DELAY_FACTOR * settleMs * (1 - Math.min(1, processorShare));
    const spreadMs = ENTRY_SPREAD_FACTOR * settleMs * (1 - rendezvousScore(LAYOUT_KEY, entry));
    await this.waitForLayout(settleMs + slowMs + spreadMs, signal);
  }

  /**
   * Polls often, since an entry that notices the layout late is a late candidate for its shares.
   */
  private async waitForLayout(maxWaitMs: number, signal: AbortSignal): Promise<void> {
    const { clock, shares } = this.options;
    const untilMs = clock.monotonicMs() + maxWaitMs;
    while (!shares.layout && clock.monotonicMs() < untilMs && !signal.aborted) {
      await clock.sleep(Math.min(POLL_MS, untilMs - clock.monotonicMs()), signal);
    }
  }

  private async countWorkers(signal: AbortSignal): Promise<Map<string, number> | undefined> {
    const { store, codec, clock } = this.options;
    const call = callWithin(clock, CALL_TIMEOUT_MS, signal);
    const listing = await store.list(codec.workersPrefix, call);
    if (listing.err) return undefined;
    const workers = new Map<string, number>();
    listing.val.items.forEach(({ key, value }) => {
      applyItem(key, () => {
        const dataCentre = codec.readWorker(key, value)?.dataCentre;
        if (dataCentre !== undefined) workers.set(dataCentre, (workers.get(dataCentre) ?? 0) + 1);
      });
    });
    return workers;
  }

  private async plan(workers: ReadonlyMap<string, number>, signal: AbortSignal): Promise<void> {
    const { store, clock, processorShare, siteDataCentres: dataCentres } = this.options;
    const layout = planShares({ workers, dataCentres, processorShare });
    const outcome = await store.commit(
      {
        expectations: [{ key: LAYOUT_KEY, revision: 0 }],
        writes: [{ key: LAYOUT_KEY, value: layout.encode() }],
        removals: [],
      },
      callWithin(clock, CALL_TIMEOUT_MS, signal),
    );
    this.log.info('Shares were planned', {
      workers: [...workers].map(([name, count]) => `${name} ${count}`).join(', '),
      processorShare,
      shares: layout.shares.length,
      outcome: outcome.ok ? outcome.val.kind : outcome.val.message,
    });
  }
}
