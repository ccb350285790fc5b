/**
 * Idempotency keys at their owner: one run for each key, whoever asks and whoever owns.
 */
import test from 'ava';
import type { KeyClaim, KeyDecision } from 'samphirenotch/requests/keyAuthority.js';
import type { KeyPartitions } from 'samphirenotch/requests/keyPartitions.js';
import type { Result } from 'samphirenotch/results.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { keyOwners } from '../fixtures/keyOwners.js';

const bench = () => {
  const { clock, store, owner } = keyOwners();
  const claim = async (keys: KeyPartitions, changes: Partial<KeyClaim> = {}) => {
    const wish = { partition: 0, key: 'k', token: 't1', fingerprint: 'f', ...changes };
    const deciding = keys.claim(wish, callWithin(clock, 10_000));
    await clock.advance(100);
    return deciding;
  };
  return { clock, store, owner, claim };
};

const kindOf = (decided: Result<KeyDecision, Error>): string =>
  decided.ok ? decided.val.kind : decided.val.message;

const answer = { status: 200, headers: {}, body: Buffer.from('invoice 9') };

test('should grant one of two claims that come at once', async (t) => {
  const { clock, owner, store } = bench();
  const keys = await owner('a');
  const call = callWithin(clock, 10_000);
  const first = keys.claim({ partition: 0, key: 'k', token: 't1', fingerprint: 'f' }, call);
  const second = keys.claim({ partition: 0, key: 'k', token: 't2', fingerprint: 'f' }, call);
  await clock.advance(100);
  t.deepEqual([kindOf(await first), kindOf(await second)], ['granted', 'running']);
  t.true((await store.list('samphirenotch/keys/0/', call)).unwrap().items[0]?.value.includes('t1'));
});

test('should answer a claim from the kept answer, and tell another request apart', async (t) => {
  const { owner, claim } = bench();
  const keys = await owner('a');
  await claim(keys);
  keys.settle({ partition: 0, key: 'k', token: 't1', outcome: 'answered', answer });
  const again = (await claim(keys, { token: 't2' })).unwrap();
  t.true(again.kind === 'answered' && again.answer?.body.toString() === 'invoice 9');
  t.is(kindOf(await claim(keys, { token: 't3', fingerprint: 'g' })), 'other-request');
});

test('should remember a key after the death of its owner', async (t) => {
  const { owner, claim, clock } = bench();
  const first = await owner('a');
  await claim(first);
  await claim(first, { key: 'done', token: 't2' });
  first.settle({ partition: 0, key: 'done', token: 't2', outcome: 'answered', answer });
  await clock.advance(100);
  const second = await owner('b');
  t.is(kindOf(await claim(second, { token: 't3' })), 'outcome-unknown');
  t.is(kindOf(await claim(second, { key: 'done', token: 't4' })), 'answered');
});

test('should grant nothing at an owner that was replaced without knowing it', async (t) => {
  const { owner, claim } = bench();
  const first = await owner('a');
  const second = await owner('b');
  t.is(kindOf(await claim(second, { token: 't2' })), 'granted');
  const late = await claim(first, { token: 't1' });
  t.true(late.err && late.val.effect === 'not-run');
});

test('should grant nothing at a replaced owner whose segment was full', async (t) => {
  const { owner, claim, store, clock } = bench();
  const first = await owner('a');
  for (let index = 0; index < 40; index += 1) {
    const token = `${index}`.padEnd(400, '-');
    await claim(first, { key: `k${index}`, token });
  }
  const call = callWithin(clock, 1_000);
  t.true((await store.list('samphirenotch/keys/0/', call)).unwrap().items.length > 1);
  const second = await owner('b');
  t.is(kindOf(await claim(second, { token: 't2' })), 'granted');
  const late = await claim(first, { token: 'x'.repeat(16_000) });
  t.true(late.err && late.val.effect === 'not-run');
  t.is(kindOf(await claim(second, { key: 'k0', token: 't3' })), 'outcome-unknown');
});

