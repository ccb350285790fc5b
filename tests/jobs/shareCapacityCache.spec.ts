/**
 * Cache of the capacities of shares, read on demand.
 */
import test from 'ava';
import { encodeShareCapacity, NO_CAPACITY } from 'samphirenotch/jobs/model/shareCapacity.js';
import { ShareCapacityCache } from 'samphirenotch/jobs/store/shareCapacityCache.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { MemoryStoreData, MemoryTransactionStore } from '../fixtures/memoryTransactionStore.js';

const makeBoard = () => {
  const clock = new ManualClock();
  const data = new MemoryStoreData(clock);
  data.put(
    'rooms/a',
    encodeShareCapacity({ ...NO_CAPACITY, capacity: 5_000, labels: new Set(['r1']) }),
  );
  const store = new MemoryTransactionStore(data);
  return { clock, data, store, board: new ShareCapacityCache(store, clock) };
};

// Guards against a store call for each of several concurrent decisions.
test('should read capacities on demand, once for concurrent calls', async (t) => {
  const { clock, store, board } = makeBoard();
  t.deepEqual(board.capacityOf('a'), NO_CAPACITY);
  const reads = Promise.all([board.refresh(300), board.refresh(300), board.refresh(300)]);
  await clock.advance(50);
  await reads;
  t.is(board.capacityOf('a').capacity, 5_000);
  t.true(board.capacityOf('a').labels.has('r1'));
  t.is(store.calls.get('list'), 1);
});

// Guards against a store call for each decision, or none after the capacities have changed.
test('should read again only capacities that are too old', async (t) => {
  const { clock, store, board } = makeBoard();
  const refresh = async (): Promise<void> => {
    const read = board.refresh(300);
    await clock.advance(50);
    await read;
  };
  await refresh();
  await refresh();
  t.is(store.calls.get('list'), 1);
  await clock.advance(400);
  await refresh();
  t.is(store.calls.get('list'), 2);
});

// Guards against losing all known capacities in an outage of the store or by one invalid value.
test('should keep the last capacities while the store is silent or holds invalid text', async (t) => {
  const { clock, data, store, board } = makeBoard();
  const refresh = async (): Promise<void> => {
    const read = board.refresh(0);
    await clock.advance(1_000);
    await read;
  };
  await refresh();
  store.isCutOff = true;
  await refresh();
  t.is(board.capacityOf('a').capacity, 5_000);
  store.isCutOff = false;
  data.put('rooms/a', 'nonsense');
  await refresh();
  t.is(board.capacityOf('a').capacity, 5_000);
});
