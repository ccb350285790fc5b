/**
 * Owners that end one after the other, each at another phase of its take-over, while workers are lost.
 *
 * `ALL_CHAINS=1` plays all chains instead of a sample.
 */
import test, { type ExecutionContext } from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { runUntil, type JobSite, type SiteEntry } from '../fixtures/jobSite.js';
import {
  countRunning,
  LASTING_TASKS as TASKS,
  makeSiteWithLastingTasks,
} from '../fixtures/lastingTasks.js';
import { isOwner } from '../fixtures/ownerIsland.js';

/** Longest time for which a worker can hold a lease that nobody extends, in milliseconds. */
const LONGEST_LEASE_MS = 6_500;

/** Time in which a former owner learns of its successor, in milliseconds. */
const DISCOVERY_MS = 2_500;

/** Time until a successor starts tasks at the latest, in milliseconds. */
const ELECTION_MS = 3_500;

/** Time in which an owner learns from its workers what they run, in milliseconds. */
const REPORT_MS = 1_500;

/** Time for which an owner that is cut off may go on, in milliseconds. */
const LONGEST_UNCONFIRMED_MS = 12_000;

const KEYS = keysOfShare(WHOLE_SITE_SHARE_ID);

/** Ways in which an owner ends. */
const ENDS = ['killed', 'cut off'] as const;

/** How far an owner comes in its take-over before it ends. */
const PHASES = ['elected', 'journal opened', 'took over', 'first record'] as const;

/** What becomes of the workers. */
const LOSSES = ['gone', 'drained', 'back', 'replaced'] as const;

type End = (typeof ENDS)[number];
type Phase = (typeof PHASES)[number];
type Loss = (typeof LOSSES)[number];

/** Time for which the first owner goes on after the loss, in milliseconds. */
const KNOWN_MS = 2_000;

const leave = (site: JobSite, id: string): void => {
  site.entries.forEach(({ client }) => site.cutFromWorkers(client, [id]));
  site.data.remove(`workers/${id}`);
};

/** Loses a worker, with its runs unless it has drained. */
const lose = async (site: JobSite, loss: Loss): Promise<void> => {
  const worker = site.workers.get('w0');
  if (loss === 'back' || loss === 'replaced') worker?.crash();
  if (loss === 'drained') {
    site.registerWorker('w0', { phase: 'draining', remainingMs: 6_000 });
    await site.run(KNOWN_MS);
  }
  if (loss === 'gone' || loss === 'drained') leave(site, 'w0');
};

/** Lets an entry come to a phase of its take-over at most, before it is elected. */
const stopAt = ({ store }: SiteEntry, phase: Phase): void => {
  const MANY = 20;
  const silent = Array.from({ length: MANY }, () => 'silent' as const);
  if (phase === 'elected') store.failCommitsUnder(KEYS.journal, ...silent);
  if (phase === 'journal opened') store.unlisted.add(KEYS.ownerPrefix);
};

/** Ends an entry. */
const end = (site: JobSite, entry: SiteEntry, how: End): void => {
  if (how === 'killed') entry.kill();
  else Object.assign(entry.store, { isCutOff: true });
};

/** Waits until an owner has come to a phase of its take-over. */
const waitForPhase = async (site: JobSite, entry: SiteEntry, phase: Phase): Promise<void> => {
  await runUntil(site, () => isOwner(site, entry));
  if (phase === 'elected') return;
  await runUntil(
    site,
    () => site.data.items.get(KEYS.journal)?.value.startsWith(entry.client) ?? false,
  );
  if (phase === 'journal opened') return;
  const hasTakenOver = (): boolean => entry.entry.status().workers.length > 0;
  await runUntil(site, hasTakenOver);
  if (phase === 'first record') await site.run(300);
};

/** Runs a site until an owner that goes on has all tasks at work. */
const waitForAll = async (site: JobSite): Promise<void> => {
  const LONGEST_MS = ELECTION_MS + LONGEST_UNCONFIRMED_MS + LONGEST_LEASE_MS + DISCOVERY_MS;
  const untilMs = site.clock.monotonicMs() + LONGEST_MS;
  while (countRunning(site) < TASKS && site.clock.monotonicMs() < untilMs)
    await site.clock.advance(50);
};

/** Plays a chain of owners; `phases` are those at which the successors of the first owner end. */
const playChain = async (
  t: ExecutionContext,
  loss: Loss,
  phases: readonly Phase[],
  how: End,
): Promise<void> => {
  const name = `${loss}, ${phases.join(', ')}, ${how}`;
  const { site, owner, successor } = await makeSiteWithLastingTasks({
    replacesCrashed: loss === 'replaced',
  });
  const chain = [successor];
  await lose(site, loss);
  await site.run(KNOWN_MS);
  const lostMs = site.clock.monotonicMs() - KNOWN_MS;
  end(site, owner, how);
  for (const [at, phase] of phases.entries()) {
    const entry = chain[at];
    if (!entry) return;
    stopAt(entry, phase);
    await waitForPhase(site, entry, phase);
    const next = site.start(`n${at}`);
    if (loss === 'gone' || loss === 'drained') site.cutFromWorkers(next.client, ['w0']);
    chain.push(next);
    await site.run(200);
    // The task of this worker waits for all former workers to be accounted for.
    if (at === phases.length - 1) site.workers.get('w1')?.restart();
    end(site, entry, how);
  }
  const endedMs = site.clock.monotonicMs();
  await waitForAll(site);
  const tookMs = site.clock.monotonicMs();
  const longestMs = Math.max(lostMs + LONGEST_LEASE_MS, endedMs + ELECTION_MS + REPORT_MS);
  t.true(tookMs <= longestMs, `${name}: ${Math.round(tookMs - longestMs)} ms late`);
  await site.run(LONGEST_UNCONFIRMED_MS);
  t.deepEqual(site.record.violations, [], name);
  t.is(countRunning(site), TASKS, name);
};

const chains = (length: number): readonly (readonly Phase[])[] =>
  length === 0
    ? [[]]
    : chains(length - 1).flatMap((phases) => PHASES.map((phase) => [...phases, phase]));

const ALL = [...chains(1), ...chains(2), ...chains(3)];

/** Every how many chains one is played; a prime, so that each test has other phases in all places. */
const STEP = process.env['ALL_CHAINS'] === undefined ? 11 : 1;

// Guards against waits that begin anew with an owner, and against tasks that run twice, whatever phase of
// its take-over each owner came to.
LOSSES.flatMap((loss) => ENDS.map((how) => ({ loss, how }))).forEach(({ loss, how }, first) => {
  test(`should run all tasks again in time after two to four owners, ${loss}, ${how}`, async (t) => {
    const played = ALL.filter((_, at) => at % STEP === first % STEP);
    for (const phases of played) await playChain(t, loss, phases, how);
  });
});
