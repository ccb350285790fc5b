/**
 * Queries about the jobs of a partition that this entry owns. They see only durable states.
 */
import { once } from 'node:events';
import { Err, Ok, type Result } from '../results.js';
import type { Failure } from '../failure.js';
import type { Call } from '../time/call.js';
import { isActive, isEnded, type Job } from './job.js';
import { dataCentreOf } from './jobId.js';
import type { PartitionOwner } from './partitionOwner.js';
import { notFound, notOwned } from './taskFailure.js';
import type { TaskQueries, TaskSelection } from './taskOperations.js';
import { viewOf, type TaskExplanation, type TaskView } from './taskView.js';

/** Reads the jobs of one owned partition. */
export class LocalTaskQueries implements TaskQueries {
  /**
   * @param owner - the owned partition
   */
  constructor(private readonly owner: PartitionOwner) {}

  show(jobId: string): Promise<Result<TaskView, Failure>> {
    return Promise.resolve(this.find('tasks.show', jobId).map(viewOf));
  }

  list(selection: TaskSelection): Promise<Result<readonly TaskView[], Failure>> {
    const jobs = this.owner.jobs();
    if (!jobs) return Promise.resolve(Err(notOwned('tasks.list', selection.partition)));
    const views = [...jobs.allDurable().values()]
      .filter((job) => this.isSelected(job, selection))
      .sort((left, right) => (left.id < right.id ? -1 : 1))
      .slice(0, selection.limit)
      .map(viewOf);
    return Promise.resolve(Ok(views));
  }

  explain(jobId: string): Promise<Result<TaskExplanation, Failure>> {
    return Promise.resolve(this.find('tasks.explain', jobId).map((job) => this.explanationOf(job)));
  }

  async follow(
    jobId: string,
    onView: (view: TaskView) => void,
    call: Call,
  ): Promise<Result<void, Failure>> {
    const found = this.find('tasks.follow', jobId);
    if (found.err) return found;
    onView(viewOf(found.val));
    if (isEnded(found.val)) return Ok(undefined);
    const ownershipLost = await this.forwardChanges(jobId, onView, call);
    return ownershipLost ? Err(notOwned('tasks.follow', this.owner.grant.resource)) : Ok(undefined);
  }

  /**
   * Passes on each change of a job until it has ended or the call is cancelled.
   *
   * @returns whether ownership of the partition ended first
   */
  private async forwardChanges(
    jobId: string,
    onView: (view: TaskView) => void,
    call: Call,
  ): Promise<boolean> {
    const ownershipSignal = this.owner.ownershipSignal();
    const ended = new AbortController();
    const finish = (): void => ended.abort();
    const stopListening = this.owner.subscribe((job) => {
      if (job.id !== jobId) return;
      onView(viewOf(job));
      if (isEnded(job)) finish();
    });
    let wasLost = ownershipSignal.aborted;
    const onOwnershipLost = (): void => {
      wasLost = true;
      finish();
    };
    ownershipSignal.addEventListener('abort', onOwnershipLost);
    call.signal.addEventListener('abort', finish);
    const isOver = wasLost || call.signal.aborted || ended.signal.aborted;
    if (!isOver) await once(ended.signal, 'abort');
    ownershipSignal.removeEventListener('abort', onOwnershipLost);
    call.signal.removeEventListener('abort', finish);
    stopListening();
    return wasLost;
  }

  private find(step: string, jobId: string): Result<Job, Failure> {
    const jobs = this.owner.jobs();
    if (!jobs) return Err(notOwned(step, this.owner.grant.resource));
    const job = jobs.findDurable(jobId);
    return job ? Ok(job) : Err(notFound(step, jobId));
  }

  private isSelected(job: Job, selection: TaskSelection): boolean {
    if (job.id <= selection.afterId) return false;
    if (selection.tenant !== undefined && job.tenant !== selection.tenant) return false;
    if (selection.state !== undefined && job.state !== selection.state) return false;
    return selection.taskClass === undefined || job.taskClass === selection.taskClass;
  }

  private explanationOf(job: Job): TaskExplanation {
    const base = { jobId: job.id, state: job.state };
    if (isActive(job) && job.attempt) {
      const { shard, workerId, resumed } = job.attempt;
      const how = resumed ? 'goes on from its checkpoint' : 'was started';
      const text = `It ${how} on ${workerId} in ${dataCentreOf(shard)}, which had room.`;
      return { ...base, reason: job.cancelRequested ? 'cancelling' : 'placed', text };
    }
    if (job.state === 'queued') {
      const waitReason = this.owner.currentScheduler()?.waitReasonOf(job.id);
      return {
        ...base,
        reason: waitReason?.kind ?? '',
        text: waitReason?.text ?? '',
        limit: waitReason?.limit,
      };
    }
    return { ...base, reason: job.state, text: job.detail ?? '', limit: job.limit };
  }
}
