/**
 * A trial of a site: mixed load, faults one after another, cure, and the verdict of the histories.
 */
import { violations, type VersionSample, type Violation } from '../invariants.js';

import { MixedLoad } from './mixedLoad.js';
import type { LoadPlan } from './loadPlan.js';
import type { CallerRecord } from './callerRecord.js';
import { pause, Site, until, type SitePrograms } from './site.js';
import { SiteCaller } from './siteCaller.js';
import type { Fault, FaultKind, FaultPlace } from './siteFault.js';
import { SiteOperator } from './siteOperator.js';
import type { SitePlan } from './sitePlan.js';
import { sampleVersions } from './versionSampler.js';

/** What a trial consists of. */
export interface TrialPlan {
  readonly site: SitePlan;
  readonly programs: SitePrograms;
  /** Empty directory for settings, logs and histories. */
  readonly directory: string;
  /** Directory of configuration files. */
  readonly configuration: string;
  readonly load: LoadPlan;
  readonly onceClasses: ReadonlySet<string>;
  /** Faults, begun one after another and cured in the opposite order. */
  readonly faults: readonly FaultKind[];
  /** Time under load before the first fault and after each, in milliseconds. */
  readonly stepMs: number;
  readonly pick: FaultPlace['pick'];
}

/** A task that has not ended, as an entry shows it. */
export interface UnfinishedTask {
  readonly id: string;
  readonly shown: string;
}

/** What a trial showed. */
export interface TrialResult {
  readonly violations: readonly Violation[];
  readonly unfinished: readonly UnfinishedTask[];
  readonly records: readonly CallerRecord[];
  readonly acceptedTasks: number;
}

const END_TIMEOUT_MS = 60_000;
/** States in which nothing more happens by itself. */
const SETTLED_STATES: ReadonlySet<string> = new Set(['completed', 'failed', 'cancelled', 'held']);

interface TaskShown {
  readonly state: string;
}

interface StatusShown {
  readonly resources: readonly { readonly owner: string | null }[];
}

const everythingOwned = async (caller: SiteCaller): Promise<boolean> => {
  const status = await caller.read<StatusShown>('/status');
  if (!status || status.resources.length === 0) return false;
  return status.resources.every(({ owner }) => owner !== null);
};

const unfinishedTasks = async (caller: SiteCaller): Promise<readonly UnfinishedTask[]> => {
  const shown = await Promise.all(
    caller.tasks.map(async ({ id }) => ({
      id,
      task: await caller.read<TaskShown>(`/tasks/${id}`),
    })),
  );
  return shown
    .filter(({ task }) => !task || !SETTLED_STATES.has(task.state))
    .map(({ id, task }) => ({ id, shown: JSON.stringify(task) ?? 'not shown' }));
};

const runFaults = async (plan: TrialPlan, place: FaultPlace): Promise<void> => {
  const begun: Fault[] = [];
  await pause(plan.stepMs);
  for (const kind of plan.faults) {
    begun.push(await kind.begin(place));
    await pause(plan.stepMs);
  }
  for (const fault of begun.reverse()) await fault.cure();
  await pause(plan.stepMs);
};

const prepare = async (plan: TrialPlan, site: Site, operator: SiteOperator): Promise<void> => {
  await site.start();
  const { version } = await operator.publish(plan.configuration);
  await operator.inForce(version);
  const caller = new SiteCaller(site);
  await until('everything to be owned', () => everythingOwned(caller));
};

const endTasks = async (
  plan: TrialPlan,
  caller: SiteCaller,
): Promise<readonly UnfinishedTask[]> => {
  const watchers = caller.tasks.filter(
    ({ taskClass }) => taskClass === plan.load.watchers.taskClass,
  );
  const cancelAll = (): Promise<unknown> =>
    Promise.all(watchers.map(({ id }) => caller.cancel(id)));
  try {
    await until(
      'every task to end',
      async () => {
        await cancelAll();
        return (await unfinishedTasks(caller)).length === 0;
      },
      END_TIMEOUT_MS,
    );
    return [];
  } catch {
    return unfinishedTasks(caller);
  }
};

/**
 * Runs a trial and ends every process it started.
 *
 * @param plan - what to do
 * @returns what was seen
 */
export const runTrial = async (plan: TrialPlan): Promise<TrialResult> => {
  const site = new Site(plan.site, plan.programs, plan.directory);
  const operator = new SiteOperator(site);
  const caller = new SiteCaller(site);
  try {
    await prepare(plan, site, operator);
    const load = new AbortController();
    const versions: VersionSample[] = [];
    const sampling = sampleVersions(site, operator, versions, load.signal);
    const sending = new MixedLoad(caller, plan.load).run(load.signal);
    await runFaults(plan, { site, operator, pick: plan.pick });
    load.abort();
    await Promise.all([sending, sampling]);
    const unfinished = await endTasks(plan, caller);
    const broken = violations({
      events: site.history(),
      outWindows: operator.outWindows,
      leaveWindows: site.leaveWindows,
      versions,
      callers: caller.records,
      onceClasses: plan.onceClasses,
    });
    return {
      violations: broken,
      unfinished,
      records: caller.records,
      acceptedTasks: caller.tasks.length,
    };
  } finally {
    await site.stop();
  }
};
