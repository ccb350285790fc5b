/**
 * Mutation tests of the simulated site: with one safeguard disabled, some simulation must show a
 * violation.
 */
import test from 'ava';
import { OutgoingDelegations } from 'samphirenotch/jobs/ownership/outgoingDelegations.js';
import { IncomingDelegations } from 'samphirenotch/jobs/ownership/incomingDelegations.js';
import { StepLauncher } from 'samphirenotch/jobs/placement/stepLauncher.js';
import type { Transaction } from 'samphirenotch/infrastructure/transactionStore.js';
import type { Call } from 'samphirenotch/time/call.js';

import { MemoryTransactionStore } from '../fixtures/memoryTransactionStore.js';
import { simulateShares } from '../fixtures/sharesModel.js';

type Methods = Record<string, (...values: never[]) => unknown>;

/** Replaces a method until the end of the test. */
const stub = (owner: unknown, name: string, replacement: Methods[string]): (() => void) => {
  const methods = owner as Methods;
  const original = methods[name];
  if (!original) throw new Error(`there is no method ${name}`);
  methods[name] = replacement;
  return () => {
    methods[name] = original;
  };
};

const GUARDS: readonly {
  readonly title: string;
  readonly seeds: readonly number[];
  readonly remove: () => () => void;
  readonly expected: RegExp;
}[] = [
  {
    title: 'a successor of the home restores the delegations',
    seeds: [1, 2],
    remove: () => stub(OutgoingDelegations.prototype, 'restore', () => undefined),
    expected: /started beside|has not ended|is left|after it was done/u,
  },
  {
    title: 'a successor of another share restores what was returned',
    seeds: [9, 10],
    remove: () => stub(IncomingDelegations.prototype, 'restore', () => undefined),
    expected: /started beside|after it was done/u,
  },
  {
    title: 'no owner starts tasks that a former owner may have started',
    seeds: [9, 15, 31],
    remove: () => stub(StepLauncher.prototype, 'isAccountedFor', () => true),
    expected: /started beside|after it was done/u,
  },
  {
    title: 'a former owner cannot write after its successor has taken over',
    seeds: [38, 50],
    remove: () => {
      const commit = MemoryTransactionStore.prototype.commit;
      return stub(
        MemoryTransactionStore.prototype,
        'commit',
        function commitUnfenced(
          this: MemoryTransactionStore,
          transaction: Transaction,
          call: Call,
        ) {
          const expectations = transaction.expectations.filter(
            ({ key }) => !key.endsWith('/journal'),
          );
          return commit.call(this, { ...transaction, expectations }, call);
        },
      );
    },
    expected: /started beside|after it was done|has not ended|is left/u,
  },
];

GUARDS.forEach(({ title, seeds, remove, expected }) => {
  test.serial(`should show a violation unless ${title}`, async (t) => {
    const restore = remove();
    t.teardown(restore);
    const seen: string[] = [];
    for (const seed of seeds) {
      seen.push(...(await simulateShares(seed)).filter((violation) => expected.test(violation)));
      if (seen.length > 0) break;
    }
    t.true(seen.length > 0);
  });
});
