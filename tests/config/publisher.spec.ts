/**
 * Publishing when operators race and answers of the store are lost.
 */
import test from 'ava';
import { MemoryKeyValueStore } from 'samphirenotch-stand-ins/memoryKeyValueStore.js';
import type { Published, PublishRefusal } from 'samphirenotch/config/publication.js';
import { ROOT_KEY } from 'samphirenotch/config/storedRoot.js';
import type { KeyValueStore } from 'samphirenotch/infrastructure/keyValueStore.js';
import type { Result } from 'samphirenotch/results.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import {
  CONTEXT,
  exampleFiles,
  longCall,
  openDesk,
  passUntil,
  publish,
  randomOf,
  tamperedStore,
  withWeight,
  type SwapFault,
} from '../fixtures/configuration.js';

type Outcome = Result<Published, PublishRefusal>;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const FILES = exampleFiles('council');

const openStore = () => {
  const clock = new ManualClock();
  return { clock, store: new MemoryKeyValueStore(clock) };
};

const refusalOf = (outcome: Outcome): PublishRefusal | undefined =>
  outcome.ok ? undefined : outcome.val;

const changedBy = (refusal: PublishRefusal | undefined): readonly string[] =>
  refusal?.kind === 'conflict' ? refusal.changed.map(({ object }) => object) : [];

/** Loses the answer to the first swap of the root, with or without its effect. */
const losingOnce = (store: KeyValueStore, fault: SwapFault): KeyValueStore => {
  let isLost = false;
  return tamperedStore(store, ({ key }) => {
    if (key !== ROOT_KEY || isLost) return undefined;
    isLost = true;
    return fault;
  });
};

test('should accept one of racing publishers and name to the others what changed', async (t) => {
  for (const seed of SEEDS) {
    const { clock, store } = openStore();
    const random = randomOf(seed);
    const baseVersion = await publish(clock, store, FILES);
    const slow = tamperedStore(
      store,
      () => undefined,
      () => clock.sleep(random(0, 40)),
    );
    const race = ['growers', 'maltsters', 'desk'].map(async (tenant, index) => {
      const files = withWeight(FILES, tenant, 10 + index);
      const { publisher } = openDesk(slow, clock);
      const request = { files, baseVersion, publishedBy: tenant, why: 'race' };
      return { tenant, outcome: await publisher.publish(request, CONTEXT, longCall(clock)) };
    });
    const ended = await passUntil(clock, Promise.all(race));

    const winners = ended.filter(({ outcome }) => outcome.ok);
    t.is(winners.length, 1, `seed ${seed}`);
    const changed = ended.flatMap(({ outcome }) => changedBy(refusalOf(outcome)));
    const name = `tenant ${winners[0]?.tenant}`;
    t.deepEqual(changed, [name, name], `seed ${seed}`);
    const { history } = openDesk(store, clock);
    const root = await history.root(longCall(clock));
    t.is(root.unwrap().record?.version, baseVersion + 1);
    t.is(root.unwrap().record?.publishedBy, winners[0]?.tenant);
    t.is((await history.record(baseVersion + 2, longCall(clock))).ok, false);
  }
});

test('should publish once when the answer to the accepting swap is lost', async (t) => {
  for (const fault of ['lose-answer', 'lose-swap'] as const) {
    const { clock, store } = openStore();
    await publish(clock, store, FILES);
    const { history, publisher } = openDesk(losingOnce(store, fault), clock);
    const request = { files: withWeight(FILES, 'desk', 9), publishedBy: 'desk', why: 'more' };
    const outcome = await passUntil(clock, publisher.publish(request, CONTEXT, longCall(clock)));

    t.true(outcome.ok, fault);
    const root = await history.root(longCall(clock));
    t.is(root.unwrap().record?.version, 2, fault);
    t.deepEqual(outcome.ok && outcome.val.record, root.unwrap().record, fault);
  }
});

