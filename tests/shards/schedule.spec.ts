import test from 'ava';
import { FULL_OFFER } from 'samphirenotch-stand-ins/memoryWorker.js';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

import { workerListing } from '../fixtures/platform.js';
import {
  violatedRules,
  placementRequest,
  SHARD,
  shardEntry,
  shardSite,
  startReserved,
  untilAcceptingWork,
  type ShardEntry,
  type ShardSite,
} from '../fixtures/shardSite.js';

/** Run more seeds with `SCHEDULE_SEEDS=40 npx ava '.build/tests/shards/schedule.spec.js'`. */
const SEEDS = Array.from(
  { length: Number(process.env['SCHEDULE_SEEDS'] ?? 4) },
  (_, index) => index + 1,
);
const STEPS = 80;
const STEP_MS = 400;
const SIZE = { milliCores: 5000, memoryMb: 20_000, accelerators: 0 };

interface Scenario {
  readonly site: ShardSite;
  /** Entries that were not ended; they may be paused or cut off. */
  readonly entries: ShardEntry[];
  readonly random: SeededRandom;
  /** Ids of all entries made so far, including those that were ended. */
  readonly entryIds: string[];
  /** Ids of attempts whose start failed with the effect `not-run`. */
  readonly notRun: Set<string>;
}

const pick = <T>(random: SeededRandom, items: readonly T[]): T => {
  const item = items[random.below(items.length)];
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
};

const addEntry = ({ site, entries, entryIds }: Scenario): void => {
  const id = `e${entryIds.length + 1}`;
  entryIds.push(id);
  entries.push(shardEntry(site, id));
};

/** Injects a random fault, or ends it if it is already present. */
const injectFault = (scenario: Scenario): void => {
  const { random, site, entries } = scenario;
  const entry = pick(random, entries);
  const worker = pick(random, [...site.workers.values()]);
  const faults: readonly (() => void)[] = [
    () => {
      entry.link.frozen = !entry.link.frozen;
    },
    () => {
      entry.link.cut = !entry.link.cut;
    },
    () => {
      entry.link.answerDelayMs = entry.link.answerDelayMs > 0 ? 0 : 300;
    },
    () => {
      site.store.faults.down = !site.store.faults.down;
    },
    () => {
      site.store.faults.loseAnswers += 2;
    },
    () => {
      worker.faults.silent = !worker.faults.silent;
    },
    () => {
      worker.faults.loseAnswers += 2;
    },
    () => {
      entry.kill();
      entries.splice(entries.indexOf(entry), 1);
      addEntry(scenario);
    },
  ];
  pick(random, faults)();
};

/**
 * Lets each entry that is not paused start an attempt, and stops a random attempt now and then.
 * Does not wait for the outcomes.
 */
const placeAndStop = (scenario: Scenario, step: number): void => {
  const { random, site, entries } = scenario;
  entries
    .filter(({ link }) => !link.frozen)
    .forEach(async (entry) => {
      const attemptId = `${entry.id}-${step}`;
      const request = placementRequest({ attemptId, jobId: attemptId, declaredSize: SIZE });
      const outcome = await entry.local.reserve(SHARD, request);
      if (outcome.ok && outcome.val.kind === 'reserved') {
        const started = await startReserved(site, entry, outcome.val.reservation, request);
        if (started.err && started.val.effect === 'not-run') scenario.notRun.add(attemptId);
      }
    });
  const running = entries.flatMap((entry) =>
    (entry.handler.ownerOf(SHARD)?.workers() ?? []).flatMap(({ owned, stopCommands }) =>
      [...owned.attempts.keys()].map((attemptId) => ({ stopCommands, attemptId })),
    ),
  );
  if (running.length === 0 || random.below(3) > 0) return;
  const { stopCommands, attemptId } = pick(random, running);
  const signal = new AbortController().signal;
  stopCommands.stop(attemptId, true, { deadlineMs: site.clock.monotonicMs() + 1000, signal });
};

const clearFaults = ({ site, entries }: Scenario): void => {
  entries.forEach(({ link }) => {
    Object.assign(link, { frozen: false, cut: false, answerDelayMs: 0 });
  });
  Object.assign(site.store.faults, { down: false, loseAnswers: 0 });
  site.workers.forEach(({ faults }) => Object.assign(faults, { silent: false, loseAnswers: 0 }));
};

// Guards against combinations of faults that let two owners act at once, exceed the capacity of
// workers, or start an attempt that was reported as not run. Faults: pauses, cuts, slow and lost
// answers, outages of the store, silent workers and crashes.
for (const refusesOlderEpochs of [true, false]) {
  const kind = refusesOlderEpochs ? 'refuse' : 'do not refuse';

  for (const seed of SEEDS) {
    test(`should not exceed capacity under random faults where workers ${kind} old epochs, seed ${seed}`, async (t) => {
      const listings = [workerListing(), workerListing({ id: 'w2' })];
      const site = shardSite(listings, { ...FULL_OFFER, refusesOlderEpochs });
      const scenario: Scenario = {
        site,
        entries: [],
        random: new SeededRandom(seed),
        entryIds: [],
        notRun: new Set(),
      };
      addEntry(scenario);
      addEntry(scenario);
      addEntry(scenario);
      let maximumOwners = 0;
      for (let step = 0; step < STEPS; step += 1) {
        if (scenario.random.below(4) === 0) injectFault(scenario);
        if (scenario.random.below(12) === 0) clearFaults(scenario);
        placeAndStop(scenario, step);
        await site.clock.advance(STEP_MS);
        const owners = scenario.entries.filter((entry) =>
          entry.ownership.grantOf(SHARD)?.isCertain(),
        );
        maximumOwners = Math.max(maximumOwners, owners.length);
      }
      clearFaults(scenario);
      await site.clock.advance(20_000);
      const [owner] = scenario.entries.filter((entry) =>
        entry.ownership.grantOf(SHARD)?.isCertain(),
      );
      if (!owner) return t.fail('no entry owns the shard after all faults ended');
      await untilAcceptingWork(site, owner);
      t.is(maximumOwners, 1);
      const { events } = site.history;
      t.deepEqual(violatedRules(site), []);
      const started = new Set(
        events.filter((event) => event.kind === 'attempt-started').map((event) => event.attemptId),
      );
      t.deepEqual(
        [...scenario.notRun].filter((attemptId) => started.has(attemptId)),
        [],
        'an attempt reported as not run was started',
      );
      return t.true(started.size > 2, `only ${started.size} attempts started`);
    });
  }
}