test('should find its own write when the answer of the store is lost', async (t) => {
  const { owner, claim, store } = bench();
  const keys = await owner('a');
  store.faults.loseAnswers = 1;
  t.is(kindOf(await claim(keys)), 'granted');
  t.is(kindOf(await claim(keys, { key: 'other', token: 't2' })), 'granted');
});

test('should grant again what is asked again with the same token', async (t) => {
  const { owner, claim } = bench();
  const keys = await owner('a');
  t.is(kindOf(await claim(keys)), 'granted');
  t.is(kindOf(await claim(keys)), 'granted');
});

test('should refuse at once while the store is out, and grant after it', async (t) => {
  const { owner, claim, store, clock } = bench();
  const keys = await owner('a');
  store.faults.down = true;
  await claim(keys);
  const deciding = keys.claim(
    { partition: 0, key: 'k2', token: 't2', fingerprint: 'f' },
    callWithin(clock, 10_000),
  );
  const refused = await deciding;
  t.true(refused.err && refused.val.effect === 'not-run' && refused.val.retryAfterMs !== undefined);
  store.faults.down = false;
  await clock.advance(1_000);
  t.is(kindOf(await claim(keys, { token: 't3' })), 'granted');
});

test('should let claims wait while a new owner reads what is stored', async (t) => {
  const { owner, claim, clock, store } = bench();
  const first = await owner('a');
  await claim(first);
  store.faults.delayMs = 100;
  const second = await owner('b');
  const call = callWithin(clock, 10_000);
  const known = second.claim({ partition: 0, key: 'k', token: 't2', fingerprint: 'f' }, call);
  const fresh = second.claim({ partition: 0, key: 'k2', token: 't3', fingerprint: 'f' }, call);
  await clock.advance(1_000);
  t.deepEqual([kindOf(await known), kindOf(await fresh)], ['outcome-unknown', 'granted']);
});

test('should give a key back whose claim was given up before it was stored', async (t) => {
  const { owner, claim, store, clock } = bench();
  const keys = await owner('a');
  store.faults.delayMs = 300;
  const wish = { partition: 0, key: 'k', token: 't1', fingerprint: 'f' };
  const deciding = keys.claim(wish, callWithin(clock, 100));
  await clock.advance(100);
  t.true((await deciding).err);
  store.faults.delayMs = 0;
  await clock.advance(1_000);
  t.is(kindOf(await claim(keys, { token: 't2' })), 'granted');
});

test('should give a key back that was proved not to have run, also for the next owner', async (t) => {
  const { owner, claim, clock } = bench();
  const first = await owner('a');
  await claim(first);
  first.settle({ partition: 0, key: 'k', token: 't1', outcome: 'not-run' });
  await clock.advance(100);
  const second = await owner('b');
  t.is(kindOf(await claim(second, { token: 't2' })), 'granted');
});

test('should write claims in groups', async (t) => {
  const { owner, clock, store } = bench();
  const keys = await owner('a');
  const before = store.meter.counts().writes;
  const deciding = Array.from({ length: 100 }, (_, index) =>
    keys.claim(
      { partition: 0, key: `k${index}`, token: `t${index}`, fingerprint: 'f' },
      callWithin(clock, 10_000),
    ),
  );
  await clock.advance(1_000);
  const decided = await Promise.all(deciding);
  t.true(decided.every((each) => kindOf(each) === 'granted'));
  t.true(store.meter.counts().writes - before <= 4);
});

test('should forget keys after their time only', async (t) => {
  const { owner, claim, clock } = bench();
  const keys = await owner('a');
  await claim(keys);
  await clock.advance(23 * 3_600_000);
  t.is(kindOf(await claim(keys, { token: 't2' })), 'outcome-unknown');
  await clock.advance(2 * 3_600_000);
  t.is(kindOf(await claim(keys, { token: 't3' })), 'granted');
});