test('should know its own version again when another one was accepted on top', async (t) => {
  const { clock, store } = openStore();
  await publish(clock, store, FILES);
  const mine = withWeight(FILES, 'desk', 9);
  let isOvertaken = false;
  const overtaking: KeyValueStore = {
    ...losingOnce(store, 'lose-answer'),
    get: async (key, call) => {
      const root = await store.get(ROOT_KEY, call);
      if (!isOvertaken && root.unwrap()?.value.includes('"mine"')) {
        isOvertaken = true;
        const { publisher } = openDesk(store, clock);
        const request = { files: withWeight(mine, 'growers', 5), publishedBy: 'b', why: 'theirs' };
        await publisher.publish(request, CONTEXT, call);
      }
      return store.get(key, call);
    },
  };
  const { history, publisher } = openDesk(overtaking, clock);
  const request = { files: mine, publishedBy: 'a', why: 'mine' };
  const outcome = await passUntil(clock, publisher.publish(request, CONTEXT, longCall(clock)));

  t.true(isOvertaken);
  t.is((await history.root(longCall(clock))).unwrap().record?.version, 3);
  t.is(outcome.ok && outcome.val.record.version, 2);
});

test('should say that the outcome is unknown when the store stays silent after the swap', async (t) => {
  const { clock, store } = openStore();
  await publish(clock, store, FILES);
  const silent: KeyValueStore = tamperedStore(store, ({ key }) => {
    if (key !== ROOT_KEY) return undefined;
    store.faults.down = true;
    return 'lose-answer';
  });
  const { publisher } = openDesk(silent, clock);
  const request = { files: withWeight(FILES, 'desk', 9), publishedBy: 'desk', why: 'more' };
  const pending = publisher.publish(request, CONTEXT, callWithin(clock, 5_000));
  const refusal = refusalOf(await passUntil(clock, pending));

  t.is(refusal?.kind === 'failed' && refusal.failure.effect, 'unknown');
});

test('should not swap when a publisher dies before, and show no version that was not accepted', async (t) => {
  const { clock, store } = openStore();
  await publish(clock, store, FILES);
  const dying = tamperedStore(store, ({ key }) => (key === ROOT_KEY ? 'lose-swap' : undefined));
  const { publisher } = openDesk(dying, clock);
  const request = { files: withWeight(FILES, 'desk', 9), publishedBy: 'dying', why: 'lost' };
  await passUntil(clock, publisher.publish(request, CONTEXT, callWithin(clock, 2_000)));
  const { history } = openDesk(store, clock);
  t.false((await history.record(2, longCall(clock))).ok);
  await publish(clock, store, withWeight(FILES, 'growers', 3));
  await publish(clock, store, withWeight(FILES, 'growers', 4));

  const records = (await history.log(undefined, 10, longCall(clock))).unwrap();
  t.deepEqual(
    records.map(({ version, publishedBy }) => [version, publishedBy]),
    [
      [3, 'test'],
      [2, 'test'],
      [1, 'test'],
    ],
  );
});

test('should refuse files that were edited from an older version', async (t) => {
  const { clock, store } = openStore();
  const baseVersion = await publish(clock, store, FILES);
  await publish(clock, store, withWeight(FILES, 'growers', 7));
  const { publisher } = openDesk(store, clock);
  const request = { files: FILES, baseVersion, publishedBy: 'late', why: 'old files' };
  const refusal = refusalOf(await publisher.publish(request, CONTEXT, longCall(clock)));

  t.deepEqual(changedBy(refusal), ['tenant growers']);
});

test('should take files that were noted at another store only if nothing is accepted yet', async (t) => {
  const { clock, store } = openStore();
  const { publisher } = openDesk(store, clock);
  const request = { files: FILES, baseVersion: 7, publishedBy: 'a', why: 'a new store' };
  const call = longCall(clock);
  t.true((await publisher.publish(request, CONTEXT, call)).ok);
  const refusal = refusalOf(await publisher.publish(request, CONTEXT, call));

  t.is(refusal?.kind, 'conflict');
});

test('should restore old content as a new version', async (t) => {
  const { clock, store } = openStore();
  await publish(clock, store, FILES);
  await publish(clock, store, withWeight(FILES, 'growers', 7));
  const { history, publisher } = openDesk(store, clock);
  const call = longCall(clock);
  const restored = await publisher.restore(1, { publishedBy: 'a', why: 'back' }, CONTEXT, call);

  t.is(restored.ok && restored.val.record.version, 3);
  const root = (await history.root(call)).unwrap().record;
  t.deepEqual((await history.files(root?.digest ?? '', call)).unwrap(), FILES);
});

