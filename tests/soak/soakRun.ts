/**
 * One soak: load and faults for a while, then a calm in which everything accepted has to end.
 */
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

import { CALLER_PORT } from './entryProcess.js';
import { PromiseChecker } from './promiseChecker.js';
import { SoakCallers } from './soakCallers.js';
import { isEndless, type JobKinds } from './soakJob.js';
import { ShareOwners } from './shareOwners.js';
import {
  drawFaults,
  drawOwnerFaults,
  drawScenes,
  type Fault,
  type FaultKind,
  type SceneKind,
} from './soakFaults.js';
import type { SoakResult } from './soakReport.js';
import { SoakSite } from './soakSite.js';
import { changeWorkers } from './workerChanges.js';

/** What a soak is made of. */
export interface SoakOptions {
  readonly seed: number;
  /** Time with load and faults, in seconds. */
  readonly seconds: number;
  readonly entries: number;
  readonly workers: number;
  readonly workerCpu: number;
  /** Mean time between two jobs, in milliseconds. */
  readonly jobGapMs: number;
  /** Workers of a service that gets no jobs; none if left out. */
  readonly idleWorkers?: number;
  /** Jobs that are handed in at one moment; one if left out. */
  readonly jobBurst?: number;
  /** Times that a step has its usual tasks; once if left out. */
  readonly stepWidth?: number;
  /** Kinds of jobs; the usual ones if left out. */
  readonly jobKinds?: JobKinds;
  /** Mean time between two changes of workers, in milliseconds; none if left out. */
  readonly workerChangeGapMs?: number;
  /** Mean time between two faults, in milliseconds. */
  readonly faultGapMs: number;
  /** Faults strike owners while they change, in series. */
  readonly strikesOwners?: boolean;
  /** Kinds of these faults; the usual ones if left out. */
  readonly ownerFaultKinds?: readonly FaultKind[];
  /** Scenes strike, one after the other, instead of faults; of these kinds. */
  readonly scenes?: readonly SceneKind[];
  /** Data centres, at most three; two if left out. */
  readonly dataCentres?: number;
  /** Shares of a core that the entries say their VMs have, in turn; whole ones if left out. */
  readonly processorShares?: readonly number[];
  /** Share of a processor that each entry is held to; a whole one if left out. */
  readonly processorLimit?: number;
  readonly program: string;
  readonly folder: string;
  /** Whether bounds in time are checked; not on machines that may be busy. */
  readonly judgesTime: boolean;
  readonly runtimeWords?: readonly string[];
  /** Hears of progress. */
  readonly tell: (line: string) => void;
}

/** Time for entries to start and learn of workers, in milliseconds. */
const START_MS = 4_000;

/** Time after the last fault in which bounds in time do not hold, in milliseconds. */
const CALM_MS = 4_000;

/** Time in which everything accepted has to end after the load, in milliseconds. */
const FINISH_MS = 60_000;

/** Time between two lines of progress, in milliseconds. */
const TELL_MS = 10_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Draws to leave out: the first ones of small seeds are alike. */
const SKIPPED_DRAWS = 32;

/** Distance of the seed of changes of workers from the soak's. */
const CHANGES_SEED = 500_000;

export const makeRandom = (seed: number): SeededRandom => {
  const random = new SeededRandom(seed);
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.fraction();
  return random;
};

const draw = (options: SoakOptions, durationMs: number): readonly Fault[] => {
  const { seed, scenes, strikesOwners = false, faultGapMs, ownerFaultKinds } = options;
  const random = makeRandom(seed);
  if (scenes) return drawScenes(random, durationMs, scenes);
  return strikesOwners
    ? drawOwnerFaults(random, durationMs, faultGapMs, ownerFaultKinds)
    : drawFaults(random, durationMs, faultGapMs);
};

