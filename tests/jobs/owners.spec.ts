/**
 * Ownership of an undivided site while owners are killed, partitioned, stopped and restarted.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';
import { MAXIMUM_UNCONFIRMED_MS } from 'samphirenotch/jobs/store/term.js';

import { JobSite, makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Makes a site with an owner and a second entry that can take over. */
const makeSuccession = async (durationMs = 5_000, workers = 2) => {
  const { site, owner } = await makeOwnedSite({
    workers,
    behave: () => ({ size: SIZE, durationMs }),
  });
  const successor = site.start('b');
  await site.run(500);
  return { site, owner, successor };
};

// Guards against a successor that starts tasks again whose runs survived the former owner.
test('should adopt the active runs when the owner is killed', async (t) => {
  const { site, owner, successor } = await makeSuccession();
  await site.submit(owner, ID, makeJob(makeStep({ count: 4 })));
  await site.run(500);
  owner.kill();
  await site.run(9_000);
  t.is(await site.state(successor, ID), 'completed');
  t.is(site.record.runs.length, 4);
  t.deepEqual(site.record.violations, []);
});

test('should hand over without waiting for the lease to expire when the owner is stopped', async (t) => {
  const { site, owner, successor } = await makeSuccession(300);
  owner.stop();
  await site.run(600);
  t.is(await site.submit(successor, ID, makeJob(makeStep())), 'done');
  await site.run(1_200);
  t.is(await site.state(successor, ID), 'completed');
});

