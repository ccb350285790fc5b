import test from 'ava';
import { FULL_OFFER } from 'samphirenotch-stand-ins/memoryWorker.js';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

import { workerListing } from '../fixtures/platform.js';
import {
  brokenRules,
  placementWish,
  SHARD,
  shardEntry,
  shardSite,
  startIn,
  untilOpen,
  type ShardEntry,
  type ShardSite,
} from '../fixtures/shardSite.js';

/** More seeds with `SCHEDULE_SEEDS=40 npx ava '.build/tests/shards/schedule.spec.js'`. */
const SEEDS = Array.from(
  { length: Number(process.env['SCHEDULE_SEEDS'] ?? 4) },
  (_, index) => index + 1,
);
const STEPS = 80;
const STEP_MS = 400;
const SIZE = { milliCores: 5000, memoryMb: 20_000, accelerators: 0 };

interface Run {
  readonly site: ShardSite;
  readonly entries: ShardEntry[];
  readonly random: SeededRandom;
  readonly made: string[];
  /** Attempts that were said not to have run. */
  readonly notRun: Set<string>;
}

const pick = <T>(random: SeededRandom, items: readonly T[]): T => {
  const item = items[random.below(items.length)];
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
};

const addEntry = ({ site, entries, made }: Run): void => {
  const id = `e${made.length + 1}`;
  made.push(id);
  entries.push(shardEntry(site, id));
};

/** One fault, or the end of one. */
const disturb = (run: Run): void => {
  const { random, site, entries } = run;
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
      addEntry(run);
    },
  ];
  pick(random, faults)();
};

/** Lets each entry that runs place and stop work, without waiting for the outcome. */
const work = (run: Run, step: number): void => {
  const { random, site, entries } = run;
  entries
    .filter(({ link }) => !link.frozen)
    .forEach(async (entry) => {
      const attemptId = `${entry.id}-${step}`;
      const wish = placementWish({ attemptId, jobId: attemptId, declaredSize: SIZE });
      const outcome = await entry.local.reserve(SHARD, wish);
      if (outcome.ok && outcome.val.kind === 'reserved') {
        const started = await startIn(site, entry, outcome.val.reservation, wish);
        if (started.err && started.val.effect === 'not-run') run.notRun.add(attemptId);
      }
    });
  const running = entries.flatMap((entry) =>
    (entry.handler.ownerOf(SHARD)?.workers() ?? []).flatMap(({ owned, stops }) =>
      [...owned.attempts.keys()].map((attemptId) => ({ stops, attemptId })),
    ),
  );
  if (running.length === 0 || random.below(3) > 0) return;
  const { stops, attemptId } = pick(random, running);
  const signal = new AbortController().signal;
  stops.stop(attemptId, true, { deadlineMs: site.clock.monotonicMs() + 1000, signal });
};

const heal = ({ site, entries }: Run): void => {
  entries.forEach(({ link }) => {
    Object.assign(link, { frozen: false, cut: false, answerDelayMs: 0 });
  });
  Object.assign(site.store.faults, { down: false, loseAnswers: 0 });
  site.workers.forEach(({ faults }) => Object.assign(faults, { silent: false, loseAnswers: 0 }));
};

for (const refusesOlderEpochs of [true, false]) {
  const kind = refusesOlderEpochs ? 'refuse' : 'do not refuse';

  for (const seed of SEEDS) {
    test(`should hold capacity under random faults where workers ${kind} old epochs, seed ${seed}`, async (t) => {
      const listings = [workerListing(), workerListing({ id: 'w2' })];
      const site = shardSite(listings, { ...FULL_OFFER, refusesOlderEpochs });
      const run: Run = {
        site,
        entries: [],
        random: new SeededRandom(seed),
        made: [],
        notRun: new Set(),
      };
      addEntry(run);
      addEntry(run);
      addEntry(run);
      let certain = 0;
      for (let step = 0; step < STEPS; step += 1) {
        if (run.random.below(4) === 0) disturb(run);
        if (run.random.below(12) === 0) heal(run);
        work(run, step);
        await site.clock.advance(STEP_MS);
        const owners = run.entries.filter((entry) => entry.ownership.grantOf(SHARD)?.isCertain());
        certain = Math.max(certain, owners.length);
      }
      heal(run);
      await site.clock.advance(20_000);
      const [owner] = run.entries.filter((entry) => entry.ownership.grantOf(SHARD)?.isCertain());
      if (!owner) return t.fail('nobody owns the shard after everything healed');
      await untilOpen(site, owner);
      t.is(certain, 1);
      const { events } = site.history;
      t.deepEqual(brokenRules(site), []);
      const started = new Set(
        events.filter((event) => event.kind === 'attempt-started').map((event) => event.attemptId),
      );
      t.deepEqual(
        [...run.notRun].filter((attemptId) => started.has(attemptId)),
        [],
        'not run means not run',
      );
      return t.true(started.size > 2, `only ${started.size} attempts started`);
    });
  }
}
