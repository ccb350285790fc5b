/**
 * Tasks of this share's jobs that it has delegated to other shares.
 *
 * A delegation is written under this share's own keys before it is written to the inbox of the
 * other share, and every successor repeats both writes. So a task always belongs to exactly one
 * share.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';
import { toMonotonicMs } from '../../time/unixTime.js';

import {
  decodeDelegation,
  encodeDelegation,
  type Delegation,
  type DelegationReport,
  type ReportedTask,
} from '../model/delegation.js';
import { taskAt, type OwnedJob, type OwnedStep, type OwnedTask } from '../model/ownedJob.js';
import type { JobRegistry } from '../store/jobRegistry.js';
import { isDelegationKey, keysOfShare } from '../store/jobKeys.js';
import type { ProgressJournal } from '../store/progressJournal.js';
import { describeTask } from './delegatedTask.js';
import type { DelegationStatus } from './entryStatus.js';

/** Settings and collaborators of `OutgoingDelegations`. */
export interface OutgoingDelegationsOptions {
  /** Id of this share, the home of the delegated tasks. */
  readonly share: string;
  readonly fencingToken: number;
  readonly book: JobRegistry;
  readonly journal: ProgressJournal;
  readonly clock: Clock;
  /** Returns the fencing token of the owner of another share; undefined if it has none. */
  readonly tokenOf: (share: string) => number | undefined;
  /** Called when a task is done in another share. */
  readonly onDone: (task: OwnedTask) => void;
  /** Called when runs of a task have failed in another share. */
  readonly onFailed: (task: OwnedTask) => void;
  /** Called when a task was given up in another share because workers crashed under it. */
  readonly onGivenUp: (task: OwnedTask) => void;
  /** Called when tasks of a step are back because the share that had them found no worker. */
  readonly onReturned: (step: OwnedStep, from: string) => void;
}

/** A delegation that is not closed yet, with the step whose tasks it holds. */
interface OutgoingDelegation {
  readonly delegation: Delegation;
  readonly job: OwnedJob;
  readonly step: OwnedStep;
  /** Indexes of the tasks whose outcome the other share has not reported yet. */
  readonly open: Set<number>;
}

const idOf = ({ jobId, name }: Pick<Delegation, 'jobId' | 'name'>): string => `${jobId}/${name}`;

/** Orders delegations by age: a name holds the owner's fencing token and a rising number. */
const byAge = (one: Delegation, other: Delegation): number => {
  const [oneToken = 0, oneNumber = 0] = one.name.split('-').map(Number);
  const [otherToken = 0, otherNumber = 0] = other.name.split('-').map(Number);
  return oneToken - otherToken || oneNumber - otherNumber;
};

/** Delegations to other shares during one term. */
export class OutgoingDelegations {
  private readonly log = partLog('delegations');

  private readonly away = new Map<string, OutgoingDelegation>();

  /** Id of the newest delegation of each task that is away. */
  private readonly latestDelegationIds = new Map<OwnedTask, string>();

