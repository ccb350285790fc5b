/**
 * Tasks that other shares have delegated to this one: accepts them, reports on them, returns them.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';
import { toMonotonicMs } from '../../time/unixTime.js';

import {
  encodeReport,
  type Delegation,
  type DelegationReport,
  type TaskOutcome,
} from '../model/delegation.js';
import { IndexRanges } from '../model/indexRanges.js';
import type { JobProgress } from '../model/jobProgress.js';
import {
  isTaskWaiting,
  taskAt,
  type OwnedJob,
  type OwnedStep,
  type OwnedTask,
} from '../model/ownedJob.js';
import type { JobRegistry } from '../store/jobRegistry.js';
import { keysOfShare } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { ProgressJournal } from '../store/progressJournal.js';
import { describeTask } from './delegatedTask.js';

/** Settings and collaborators of `IncomingDelegations`. */
export interface IncomingDelegationsOptions {
  readonly book: JobRegistry;
  readonly replica: JobReplica;
  readonly journal: ProgressJournal;
  readonly clock: Clock;
  /** Stops all runs of a delegated part of a job. */
  readonly stopRuns: (job: OwnedJob, reason: string) => void;
}

/** An accepted delegation, with the local job that holds its tasks. */
interface IncomingDelegation {
  readonly delegation: Delegation;
  readonly job: OwnedJob;
  readonly step: OwnedStep;
  readonly tasks: readonly OwnedTask[];
}

const idOf = (jobId: string, name: string): string => `${jobId}/${name}`;

/** Progress of the delegated tasks: as last reported by this share, else as their home sent it. */
const progressOf = (
  { occurrence, step, tasks }: Delegation,
  report: DelegationReport | undefined,
): JobProgress => {
  const rows = new Map(report?.tasks.map((row) => [row.index, row]));
  const failedRuns = tasks.map(
    ({ index, failedRuns: runs }) => [index, rows.get(index)?.failedRuns ?? runs] as const,
  );
  const crashedRuns = tasks.map(
    ({ index, crashedRuns: runs }) => [index, rows.get(index)?.crashedRuns ?? runs] as const,
  );
  const done = [...rows.values()].filter(({ outcome }) => outcome === 'done');
  const steps = Array.from({ length: step + 1 }, () => ({
    done: new IndexRanges(),
    failedRuns: new Map<number, readonly number[]>(),
    crashedRuns: new Map<number, readonly number[]>(),
    places: new Map<number, string>(),
    interruptions: new Map<number, number>(),
  }));
  steps[step] = {
    done: IndexRanges.of(done.map(({ index }) => index)),
    failedRuns: new Map(failedRuns),
    crashedRuns: new Map(crashedRuns),
    places: new Map(),
    interruptions: new Map(),
  };
  return { doneOccurrences: new IndexRanges(), occurrences: new Map([[occurrence, steps]]) };
};

/** Outcome to report; a task that is not done and no longer here has failed or goes back. */
const outcomeOf = (task: OwnedTask): TaskOutcome => {
  const { done, isElsewhere: away, failedRuns, step } = task;
  const { job } = step.occurrence;
  if (done) return 'done';
  if (!away) return 'open';
  if (task.isGivenUp) return 'failed';
  const hasFailed = !step.spec.longRunning && failedRuns.length >= job.queue.maximumAttempts;
  return hasFailed ? 'failed' : 'returned';
};

const reportOf = (
  { delegation, job, tasks }: IncomingDelegation,
  clock: Clock,
): DelegationReport => ({
  from: delegation.to,
  hasStarted: job.hasStarted,
  tasks: tasks.map((task) => ({ ...describeTask(task, clock), outcome: outcomeOf(task) })),
});

/** Delegations from other shares during one term. */
export class IncomingDelegations {
  private readonly log = partLog('guests');

  private readonly byId = new Map<string, IncomingDelegation>();

