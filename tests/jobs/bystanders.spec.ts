/**
 * What entries that own nothing cost: most entries of a large site.
 */
import test from 'ava';
import { ShareLayout } from 'samphirenotch/jobs/model/shareLayout.js';
import { ACCEPTED_PREFIX, keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';
import {
  encodeClaim,
  encodeOwner,
  ShareDirectory,
} from 'samphirenotch/jobs/store/shareDirectory.js';
import { StoreFollower } from 'samphirenotch/jobs/store/storeFollower.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { JobSite, makeDividedSite, makeJob, makeStep } from '../fixtures/jobSite.js';
import { MemoryStoreData, MemoryTransactionStore } from '../fixtures/memoryTransactionStore.js';

const idOf = (at: number): string => at.toString(16).padStart(16, '0');

/** Callers accept counts of jobs that are 2 s old; an entry reads a few times in that. */
const READS_IN_2_S = 4;

/** The operator's settings are read once a second. */
const OTHER_READS_IN_2_S = 3;

/** Processors of VMs in one site, as shares of a core. */
const FAST = 1.35;
const SLOW = 0.186;

/** Jobs that are handed in at once. */
const JOBS = 24;

/** Time into a pause between two reads there. */
const SLOW_NEWS_MS = 50;

/** Time in which news gather, and between two pieces of them, in milliseconds. */
const GATHER_MS = 200;
const NEWS_MS = 5;

const makeSite = async () => {
  const site = new JobSite();
  const owner = site.start('a', false, FAST);
  await site.run(600);
  const bystander = site.start('b', false, SLOW);
  await site.run(400);
  return { site, owner, bystander };
};

// Guards against a large site whose many idle entries take more processor time than those that decide.
test('should read news of jobs seldom on a slow VM that owns nothing', async (t) => {
  const { site, owner, bystander } = await makeSite();
  const reads = (): number => bystander.store.calls.get('watch') ?? 0;
  const before = reads();
  for (let at = 1; at <= 20; at += 1) {
    await site.submit(owner, idOf(at), makeJob(makeStep()));
    await site.run(100);
  }
  t.true(reads() - before <= READS_IN_2_S + OTHER_READS_IN_2_S, `${reads() - before} reads`);
});

// Guards against callers of such an entry that are told of an old state.
test('should still tell the newest state there', async (t) => {
  const { site, owner, bystander } = await makeSite();
  await site.submit(owner, idOf(1), makeJob(makeStep()));
  await site.run(1_200);
  await site.submit(owner, idOf(2), makeJob(makeStep()));
  t.is(await site.state(bystander, idOf(1)), 'completed');
});

// Guards against a site that waits for its slow entries because they hear of a vacancy late.
test('should take over in time from there if no faster entry lives', async (t) => {
  const { site, owner, bystander } = await makeSite();
  owner.kill();
  // The lease of 2.5 s, news of its end, and the lateness of slow candidates.
  await site.run(3_600);
  t.is(bystander.entry.status().terms.length, 1);
});

// Guards against entries that read again for callers who have been answered.
test('should read once for callers that ask at the same moment', async (t) => {
  const clock = new ManualClock();
  const data = new MemoryStoreData(clock);
  const store = new MemoryTransactionStore(data);
  const ignore = (): void => undefined;
  const listener = { onListing: ignore, onChange: ignore, onCaughtUp: ignore };
  const pace = { pollDelayMs: () => GATHER_MS };
  const follower = new StoreFollower(store, 'p/', listener, clock, pace);
  const ended = new AbortController();
  const running = follower.run(ended.signal);
  const news = (async () => {
    while (!ended.signal.aborted) {
      data.put('p/key', String(clock.monotonicMs()));
      await clock.sleep(NEWS_MS);
    }
  })();
  await clock.advance(10 * GATHER_MS);
  const reads = (): number => store.calls.get('watch') ?? 0;
  const last = reads();
  while (reads() === last) await clock.advance(1);
  // The answer comes, and changes gather.
  await clock.advance(10);
  const before = reads();
  const asked = [follower.refresh(), clock.sleep(5).then(() => follower.refresh())];
  await clock.advance(GATHER_MS / 2);
  await Promise.all(asked);
  t.is(reads(), before + 1);
  ended.abort();
  await clock.advance(GATHER_MS);
  await Promise.all([running, news]);
});

// Guards against jobs that go where others went in the time since the last news.
test('should choose homes by what others have accepted just now', async (t) => {
  const { site, owners } = await makeDividedSite({ milliCores: 4_000 });
  const bystander = site.start('c', false, SLOW);
  await site.run(1_000);
  await site.submit(owners[0], idOf(1), makeJob(makeStep()));
  await site.run(SLOW_NEWS_MS);
  site.putJobs([idOf(2)], makeJob(makeStep({ count: 40 })), 'dc0');
  const later = Array.from({ length: JOBS }, (_, at) => idOf(at + 3));
  for (const id of later) await site.submit(bystander, id, makeJob(makeStep()));
  const homes = later.map(
    (id) => JSON.parse(site.data.items.get(ACCEPTED_PREFIX + id)?.value ?? '{}').home,
  );
  // Two shares are drawn for each job, which are the full one twice a quarter of the time.
  t.true(homes.filter((home) => home === 'dc1').length >= (2 / 3) * JOBS, homes.join(' '));
});

// Guards against elections that every entry looks at anew with every piece of news of jobs.
test('should tell news of owners from those of waiting jobs', (t) => {
  const board = new ShareDirectory();
  const keys = keysOfShare('dc0');
  const owner = { entry: 'a', process: 'a-1', processorShare: 1, dataCentre: 'dc0' };
  const changes: readonly (readonly [boolean, () => unknown])[] = [
    [true, () => board.applyLayout(ShareLayout.byDataCentre(new Map([['dc0', 1]])).encode())],
    [true, () => board.applyShareKey(keys.owner, encodeOwner(owner), 3)],
    [false, () => board.applyShareKey(keys.waiting, '4 0000000000000001', 4)],
    [true, () => board.applyShareKey(keys.claim, encodeClaim({ entry: 'b', fencingToken: 3 }), 5)],
    [true, () => board.applyShareKey(keys.claim, undefined, 6)],
    [true, () => board.applyShareKey(keys.owner, undefined, 7)],
    [true, () => board.clearOwners()],
  ];
  const told = changes.map(([, change]) => {
    const before = board.version;
    change();
    return board.version !== before;
  });
  t.deepEqual(
    told,
    changes.map(([isNews]) => isNews),
  );
});