  private sentCount = 0;

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: OutgoingDelegationsOptions) {}

  /** @returns the number of delegations that are not closed yet */
  get count(): number {
    return this.away.size;
  }

  /**
   * Lists the open delegations of a job.
   *
   * @param jobId - id of the job
   * @returns the delegations
   */
  statusOf(jobId: string): readonly DelegationStatus[] {
    return [...this.away.values()]
      .filter(({ delegation }) => delegation.jobId === jobId)
      .map(({ delegation: { name, to, occurrence, step }, open }) => ({
        delegation: name,
        to,
        occurrence,
        step,
        tasks: open.size,
      }));
  }

  /**
   * Restores the delegations of former owners of the share.
   *
   * @param values - delegations as stored text
   * @param exchange - delegations and reports of all shares, as stored text by key
   */
  restore(values: readonly string[], exchange: ReadonlyMap<string, string>): void {
    const delegations = values.flatMap((text) => this.decode(text) ?? []);
    // Oldest first, so that the newest delegation of a task wins.
    delegations.sort(byAge).forEach((delegation) => this.restoreOne(delegation));
    // A former owner may have ended after it had removed only some of the keys of a delegation.
    exchange.forEach((text, key) => {
      if (!isDelegationKey(key)) return;
      const delegation = this.decode(text);
      if (delegation?.home !== this.options.share || this.away.has(idOf(delegation))) return;
      this.log.info('Removing the remaining keys of a closed delegation', {
        jobId: delegation.jobId,
        delegation: delegation.name,
        to: delegation.to,
      });
      this.removeExchanged(delegation.to, delegation);
    });
  }

  /**
   * Delegates tasks that have no runs to another share.
   *
   * @param step - step of the tasks
   * @param tasks - the tasks
   * @param to - id of the share that receives them
   */
  send(step: OwnedStep, tasks: readonly OwnedTask[], to: string): void {
    const { share, fencingToken, tokenOf, clock } = this.options;
    const { job, index } = step.occurrence;
    this.sentCount += 1;
    const delegation: Delegation = {
      jobId: job.id,
      name: `${fencingToken}-${this.sentCount}`,
      home: share,
      to,
      toToken: tokenOf(to),
      occurrence: index,
      step: step.index,
      tasks: tasks.map((task) => describeTask(task, clock)),
    };
    this.log.info('Tasks are handed to another share', {
      jobId: job.id,
      delegation: delegation.name,
      to,
      step: step.index,
      tasks: tasks.length,
      indexes: delegation.tasks.map((task) => task.index).join(' '),
    });
    this.track(delegation, job, step);
    this.write(delegation, step);
  }

  /**
   * Applies a report of the share that has the tasks; closes the delegation with its last task.
   *
   * @param jobId - id of the job
   * @param name - name of the delegation
   * @param report - the report
   */
  onReport(jobId: string, name: string, report: DelegationReport): void {
    const away = this.away.get(`${jobId}/${name}`);
    if (!away) {
      // The delegation was closed before the other share wrote this, or its keys were only partly
      // removed.
      this.log.info('A report on a closed delegation is removed', {
        jobId,
        delegation: name,
        from: report.from,
      });
      this.removeExchanged(report.from, { jobId, name });
      return;
    }
    if (report.hasStarted) away.job.hasStarted = true;
    report.tasks.forEach((row) => this.applyTaskReport(away, row));
    if (away.open.size > 0 || !this.away.has(`${jobId}/${name}`)) return;
    this.options.book.saveProgress(away.job);
    this.close(away, 'all its tasks are reported');
  }

  /**
   * Recalls all delegated tasks of a job that has ended.
   *
   * @param job - the job
   */
  recallAll(job: OwnedJob): void {
    this.away.forEach((away) => {
      if (away.job === job) this.close(away, 'its job is over');
    });
  }

  private decode(text: string): Delegation | undefined {
    try {
      return decodeDelegation(text);
    } catch (error) {
      this.log.error('A delegation cannot be read', { reason: String(error) });
      return undefined;
    }
  }

  private restoreOne(delegation: Delegation): void {
    const { jobId, occurrence, step: at } = delegation;
    const job = this.options.book.find(jobId);
    const step = job?.open(occurrence)?.steps[at];
    if (!job || !step) {
      this.log.info('A delegation is removed: its job is not open', {
        jobId,
        delegation: delegation.name,
        to: delegation.to,
      });
      this.removeKeys(delegation);
      return;
    }
    this.log.info('A delegation is restored', {
      jobId,
      delegation: delegation.name,
      to: delegation.to,
      step: at,
      indexes: delegation.tasks.map(({ index }) => index).join(' '),
    });
    this.track(delegation, job, step);
    // The former owner may have ended between its two writes.
    this.write(delegation, step);
  }

  private track(delegation: Delegation, job: OwnedJob, step: OwnedStep): void {
    const open = new Set<number>();
    delegation.tasks.forEach(({ index }) => {
      const task = taskAt(step, index);
      if (!task || task.done) return;
      task.isElsewhere = true;
      this.latestDelegationIds.set(task, idOf(delegation));
      open.add(index);
    });
    this.away.set(idOf(delegation), { delegation, job, step, open });
  }

  /** The order matters: the other share must have no task that a successor takes to be at home. */
  private write(delegation: Delegation, { spec }: OwnedStep): void {
    const { journal, share } = this.options;
    const text = encodeDelegation(delegation);
    const id = idOf(delegation);
    const change = {
      series: delegation.jobId,
      isUrgent: true,
      overtakes: spec.longRunning,
      value: () => text,
    };
    journal.add({ ...change, key: keysOfShare(share).openDelegationsPrefix + id });
    journal.add({ ...change, key: keysOfShare(delegation.to).receivedDelegationsPrefix + id });
  }

  private applyTaskReport({ delegation, step, open }: OutgoingDelegation, row: ReportedTask): void {
    const task = taskAt(step, row.index);
    if (!task || !open.has(row.index)) return;
    task.nextRun = Math.max(task.nextRun, row.nextRun);
    if (row.checkpoint !== '') task.checkpoint = row.checkpoint;
    const failedBefore = task.failedRuns.length;
    task.failedRuns = [...new Set([...task.failedRuns, ...row.failedRuns])];
    const isLatest = this.latestDelegationIds.get(task) === idOf(delegation);
    if (row.outcome !== 'open') {
      open.delete(row.index);
      this.log.info('A delegated task is reported', {
        taskId: task.id,
        delegation: delegation.name,
        from: delegation.to,
        outcome: row.outcome,
        nextRun: row.nextRun,
        isLatest,
      });
    }
    if (!isLatest) return;
    // The share that has the task also forgets crashes. It does not know those at home since it has returned it.
    const crashedSince = task.crashedRuns.filter((run) => run >= row.nextRun);
    task.crashedRuns = [...row.crashedRuns, ...crashedSince];
    task.hasRun ||= row.hasRun;
    if (row.interruptedAtMs !== undefined)
      task.interruptedMs = toMonotonicMs(this.options.clock, row.interruptedAtMs);
    if (row.outcome !== 'open') {
      this.latestDelegationIds.delete(task);
      task.isElsewhere = false;
    }
    if (row.outcome === 'done') this.options.onDone(task);
    else if (task.failedRuns.length > failedBefore) this.options.onFailed(task);
    else if (row.outcome === 'failed' && row.crashedRuns.length > 0) this.options.onGivenUp(task);
    if (row.outcome === 'returned') this.options.onReturned(step, delegation.to);
  }

  private close(away: OutgoingDelegation, reason: string): void {
    const { delegation, open } = away;
    this.log.info('A delegation is closed', {
      jobId: delegation.jobId,
      delegation: delegation.name,
      to: delegation.to,
      reason,
      openTasks: open.size,
    });
    this.away.delete(idOf(away.delegation));
    away.step.tasks.forEach((task) => {
      if (this.latestDelegationIds.get(task) === idOf(away.delegation))
        this.latestDelegationIds.delete(task);
    });
    this.removeKeys(delegation);
  }

  /** The order matters: a successor removes what is left if only the first key was removed. */
  private removeKeys(delegation: Delegation): void {
    const key = keysOfShare(this.options.share).openDelegationsPrefix + idOf(delegation);
    this.options.journal.add({ key, series: delegation.jobId });
    this.removeExchanged(delegation.to, delegation);
  }

  /** The delegation goes first: without its report, it would be accepted as a new one. */
  private removeExchanged(to: string, delegation: Pick<Delegation, 'jobId' | 'name'>): void {
    const { journal, share } = this.options;
    const id = idOf(delegation);
    const series = delegation.jobId;
    journal.add({ key: keysOfShare(to).receivedDelegationsPrefix + id, series });
    journal.add({ key: keysOfShare(share).receivedReportsPrefix + id, series });
  }
}
