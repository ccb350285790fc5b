/**
 * Workers that come and go: releases, workers that are taken away for a while, and workers that others
 * replace at their address.
 */
import type { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

import type { PromiseChecker } from './promiseChecker.js';
import type { Linked, SoakSite } from './soakSite.js';
import type { WorkerStandIn } from './workerStandIn.js';

/** Time that a worker still serves after it has said that it drains, in milliseconds. */
const DRAIN_MS = 4_000;

/** Longest time that it serves beyond that, in milliseconds. */
const LONGER_MS = 2_000;

/** Longest time without a worker that was taken away, in milliseconds. */
const AWAY_MS = 8_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

class WorkerChanges {
  private readonly leaving = new Set<Linked<WorkerStandIn>>();

  constructor(
    private readonly site: SoakSite,
    private readonly checker: PromiseChecker,
    private readonly random: SeededRandom,
  ) {}

  async change(): Promise<void> {
    const { site, random, checker } = this;
    const kind = random.below(3);
    const at = random.below(site.workers.length);
    const spareMs = random.below(LONGER_MS);
    const awayMs = random.below(AWAY_MS);
    const worker = site.workers[at];
    if (!worker || worker.end.drainingSinceMs !== undefined || this.leaving.has(worker)) return;
    checker.disturbed();
    if (kind === 0) {
      site.replaceWorker(worker.end, LONGER_MS);
      return;
    }
    const { index } = worker.end.options;
    if (kind === 1) {
      await site.addWorker(index);
      site.beat();
    }
    await this.drain(worker, spareMs);
    if (kind === 1) return;
    await sleep(awayMs);
    await site.addWorker(index);
  }

  private async drain(worker: Linked<WorkerStandIn>, spareMs: number): Promise<void> {
    const { site, checker } = this;
    const drained = worker.end;
    this.leaving.add(worker);
    drained.drainingSinceMs = checker.nowMs();
    site.beat();
    await sleep(DRAIN_MS + spareMs);
    site.removeWorker(worker);
    this.leaving.delete(worker);
    checker.disturbed();
  }
}

/**
 * Changes workers until told to stop, and waits until all changes have ended.
 *
 * @param site - the site
 * @param checker - hears that gangs may be disturbed
 * @param random - source of random numbers
 * @param gapMs - mean time between two changes, in milliseconds
 * @param isOver - tells whether no more changes are to come
 */
export const changeWorkers = async (
  site: SoakSite,
  checker: PromiseChecker,
  random: SeededRandom,
  gapMs: number,
  isOver: () => boolean,
): Promise<void> => {
  const changes = new WorkerChanges(site, checker, random);
  const pending: Promise<void>[] = [];
  while (!isOver()) {
    await sleep(random.exponential(gapMs));
    pending.push(changes.change());
  }
  await Promise.all(pending);
};
