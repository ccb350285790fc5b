/**
 * Elections whose answers are lost or come late.
 */
import test from 'ava';
import { Failure } from 'samphirenotch/failure.js';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';
import { Err } from 'samphirenotch/results.js';

import { JobSite, makeJob, makeOwnedSite, makeStep, runUntil } from '../fixtures/jobSite.js';
import type { StoreFault } from '../fixtures/memoryTransactionStore.js';

const ID = '00000000000000a1';
const OWNER_KEY = keysOfShare(WHOLE_SITE_SHARE_ID).owner;

/** Timeout of the commit that elects an owner, in milliseconds. */
const COMMIT_TIMEOUT_MS = 600;

/** Time for the calls of an election that are answered, in milliseconds. */
const ANSWERED_CALLS_MS = 200;

/** Time for which an election is watched, in milliseconds. */
const WATCHED_MS = 2_000;

/** Backoff of a candidate whose call the store has turned away, in milliseconds. */
const BACKOFF_MS = 60;

/** Makes a site whose owner dies and whose only other entry loses answers as it is elected. */
const elect = async (...faults: readonly StoreFault[]) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  const successor = site.start('b');
  await site.run(500);
  successor.store.failCommitsUnder(OWNER_KEY, ...faults);
  owner.kill();
  await runUntil(site, () => !site.data.items.has(OWNER_KEY));
  const vacantMs = site.clock.monotonicMs();
  const changesBefore = site.data.changes.length;
  const ownChanges = () =>
    site.data.changes.slice(changesBefore).filter(({ key }) => key === OWNER_KEY);
  return { site, owner, successor, vacantMs, ownChanges };
};

const isOwner = (site: JobSite, name: string): boolean =>
  site.entries.some((each) => each.name === name && each.entry.status().terms.length > 0);

// Guards against an entry that gives away what it has won, so that all candidates begin anew.
test('should serve the term that it has won although the answer is lost', async (t) => {
  const { site, successor, vacantMs, ownChanges } = await elect('answer-lost');
  await runUntil(site, () => isOwner(site, 'b'));
  t.true(site.clock.monotonicMs() - vacantMs <= COMMIT_TIMEOUT_MS + ANSWERED_CALLS_MS);
  t.true(ownChanges().every(({ value }) => value !== undefined));
  t.is(await site.submit(successor, ID, makeJob(makeStep())), 'done');
  await site.run(3_000);
  t.is(await site.state(successor, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

test('should use the lease that it was granted if the commit is lost', async (t) => {
  const { site, successor, vacantMs } = await elect('silent');
  const grants = successor.store.calls.get('grantLease') ?? 0;
  await runUntil(site, () => isOwner(site, 'b'));
  t.true(site.clock.monotonicMs() - vacantMs <= COMMIT_TIMEOUT_MS + ANSWERED_CALLS_MS);
  t.true((successor.store.calls.get('grantLease') ?? 0) - grants <= 1);
});

// Guards against an owner whose key hangs on a lease that it does not renew.
test('should remain the owner when a lost commit takes effect late', async (t) => {
  const { site, ownChanges } = await elect('late');
  await runUntil(site, () => isOwner(site, 'b'));
  await site.run(8_000);
  t.true(isOwner(site, 'b'));
  t.is(ownChanges().length, 1);
  t.deepEqual(site.record.violations, []);
});

test('should leave the share to a rival that was elected meanwhile', async (t) => {
  const { site } = await elect('silent');
  const rival = site.start('c');
  await site.run(8_000);
  t.true(isOwner(site, 'c'));
  t.false(isOwner(site, 'b'));
  t.is(await site.submit(rival, ID, makeJob(makeStep())), 'done');
  await site.run(3_000);
  t.deepEqual(site.record.violations, []);
});

test('should give the share back if the store does not answer until its lease is used up', async (t) => {
  const { site, ownChanges } = await elect('answer-lost', 'answer-lost', 'answer-lost');
  await runUntil(site, () => isOwner(site, 'b'));
  await site.run(8_000);
  t.true(isOwner(site, 'b'));
  t.true(ownChanges().some(({ value }) => value === undefined));
  t.deepEqual(site.record.violations, []);
});

// Guards against candidates that flood a store which turns writes away, as it does beyond its rate.
test('should pause between the calls of an election if the store turns commits away', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  const successor = site.start('b');
  await site.run(500);
  const { store } = successor;
  const commit = store.commit.bind(store);
  let turnedAway = 0;
  store.commit = async (transaction, call) => {
    if (!transaction.writes.some(({ key }) => key === OWNER_KEY)) return commit(transaction, call);
    await site.clock.sleep(4);
    turnedAway += 1;
    return Err(
      new Failure({
        code: 'unavailable',
        step: 'store.commit',
        peer: 'store',
        effect: 'not-run',
        message: 'turned away with status 429',
      }),
    );
  };
  owner.kill();
  await runUntil(site, () => !site.data.items.has(OWNER_KEY));
  await site.run(WATCHED_MS);
  t.true(turnedAway <= WATCHED_MS / BACKOFF_MS);
});

// Guards against an entry that gives away what its own late commit has won.
test('should serve the term that its own late commit has won beside its next one', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  const successor = site.start('b');
  await site.run(500);
  const { store } = successor;
  const commit = store.commit.bind(store);
  const get = store.get.bind(store);
  let lost: (() => void) | undefined;
  let isLost = false;
  store.commit = async (transaction, call) => {
    const isElection = transaction.writes.some(({ key }) => key === OWNER_KEY);
    if (!isElection || isLost) return commit(transaction, call);
    isLost = true;
    lost = () => site.data.apply(transaction);
    await site.clock.sleep(COMMIT_TIMEOUT_MS);
    return Err(
      new Failure({
        code: 'deadline',
        step: 'store.commit',
        peer: 'store',
        effect: 'unknown',
        message: 'no answer in time',
      }),
    );
  };
  store.get = async (key, call) => {
    const found = await get(key, call);
    // It takes effect right after the owner was read.
    if (key === OWNER_KEY) lost?.();
    lost = undefined;
    return found;
  };
  owner.kill();
  await runUntil(site, () => !site.data.items.has(OWNER_KEY));
  const changesBefore = site.data.changes.length;
  await runUntil(site, () => isOwner(site, 'b'));
  const changes = site.data.changes.slice(changesBefore).filter(({ key }) => key === OWNER_KEY);
  t.true(changes.every(({ value }) => value !== undefined));
  await site.run(5_000);
  t.true(isOwner(site, 'b'));
  t.deepEqual(site.record.violations, []);
});
