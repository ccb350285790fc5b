/**
 * Limits that an owner must keep so that its successor is safe, however late its own calls are.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import type { JobReplica } from 'samphirenotch/jobs/store/jobReplica.js';
import type { OwnerRecord } from 'samphirenotch/jobs/store/shareDirectory.js';
import { OwnerElection } from 'samphirenotch/jobs/ownership/ownerElection.js';
import { MAXIMUM_UNCONFIRMED_MS } from 'samphirenotch/jobs/store/term.js';
import type {
  Transaction,
  TransactionStore,
} from 'samphirenotch/infrastructure/transactionStore.js';
import { Failure } from 'samphirenotch/failure.js';
import { Err, Ok } from 'samphirenotch/results.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

/**
 * Time to live of the owner's lease, in milliseconds. A successor counts from its end at the
 * earliest.
 */
const LEASE_MS = 2_500;

/** Makes a store that renews once; later calls fail after `silenceMs`. */
const makeSilentStore = (clock: ManualClock, silenceMs: number): TransactionStore => {
  let renewals = 0;
  const silent = async () => {
    await clock.sleep(silenceMs);
    const message = 'no answer in time';
    return Err(
      new Failure({ code: 'deadline', step: 'store', peer: 'store', effect: 'unknown', message }),
    );
  };
  return {
    grantLease: async () => Ok('1'),
    commit: async () => Ok({ kind: 'committed' as const, revision: 2 }),
    renewLease: async () => {
      renewals += 1;
      return renewals === 1 ? Ok(true) : silent();
    },
    revokeLease: silent,
  } as unknown as TransactionStore;
};

const electionBasics = (clock: ManualClock, store: TransactionStore) => ({
  share: WHOLE_SITE_SHARE_ID,
  candidacyDelayMs: () => 0,
  runExclusively: <T>(attempt: () => Promise<T>) => attempt(),
  onElected: () => undefined,
  prepareHandover: () => Promise.resolve(),
  store,
  replica: {
    revision: () => 1,
    shares: { owner: () => undefined, relativeSpeedOf: () => 1 },
  } as unknown as JobReplica,
  clock,
  entry: 'a',
  process: 'a-1',
  dataCentre: 'dc0',
  processorShare: 1,
  handoverMs: 4_000,
});

/** Returns how long after its last confirmed renewal a term ends, in milliseconds. */
const unconfirmedTermMs = async (silenceMs: number): Promise<number> => {
  const clock = new ManualClock();
  const stopped = new AbortController();
  let confirmedMs: number | undefined;
  let endedMs: number | undefined;
  const election = new OwnerElection({
    ...electionBasics(clock, makeSilentStore(clock, silenceMs)),
    serve: async (term) => {
      confirmedMs ??= clock.monotonicMs() + 700;
      while (!term.signal.aborted) await clock.sleep(50, term.signal);
      endedMs ??= clock.monotonicMs();
    },
  });
  const running = election.run(stopped.signal);
  await clock.advance(20_000);
  stopped.abort();
  await clock.advance(20_000);
  await running;
  return (endedMs ?? Number.POSITIVE_INFINITY) - (confirmedMs ?? 0);
};

// Guards against worker leases granted later than a successor waits for their end.
test('should end an unconfirmed term in time however long calls to the store take', async (t) => {
  t.true((await unconfirmedTermMs(600)) <= MAXIMUM_UNCONFIRMED_MS + LEASE_MS);
  // A call that ends long after its timeout, as in a process whose event loop is delayed.
  t.true((await unconfirmedTermMs(4_620)) <= MAXIMUM_UNCONFIRMED_MS + LEASE_MS);
});

// Guards against an owner that counts its lease from a later moment than the store does.
test('should not count its lease from a later moment than its request', async (t) => {
  const clock = new ManualClock();
  const stopped = new AbortController();
  const askedMs: number[] = [];
  const store = {
    ...makeSilentStore(clock, 600),
    grantLease: async () => {
      askedMs.push(clock.monotonicMs());
      await clock.sleep(500);
      return Ok('1');
    },
  } as unknown as TransactionStore;
  const certainUntilMs: number[] = [];
  const election = new OwnerElection({
    ...electionBasics(clock, store),
    serve: async (term) => {
      certainUntilMs.push(term.leaseValidUntilMs());
      while (!term.signal.aborted) await clock.sleep(50, term.signal);
    },
  });
  const running = election.run(stopped.signal);
  await clock.advance(1_000);
  stopped.abort();
  await clock.advance(20_000);
  await running;
  t.is(certainUntilMs.length, 1);
  t.true((certainUntilMs[0] ?? Infinity) <= (askedMs[0] ?? 0) + LEASE_MS);
});

// Guards against an election that replaces a rival elected while the store was slow to grant the
// lease.
test('should not replace an owner that was elected while the lease was being granted', async (t) => {
  const clock = new ManualClock();
  let rival: OwnerRecord | undefined;
  let terms = 0;
  const store = {
    ...makeSilentStore(clock, 600),
    grantLease: async () => {
      await clock.sleep(100);
      rival = {
        entry: 'b',
        process: 'b-1',
        processorShare: 1,
        dataCentre: 'dc0',
        revision: 7,
      };
      return Ok('1');
    },
    commit: async ({ expectations }: Transaction) => {
      const holds = expectations.every(({ revision }) => revision === (rival?.revision ?? 0));
      return Ok(holds ? { kind: 'committed', revision: 8 } : { kind: 'conflict', current: [] });
    },
    revokeLease: async () => Ok(true),
  } as unknown as TransactionStore;
  const stopped = new AbortController();
  const basics = electionBasics(clock, store);
  const shares = { owner: () => rival, relativeSpeedOf: () => 1 };
  const election = new OwnerElection({
    ...basics,
    replica: { ...basics.replica, shares } as unknown as JobReplica,
    serve: async () => {
      terms += 1;
    },
  });
  const running = election.run(stopped.signal);
  for (let at = 0; at < 20; at += 1) await clock.advance(50);
  t.is(terms, 0);
  stopped.abort();
  await clock.advance(1_000);
  await running;
});
