/**
 * Tasks that other shares have handed to this one: taken in, reported on, given back.
 */
import { partLog } from '../../observability/log.js';

import {
  encodeReport,
  type Delegation,
  type DelegationReport,
  type TaskOutcome,
} from '../model/delegation.js';
import type { JobProgress } from '../model/jobProgress.js';
import { isTaskWaiting, type OwnedJob, type OwnedStep, type OwnedTask } from '../model/ownedJob.js';
import type { JobRegistry } from '../store/jobRegistry.js';
import { keysOfShare } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { ProgressJournal } from '../store/progressJournal.js';

/** What guests need. */
export interface IncomingDelegationsOptions {
  readonly book: JobRegistry;
  readonly replica: JobReplica;
  readonly journal: ProgressJournal;
  /** Tells what is done when runs of a part are not wanted any more. */
  readonly stopRuns: (job: OwnedJob, reason: string) => void;
}

/** A delegation of which tasks may run here. */
interface IncomingDelegation {
  readonly delegation: Delegation;
  readonly job: OwnedJob;
  readonly step: OwnedStep;
  readonly tasks: readonly OwnedTask[];
}

const idOf = (jobId: string, name: string): string => `${jobId}/${name}`;

const progressOf = (
  { occurrence, step, tasks }: Delegation,
  report: DelegationReport | undefined,
): JobProgress => {
  const rows = new Map(report?.tasks.map((row) => [row.index, row]));
  const failedRuns = tasks.map(
    ({ index, failedRuns: runs }) => [index, rows.get(index)?.failedRuns ?? runs] as const,
  );
  const done = [...rows.values()].filter(({ outcome }) => outcome === 'done');
  const steps = Array.from({ length: step + 1 }, () => ({
    done: new Set<number>(),
    failedRuns: new Map<number, readonly number[]>(),
  }));
  steps[step] = {
    done: new Set(done.map(({ index }) => index)),
    failedRuns: new Map(failedRuns),
  };
  return new Map([[occurrence, steps]]);
};

const outcomeOf = ({ done, isElsewhere: away, failedRuns, step }: OwnedTask): TaskOutcome => {
  const { job } = step.occurrence;
  if (done) return 'done';
  if (!away) return 'open';
  const hasFailed = !step.spec.longRunning && failedRuns.length >= job.queue.maximumAttempts;
  return hasFailed ? 'failed' : 'returned';
};

const reportOf = ({ delegation, job, tasks }: IncomingDelegation): DelegationReport => ({
  from: delegation.to,
  hasStarted: job.hasStarted,
  tasks: tasks.map((task) => ({
    index: task.index,
    nextRun: task.nextRun,
    failedRuns: task.failedRuns,
    checkpoint: task.checkpoint,
    outcome: outcomeOf(task),
  })),
});

/** Guests of one term. */
export class IncomingDelegations {
  private readonly log = partLog('guests');

  private readonly byId = new Map<string, IncomingDelegation>();

  /** Delegations whose job is not known here yet. */
  private pending = new Map<string, () => void>();

  /**
   * @param options - jobs and journal
   */
  constructor(private readonly options: IncomingDelegationsOptions) {}

  /** @returns how many delegations are in progress here */
  get count(): number {
    return this.byId.size;
  }

  /**
   * Takes a delegation in.
   *
   * @param delegation - the delegation
   * @param revision - its revision; 0 if a former owner may have taken it in
   * @param report - what a former owner of this share reported of it
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
    // Its home removes what is left of a job that is over.
    if (replica.isTerminal(jobId)) return;
    const progress = progressOf(delegation, report);
    const job = book.addGuest(known.accepted, { delegation, revision, progress });
    const step = job.occurrences.get(occurrence)?.steps[at];
    if (!step) {
      this.log.error('A delegation names no step of its job', { jobId, name, home, step: at });
      book.removeGuest(job);
      return;
    }
    job.hasStarted = report?.hasStarted ?? false;
    const tasks = delegation.tasks.flatMap(({ index }) => step.tasks[index] ?? []);
    const incoming = { delegation, job, step, tasks };
    this.byId.set(idOf(jobId, name), incoming);
    this.restore(incoming, report);
    this.log.info('Tasks of another share are taken in', {
      jobId,
      delegation: name,
      home,
      step: at,
      tasks: tasks.length,
      revision,
    });
  }

  /** Tries again to take in what came before its job was known. */
  acceptPending(): void {
    const { pending } = this;
    this.pending = new Map();
    pending.forEach((accept) => accept());
  }

  /**
   * Gives up a delegation that its home has removed: the job is over, or the answer was read.
   *
   * @param jobId - the job
   * @param name - the delegation
   */
  recall(jobId: string, name: string): void {
    this.pending.delete(idOf(jobId, name));
    const incoming = this.byId.get(idOf(jobId, name));
    if (!incoming) return;
    this.byId.delete(idOf(jobId, name));
    this.options.book.removeGuest(incoming.job);
    this.options.stopRuns(incoming.job, 'its home has recalled it');
  }

  /**
   * Reports what has changed of a part.
   *
   * @param job - the part
   */
  report(job: OwnedJob): void {
    const { delegation } = job;
    const incoming = delegation && this.byId.get(idOf(delegation.jobId, delegation.name));
    if (!incoming) return;
    const { jobId, name, home } = incoming.delegation;
    this.options.journal.add({
      key: `${keysOfShare(home).receivedReportsPrefix}${idOf(jobId, name)}`,
      isUrgent: true,
      value: () => encodeReport(reportOf(incoming)),
    });
  }

  /**
   * Gives tasks back that find no worker here.
   *
   * @param shouldReturn - tells whether tasks of a step that have not started are to go back
   */
  returnUnstarted(shouldReturn: (step: OwnedStep) => boolean): void {
    this.byId.forEach((incoming) => {
      const { job, step, tasks, delegation } = incoming;
      const waiting = tasks.filter(isTaskWaiting);
      if (waiting.length === 0 || !job.isOpen || !shouldReturn(step)) return;
      // A gang goes back as a whole.
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
      });
      this.report(job);
    });
  }

  /** What a former owner has given back stays given back. */
  private restore({ tasks }: IncomingDelegation, report: DelegationReport | undefined): void {
    report?.tasks.forEach(({ index, outcome, nextRun, checkpoint }) => {
      const task = tasks.find((each) => each.index === index);
      if (!task) return;
      task.nextRun = Math.max(task.nextRun, nextRun);
      if (checkpoint !== '') task.checkpoint = checkpoint;
      task.isElsewhere = outcome === 'returned' || outcome === 'failed';
    });
  }
}