test('should keep an accepted job when every entry is killed at once', async (t) => {
  const { site, owner, successor } = await makeSuccession(1_000);
  await site.submit(successor, ID, makeJob(makeStep({ count: 3 }), makeStep({ after: [0] })));
  owner.kill();
  successor.kill();
  await site.run(1_500);
  const restarted = site.start('c');
  await site.run(8_000);
  t.is(await site.state(restarted, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

test('should take over at once from the previous process of the same entry', async (t) => {
  const site = new JobSite({ workers: 1 });
  const first = site.start('a');
  await site.run(500);
  await site.submit(first, ID, makeJob(makeStep()));
  first.kill();
  const second = site.start('a');
  await site.run(1_800);
  t.is(await site.state(second, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

test('should count the room of runs that belong to no open task', async (t) => {
  // A run of a cancelled job goes on until its stop takes effect. Until then the new owner must not
  // start another task in its room.
  const { site, owner, successor } = await makeOwnedSite({
    workers: 1,
    milliCores: 2_000,
    behave: () => ({ size: { ...SIZE, milliCores: 2_000 }, durationMs: 30_000 }),
  }).then(async (made) => ({ ...made, successor: made.site.start('b') }));
  await site.run(500);
  const step = makeStep({ size: { ...SIZE, milliCores: 2_000 } });
  await site.submit(owner, ID, makeJob(step));
  await site.run(300);
  await site.submit(owner, '00000000000000a2', makeJob(step));
  owner.kill();
  await site.cancel(successor, ID);
  await site.run(9_000);
  t.true(site.record.runsOf('00000000000000a2.0.0.0').length >= 1);
  t.deepEqual(site.record.violations, []);
});

test('should not count a worker lease as expired that a successor may have extended', async (t) => {
  // The owner loses the store and one worker, and its successor renews the lease of that worker.
  const { site, owner, successor } = await makeSuccession(25_000);
  await site.submit(owner, ID, makeJob(makeStep({ count: 4 })));
  await site.run(500);
  owner.store.isCutOff = true;
  site.cutFromWorkers('a-1', ['w0']);
  site.cutFromWorkers('b-2', ['w1']);
  await site.run(11_000);
  site.healWorkers();
  owner.store.isCutOff = false;
  await site.run(3_000);
  t.deepEqual(site.record.violations, []);
  t.is(await site.state(successor, ID), 'running');
});

test('should not start jobs that it first sees after its lease has ended', async (t) => {
  // The owner is partitioned, its successor serves new jobs, and then the partition heals.
  const { site, owner, successor } = await makeSuccession(2_000, 4);
  owner.store.isCutOff = true;
  site.cutFromWorkers('a-1', ['w0', 'w1']);
  site.cutFromWorkers('b-2', ['w2', 'w3']);
  await site.run(4_000);
  for (let at = 0; at < 4; at += 1) {
    await site.submit(successor, `00000000000000c${at}`, makeJob(makeStep({ count: 3 })));
  }
  await site.run(200);
  owner.store.isCutOff = false;
  await site.run(400);
  site.healWorkers();
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
  t.is(await site.state(successor, '00000000000000c3'), 'completed');
});

test('should start nothing twice when the store compacts its history', async (t) => {
  const { site, owner } = await makeOwnedSite({ behave: () => ({ size: SIZE, durationMs: 300 }) });
  await site.submit(owner, ID, makeJob(makeStep({ count: 2 })));
  await site.run(1_000);
  site.data.put('jobs/unrelated', 'x');
  site.data.compactedTo = site.data.revision + 1_000;
  await site.run(1_500);
  site.data.compactedTo = 0;
  await site.run(2_000);
  t.is(site.record.runs.length, 2);
  t.deepEqual(site.record.violations, []);
});

test('should go on with the jobs it knows while the store is unreachable', async (t) => {
  const { site, owner } = await makeOwnedSite();
  await site.submit(owner, ID, makeJob(makeStep(), makeStep({ after: [0] })));
  await site.run(200);
  owner.store.isCutOff = true;
  await site.run(3_000);
  t.is(site.record.runs.filter(({ kind }) => kind === 'done').length, 2);
  owner.store.isCutOff = false;
  await site.run(3_000);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

test('should violate no invariant under kills, restarts and late orders', async (t) => {
  for (const seed of [3, 5, 8, 13]) {
    const site = new JobSite({
      workers: 4,
      behave: (taskId) => ({ size: SIZE, durationMs: 400 + (taskId.charCodeAt(15) % 5) * 300 }),
    });
    let live = [site.start('a'), site.start('b'), site.start('c')];
    await site.run(600);
    const ids: string[] = [];
    for (let round = 0; round < 8; round += 1) {
      const id = `0000000000000${seed}${round}`.padEnd(16, '0').slice(0, 15) + String(round);
      const through = live[(round * seed) % live.length] ?? live[0];
      if (through && (await site.submit(through, id, makeJob(makeStep({ count: 3 })))) === 'done') {
        ids.push(id);
      }
      const worker = site.workers.get(`w${(round + seed) % 4}`);
      if (round % 2 === 0) worker?.failStarts('late', 'answer-lost');
      if (round === 3) worker?.restart();
      if (round % 3 === 1) {
        const [first, ...rest] = live;
        first?.kill();
        live = [...rest, site.start(first?.name ?? 'x')];
      }
      await site.run(700 + ((seed * round) % 5) * 200);
    }
    await site.run(20_000);
    t.deepEqual(site.record.violations, [], `seed ${seed}`);
    const [witness] = live;
    for (const id of witness ? ids : []) {
      t.is(witness && (await site.state(witness, id)), 'completed', `seed ${seed}, job ${id}`);
    }
  }
});

test('should revoke the lease when the entry is stopped while it is being elected', async (t) => {
  const site = new JobSite({ workers: 1 });
  const first = site.start('a');
  await site.clock.advance(8);
  first.stop();
  await site.run(200);
  const second = site.start('b');
  await site.run(700);
  await site.submit(second, ID, makeJob(makeStep()));
  await site.run(1_800);
  t.is(await site.state(second, ID), 'completed');
});

test('should go on while it stops until the store takes its lease back', async (t) => {
  const { site, owner, successor } = await makeSuccession(1_000);
  await site.submit(owner, ID, makeJob(makeStep(), makeStep({ after: [0] })));
  await site.run(300);
  owner.store.isCutOff = true;
  successor.store.isCutOff = true;
  await site.run(200);
  owner.stop();
  await site.run(2_500);
  t.is(site.record.runs.filter(({ kind }) => kind === 'done').length, 2);
  owner.store.isCutOff = false;
  successor.store.isCutOff = false;
  await site.run(6_000);
  t.is(await site.state(successor, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

test('should wait for an unreachable worker no longer than its leases can last', async (t) => {
  const { site, owner, successor } = await makeSuccession(60_000, 4);
  await site.submit(owner, ID, makeJob(makeStep({ count: 4, longRunning: true })));
  await site.run(500);
  // One worker is lost, and the owner is killed before it has noticed.
  site.cutFromWorkers('b-2', ['w0']);
  site.data.remove('workers/w0');
  owner.kill();
  await site.run(14_000);
  const active = site.record.runs.filter(({ endedMs }) => endedMs === undefined);
  t.is(new Set(active.map(({ taskId }) => taskId)).size, 4);
  t.true(active.every(({ workerId }) => workerId !== 'w0'));
  t.deepEqual(site.record.violations, []);
  t.is(await site.state(successor, ID), 'running');
});

// Guards against an owner that resumes when its successor may already count all its leases as
// expired.
test('should start nothing after a pause longer than its lease until the lease is confirmed', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1, milliCores: 4_000 });
  await site.submit(owner, ID, makeJob(makeStep({ count: 8 })));
  await site.run(500);
  t.is(site.record.runs.length, 4);
  owner.store.isCutOff = true;
  site.clock.jump(MAXIMUM_UNCONFIRMED_MS + 8_000);
  await site.run(2_000);
  t.is(site.record.runs.length, 4);
});

// Guards against a successor that drops idle workers from the roster before it has read the
// directory: the next owner would not wait for runs that were started on them.
test('should keep idle workers in the roster until the directory is read', async (t) => {
  const { site, owner, successor } = await makeSuccession(1_000, 4);
  const from = site.data.revision;
  successor.store.unlisted.add('workers/');
  owner.kill();
  await site.run(6_000);
  const rosters = site.data.changes
    .filter(
      ({ key, revision }) => key === keysOfShare(WHOLE_SITE_SHARE_ID).roster && revision > from,
    )
    .map(({ value }) => (JSON.parse(value ?? '[]') as unknown[]).length);
  t.deepEqual(
    rosters.filter((length) => length < 4),
    [],
  );
});

// Guards against a run that no successor waits for because no stored roster names its worker.
test('should start nothing on a worker before a roster with this worker is stored', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    milliCores: 1_000,
    behave: () => ({ size: SIZE, durationMs: 20_000 }),
  });
  site.addWorker('w1');
  owner.store.failCommitsUnder(keysOfShare(WHOLE_SITE_SHARE_ID).roster, 'silent', 'silent');
  await site.submit(owner, ID, makeJob(makeStep({ count: 2, estimateMs: 60_000 })));
  await site.run(1_000);
  t.deepEqual(
    site.record.runs.map(({ workerId }) => workerId),
    ['w0'],
  );
  await site.run(5_000);
  t.true(site.record.runs.some(({ workerId }) => workerId === 'w1'));
});

// Guards against a task that runs twice: a successor takes a worker for gone because another one has
// its former address, and the worker was given work at its new address.
test('should start nothing at a new address before a roster with this address is stored', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  const worker = site.workers.get('w0');
  if (!worker) throw new Error('no worker');
  worker.restart();
  worker.address = 'w0:2';
  owner.store.failCommitsUnder(keysOfShare(WHOLE_SITE_SHARE_ID).roster, 'silent', 'silent');
  site.registerWorker('w0', { address: worker.address, bornMs: worker.bornMs });
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(1_500);
  t.is(site.record.runs.length, 0);
  await site.run(6_000);
  t.is(site.record.runs.length, 1);
});

// Guards against an owner on a slow VM that was elected because it noticed the vacancy first.
test('should elect a fast entry although slow ones notice the vacancy earlier', async (t) => {
  const owners: (string | undefined)[] = [];
  for (let delayMs = 0; delayMs < 200; delayMs += 25) {
    const site = new JobSite({ workers: 1 });
    const first = site.start('first');
    await site.run(500);
    const fast = site.start('fast');
    await site.clock.advance(70);
    ['slow-1', 'slow-2'].forEach((name) => site.start(name, false, 0.2));
    // Steady changes make the followers of the store batch.
    for (let at = 0; at < 1_000 + delayMs; at += 25) {
      site.data.put('jobs/change', String(at));
      await site.clock.advance(25);
    }
    first.stop();
    await site.run(1_500);
    owners.push(fast.entry.status().shares[0]?.owner);
  }
  t.deepEqual(new Set(owners), new Set(['fast']));
});

// Guards against a restarted worker that has lost the successor's fencing token and accepts any
// order.
test('should start nothing on a restarted worker while there may be a successor', async (t) => {
  const { site, owner, successor } = await makeSuccession(3_000, 1);
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(500);
  owner.store.isCutOff = true;
  site.cutFromWorkers(owner.client, ['w0']);
  await site.run(6_000);
  t.is(await site.state(successor, ID), 'completed');
  site.workers.get('w0')?.restart();
  site.healWorkers();
  await site.run(10_000);
  t.is(site.record.runs.length, 1);
  t.deepEqual(site.record.violations, []);
});
