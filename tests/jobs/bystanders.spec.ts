/**
 * Cost and freshness of entries that own no share, which are most entries of a large site.
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

/** Allowed reads of jobs in 2 s: callers accept counts of jobs that are 2 s old. */
const READS_IN_2_S = 4;

/** Allowed reads of the operator's settings in 2 s: they are read once a second. */
const OTHER_READS_IN_2_S = 3;

/** CPU of a fast and a slow VM of one site, as fractions of a core of usual speed. */
const FAST = 1.35;
const SLOW = 0.186;

/** Number of jobs that are submitted one after the other. */
const JOBS = 24;

/** Time into the pause between two reads of a slow entry, in milliseconds. */
const SLOW_NEWS_MS = 50;

/** Time for which a follower batches changes, and time between two changes, in milliseconds. */
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

// Guards against a large site whose many idle entries use more CPU time than the owners.
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

// Guards against a stale answer to a caller of an entry that reads seldom.
test('should still answer with the newest state on a slow VM that owns nothing', async (t) => {
  const { site, owner, bystander } = await makeSite();
  await site.submit(owner, idOf(1), makeJob(makeStep()));
  await site.run(1_200);
  await site.submit(owner, idOf(2), makeJob(makeStep()));
  t.is(await site.state(bystander, idOf(1)), 'completed');
});

// Guards against a site without an owner because slow entries notice the vacancy late.
test('should take over in time on a slow VM if no faster entry is left', async (t) => {
  const { site, owner, bystander } = await makeSite();
  owner.kill();
  // The lease of 2.5 s, the delay until its end is noticed, and the delay of slow candidates.
  await site.run(3_600);
  t.is(bystander.entry.status().terms.length, 1);
});

// Guards against entries that read the store again for callers already answered by the last read.
test('should read the store once for callers that ask at the same time', async (t) => {
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
  // The answer arrives, and the next changes are batched.
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

// Guards against a choice of home that ignores jobs accepted since the last read of the store.
test('should consider jobs that other entries have just accepted when it chooses homes', async (t) => {
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
  // Two shares are drawn for each job; in a quarter of the cases both draws are the full one.
  t.true(homes.filter((home) => home === 'dc1').length >= (2 / 3) * JOBS, homes.join(' '));
});

// Guards against entries that check every election again with each change of a job.
test('should change the version with owners, claims and the layout but not with waiting jobs', (t) => {
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