  /** Delegations whose job the replica does not hold yet, with the function that accepts them. */
  private pending = new Map<string, () => void>();

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: IncomingDelegationsOptions) {}

  /** @returns the number of accepted delegations */
  get count(): number {
    return this.byId.size;
  }

  /**
   * Accepts a delegation; waits if its job is not known yet.
   *
   * @param delegation - the delegation
   * @param revision - store revision of the delegation; 0 if a former owner may have accepted it
   * @param report - last report that a former owner of this share wrote about it
   */
  accept(delegation: Delegation, revision: number, report?: DelegationReport): void {
    const { jobId, name, home, occurrence, step: at } = delegation;
    const { book, replica } = this.options;
    if (this.byId.has(idOf(jobId, name))) return;
    const known = replica.find(jobId);
    if (!known) {
      this.pending.set(idOf(jobId, name), () => this.accept(delegation, revision, report));
      return;
    }
    // The home share removes the keys of a job that has ended.
    if (replica.isTerminal(jobId)) return;
    const progress = progressOf(delegation, report);
    const job = book.addGuest(known.accepted, { delegation, revision, progress });
    const step = job.occurrences.get(occurrence)?.steps[at];
    if (!step) {
      this.log.error('A delegation refers to a step that its job does not have', {
        jobId,
        name,
        home,
        step: at,
      });
      book.removeGuest(job);
      return;
    }
    job.hasStarted = report?.hasStarted ?? false;
    const tasks = delegation.tasks.flatMap(({ index }) => taskAt(step, index) ?? []);
    const incoming = { delegation, job, step, tasks };
    this.byId.set(idOf(jobId, name), incoming);
    this.restoreRuns(incoming, report);
    this.restore(incoming, report);
    this.log.info('Tasks of another share are taken in', {
      jobId,
      delegation: name,
      home,
      step: at,
      tasks: tasks.length,
      revision,
      indexes: tasks.map(({ index }) => index).join(' '),
      open: tasks.filter(({ done, isElsewhere }) => !done && !isElsewhere).length,
    });
  }

  /** Tries again to accept the delegations that arrived before their job was known. */
  acceptPending(): void {
    const { pending } = this;
    this.pending = new Map();
    pending.forEach((accept) => accept());
  }

  /**
   * Drops a delegation that its home has removed: the job has ended, or the home has read the
   * report.
   *
   * @param jobId - id of the job
   * @param name - name of the delegation
   */
  recall(jobId: string, name: string): void {
    this.pending.delete(idOf(jobId, name));
    const incoming = this.byId.get(idOf(jobId, name));
    if (!incoming) return;
    this.log.info('A delegation is recalled', {
      jobId,
      delegation: name,
      home: incoming.delegation.home,
      runs: incoming.job.activeRuns().length,
    });
    this.byId.delete(idOf(jobId, name));
    this.options.book.removeGuest(incoming.job);
    this.options.stopRuns(incoming.job, 'its home has recalled it');
  }

  /**
   * Reports the state of delegated tasks to their home.
   *
   * @param job - the local job that holds the tasks
   */
  report(job: OwnedJob): void {
    const { delegation } = job;
    const incoming = delegation && this.byId.get(idOf(delegation.jobId, delegation.name));
    if (!incoming) return;
    const { jobId, name, home } = incoming.delegation;
    this.options.journal.add({
      key: `${keysOfShare(home).receivedReportsPrefix}${idOf(jobId, name)}`,
      series: jobId,
      isUrgent: true,
      overtakes: incoming.step.spec.longRunning,
      value: () => encodeReport(reportOf(incoming, this.options.clock)),
    });
  }

  /**
   * Returns tasks that find no worker here to their home.
   *
   * @param shouldReturn - returns whether an unstarted task is to go back
   */
  returnUnstarted(shouldReturn: (task: OwnedTask) => boolean): void {
    this.byId.forEach((incoming) => {
      const { job, step, tasks, delegation } = incoming;
      if (!job.isOpen) return;
      const waiting = tasks.filter((task) => isTaskWaiting(task) && shouldReturn(task));
      if (waiting.length === 0) return;
      // A gang goes back as a whole or not at all.
      if (step.spec.gang && waiting.length < tasks.length) return;
      waiting.forEach((task) => {
        const returned = task;
        returned.isElsewhere = true;
      });
      this.log.info('Tasks go back to their home', {
        jobId: job.id,
        delegation: delegation.name,
        home: delegation.home,
        tasks: waiting.length,
        indexes: waiting.map(({ index }) => index).join(' '),
      });
      this.report(job);
    });
  }

  /** Applies what was known of former runs: as last reported by this share, else as the home sent it. */
  private restoreRuns(
    { delegation, step }: IncomingDelegation,
    report: DelegationReport | undefined,
  ): void {
    const rows = new Map(report?.tasks.map((row) => [row.index, row]));
    delegation.tasks.forEach((sent) => {
      const task = taskAt(step, sent.index);
      const { hasRun, interruptedAtMs } = rows.get(sent.index) ?? sent;
      if (!task) return;
      task.hasRun = sent.hasRun || hasRun;
      if (interruptedAtMs !== undefined)
        task.interruptedMs = toMonotonicMs(this.options.clock, interruptedAtMs);
    });
  }

  /** Applies a former owner's report: tasks that it returned stay returned. */
  private restore({ step }: IncomingDelegation, report: DelegationReport | undefined): void {
    report?.tasks.forEach(({ index, outcome, nextRun, checkpoint }) => {
      const task = taskAt(step, index);
      if (!task) return;
      task.nextRun = Math.max(task.nextRun, nextRun);
      if (checkpoint !== '') task.checkpoint = checkpoint;
      task.isElsewhere = outcome === 'returned' || outcome === 'failed';
      task.isGivenUp = outcome === 'failed';
    });
  }
}