/** Cancels watchers and waits for the rest. */
const finish = async (checker: PromiseChecker, callers: SoakCallers): Promise<void> => {
  const untilMs = checker.nowMs() + FINISH_MS;
  for (;;) {
    const open = checker.accepted().filter(({ finalState }) => finalState === undefined);
    if (open.length === 0) return;
    for (const { job, cancelSentMs } of open) {
      if (isEndless(job) || cancelSentMs !== undefined) await callers.cancel(job);
      await callers.state(job);
    }
    if (checker.nowMs() > untilMs) {
      open.forEach(({ job, finalState }) => {
        if (finalState === undefined) checker.break('lost', `${job.id} has not ended`);
      });
      return;
    }
    await sleep(500);
  }
};

/**
 * Runs a soak.
 *
 * @param options - seed, sizes and program
 * @returns what was seen
 */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, seconds, tell } = options;
  const startMs = performance.now();
  const owners = new ShareOwners();
  const checker = new PromiseChecker(
    () => performance.now() - startMs,
    (token) => owners.entryOf(token),
  );
  checker.isCalm = options.judgesTime;
  const { strikesOwners = false, dataCentres = 2, jobBurst = 1, stepWidth = 1 } = options;
  const site = new SoakSite({
    ...options,
    checker,
    owners,
    dataCentres,
    spreadsRestarts: strikesOwners || options.scenes !== undefined,
  });
  await site.start();
  const callers = new SoakCallers(
    site.entries.map(({ entry }) => ({ host: entry.options.host, port: CALLER_PORT })),
    checker,
  );
  await sleep(START_MS);
  const durationMs = START_MS + 1_000 * seconds;
  const faults = draw(options, durationMs);
  const timers = faults.map((fault) =>
    setTimeout(
      () => {
        checker.isCalm = false;
        const end = site.strike(fault);
        setTimeout(() => end?.(), fault.forMs);
      },
      Math.max(0, fault.atMs - checker.nowMs()),
    ),
  );
  const calm = setInterval(() => {
    const nowMs = checker.nowMs();
    const isQuiet = faults.every(
      ({ atMs, forMs }) => nowMs < atMs || nowMs > atMs + forMs + CALM_MS,
    );
    checker.isCalm = options.judgesTime && isQuiet;
  }, 100);
  const progress = setInterval(() => {
    tell(
      `seed ${seed}, ${Math.round(checker.nowMs() / 1_000)} s: ${checker.accepted().length} jobs, ` +
        `${checker.runningCount()} runs, ${checker.violations.length} broken promises`,
    );
  }, TELL_MS);
  const { jobGapMs, jobKinds = 'usual', workerChangeGapMs } = options;
  const load = { gapMs: jobGapMs, jobBurst, stepWidth, jobKinds };
  const isOver = (): boolean => checker.nowMs() >= durationMs;
  const changes =
    workerChangeGapMs === undefined
      ? undefined
      : changeWorkers(site, checker, makeRandom(seed + CHANGES_SEED), workerChangeGapMs, isOver);
  await callers.drive(makeRandom(-seed), load, isOver);
  await changes;
  await sleep(CALM_MS);
  await finish(checker, callers);
  clearInterval(calm);
  clearInterval(progress);
  timers.forEach((timer) => clearTimeout(timer));
  callers.close();
  await site.stop();
  const accepted = checker.accepted();
  const endedAs = (...states: readonly string[]): number =>
    accepted.filter(({ finalState }) => finalState && states.includes(finalState)).length;
  return {
    seed,
    seconds,
    faults,
    counts: [...callers.counts],
    violations: checker.violations,
    accepted: accepted.length,
    ended: endedAs('completed', 'failed'),
    cancelled: endedAs('cancelled'),
    shares: owners.shares().length,
    takeovers: owners.takeovers,
    delegations: owners.delegations,
    mostRestored: owners.mostRestored,
    ownEnds: site.entries.reduce((sum, { entry }) => sum + entry.ownEnds, 0),
  };
};