test('should put a version above the one in force when the store has lost some', async (t) => {
  const { clock, store } = openStore();
  await publish(clock, store, FILES);
  const { publisher } = openDesk(store, clock, () => 8);
  const request = { files: withWeight(FILES, 'desk', 9), publishedBy: 'desk', why: 'again' };
  const outcome = await publisher.publish(request, CONTEXT, longCall(clock));

  t.is(outcome.ok && outcome.val.record.version, 9);
});

test('should keep both when an outage races an unrelated publish', async (t) => {
  for (const seed of SEEDS) {
    const { clock, store } = openStore();
    const random = randomOf(seed);
    await publish(clock, store, FILES);
    const slow = tamperedStore(
      store,
      () => undefined,
      () => clock.sleep(random(0, 40)),
    );
    const { history, outages, publisher } = openDesk(slow, clock);
    const call = longCall(clock);
    const by = { publishedBy: 'a', why: 'river' };
    const out = outages.change('start', 'Timaru', by, CONTEXT, call);
    const files = withWeight(FILES, 'growers', 7);
    const request = { files, baseVersion: 1, publishedBy: 'b', why: 'weights' };
    const other = publisher.publish(request, CONTEXT, call);
    const [outage, published] = await passUntil(clock, Promise.all([out, other]));

    t.true(outage.ok, `seed ${seed}`);
    const root = (await history.root(call)).unwrap().record;
    const kept = (await history.files(root?.digest ?? '', call)).unwrap();
    t.true(kept.get('outages.ini')?.includes('[outage Timaru]'), `seed ${seed}`);
    t.is(kept.get('tenants.ini') === files.get('tenants.ini'), published.ok, `seed ${seed}`);
  }
});

test('should leave what the last accepted command said when operators race out, in and out', async (t) => {
  for (const seed of SEEDS) {
    const { clock, store } = openStore();
    const random = randomOf(seed);
    await publish(clock, store, FILES);
    const slow = tamperedStore(
      store,
      () => undefined,
      () => clock.sleep(random(0, 40)),
    );
    const { history, outages } = openDesk(slow, clock);
    const call = longCall(clock);
    const race = (['start', 'end', 'start', 'end', 'start'] as const).map(async (change, index) => {
      await clock.sleep(random(0, 200));
      const by = { publishedBy: `operator ${index}`, why: change };
      return outages.change(change, 'Timaru', by, CONTEXT, call);
    });
    const ended = await passUntil(clock, Promise.all(race));

    const records = (await history.log(undefined, 20, call)).unwrap();
    const [last] = records;
    const kept = (await history.files(last?.digest ?? '', call)).unwrap();
    t.is(kept.has('outages.ini'), last?.why === 'start', `seed ${seed}`);
    t.is(records.length - 1, ended.filter(({ ok }) => ok).length, `seed ${seed}`);
    const accepted = records.map(({ why }) => why).reverse();
    accepted.slice(1).forEach((why, index) => t.not(why, accepted[index], `seed ${seed}`));
    ended.forEach((outcome) => t.true(outcome.ok || outcome.val.kind === 'conflict'));
  }
});

test('should say that a data centre is out already, or is not out', async (t) => {
  const { clock, store } = openStore();
  await publish(clock, store, FILES);
  const { outages } = openDesk(store, clock);
  const by = { publishedBy: 'a', why: 'river' };
  const change = (what: 'start' | 'end', dataCentre: string): Promise<Outcome> =>
    outages.change(what, dataCentre, by, CONTEXT, longCall(clock));

  t.is(refusalOf(await change('end', 'Timaru'))?.kind, 'conflict');
  t.true((await change('start', 'Timaru')).ok);
  t.is(refusalOf(await change('start', 'Timaru'))?.kind, 'conflict');
  t.is(refusalOf(await change('start', 'Tmaru'))?.kind, 'problems');
});
