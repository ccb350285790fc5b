/**
 * Tests queues whose workers are decided by a policy service.
 */
import test from 'ava';
import { StepPermissions } from 'samphirenotch/jobs/placement/stepPermissions.js';
import { Ok } from 'samphirenotch/results.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeJob, makeOwnedSite, makeQueue, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeSilentAgent } from '../fixtures/silentFleet.js';

const ID = '00000000000000a1';
const OTHER_ID = '00000000000000a2';

const workersOf = (runs: readonly { readonly workerId: string }[]): readonly string[] =>
  [...new Set(runs.map(({ workerId }) => workerId))].sort();

// Guards against starts on workers that the policy does not allow, or without a valid ticket.
test('should start a step only on workers that the policy allows and with their tickets', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 6,
    allows: (_stepId, workerId) => workerId === 'w2' || workerId === 'w5',
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 6 }), makeStep({ after: [0] })));
  await site.run(5_000);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(workersOf(site.record.runs), ['w2', 'w5']);
  t.deepEqual(site.policy?.refusedStarts, []);
});

// Guards against jobs that stop when their tickets expire, and calls about workers known to be
// denied.
test('should request new tickets after expiry and only for workers that are allowed', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 4,
    milliCores: 1_000,
    allows: (_stepId, workerId) => workerId === 'w1',
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 6 })));
  await site.run(12_000);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(site.policy?.refusedStarts, []);
  const [first, ...later] = site.policy?.calls ?? [];
  t.is(first?.workerIds.length, 4);
  t.true(later.length > 0);
  t.true(later.every(({ workerIds }) => workerIds.join() === 'w1'));
});

// Guards against overload of the policy service, which takes one call at a time.
test('should send one call at a time with at most 30 workers', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 40, allows: () => true });
  await Promise.all([
    site.submit(owner, ID, makeJob(makeStep({ count: 4 }))),
    site.submit(owner, OTHER_ID, makeJob(makeStep({ count: 4 }))),
  ]);
  await site.run(4_000);
  t.is(await site.state(owner, ID), 'completed');
  t.is(await site.state(owner, OTHER_ID), 'completed');
  t.is(site.policy?.maxConcurrentCalls, 1);
  t.true(site.policy?.calls.every(({ workerIds }) => workerIds.length <= 30));
});

// Guards against a refused ticket that is used again for every start.
test('should request another ticket when a worker refuses one', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    milliCores: 1_000,
    allows: () => true,
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 2 })));
  await site.run(600);
  site.policy?.revokeAll();
  await site.run(4_000);
  t.is(await site.state(owner, ID), 'completed');
  t.is(site.policy?.refusedStarts.length, 1);
});

// Guards against a request that is lost when the service rejects calls.
test('should keep requesting tickets when the policy service rejects calls', async (t) => {
  const { site, owner } = await makeOwnedSite({ allows: () => true });
  if (site.policy) site.policy.failNextCalls = 3;
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(5_000);
  t.is(await site.state(owner, ID), 'completed');
});

// Guards against jobs without tickets after a takeover: the new owner has none of the old ones.
test('should complete a job with a policy after a takeover', async (t) => {
  const { site, owner } = await makeOwnedSite({ allows: () => true });
  const other = site.start('b');
  await site.run(500);
  await site.submit(other, ID, makeJob(makeStep(), makeStep({ after: [0] })));
  await site.run(400);
  owner.kill();
  await site.run(20_000);
  t.is(await site.state(other, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

/** Requests a ticket that is valid for 1.5 s and whose answer is read late. */
const requestLateTicket = async (lateMs: number, decisionMs = 100) => {
  const clock = new ManualClock();
  const ended = new AbortController();
  let decisions = 0;
  const policy = {
    decide: async (_stepId: string, workerIds: readonly string[]) => {
      clock.jump(lateMs);
      return Ok({ tickets: new Map(workerIds.map((id) => [id, 'ticket'])), validMs: 1_500 });
    },
  };
  const permissions = new StepPermissions(policy, clock, () => {
    decisions += 1;
  });
  const queue = makeQueue({ policy: { decisionMs, perWorkerMs: 0 } });
  const step = makeOwnedStep(makeStep(), queue);
  const agent = makeSilentAgent(clock);
  const running = permissions.run(ended.signal);
  permissions.requestTickets(step, [agent]);
  await clock.advance(10);
  const end = async (): Promise<void> => {
    ended.abort();
    await clock.advance(2_000);
    await running;
  };
  return {
    clock,
    ticket: () => permissions.ticketFor(step, agent),
    decisions: () => decisions,
    end,
  };
};

// Guards against tickets that are used after their expiry because the answer waited to be read.
test('should not use a ticket that expired before its answer was read', async (t) => {
  const late = await requestLateTicket(2_000);
  t.is(late.decisions(), 1);
  t.is(late.ticket(), undefined);
  await late.end();
});

// Guards against tickets that are used too long because the answer waited to be read.
test('should count the validity of a ticket from the earliest time of its decision', async (t) => {
  const late = await requestLateTicket(800);
  t.is(late.ticket(), 'ticket');
  await late.clock.advance(500);
  t.is(late.ticket(), undefined);
  await late.end();
});

// Guards against tickets that count as expired on arrival if the decision takes longer than the
// validity.
test('should use a ticket whose decision takes longer than its validity', async (t) => {
  const late = await requestLateTicket(2_000, 2_000);
  t.is(late.ticket(), 'ticket');
  await late.end();
});
