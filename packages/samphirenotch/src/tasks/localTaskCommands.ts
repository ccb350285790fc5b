/**
 * Commands on the jobs of a partition that this entry owns.
 */
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import type { ConfigurationSet } from '../config/objects.js';
import { remainingMs, type Call } from '../time/call.js';
import { isActive, isEnded, type Job } from './job.js';
import { digestOf } from './jobId.js';
import type { JobStore } from './jobStore.js';
import { markCancelled, markCancelRequested } from './jobTransitions.js';
import type { PartitionOwner } from './partitionOwner.js';
import { quotaOf } from './quotaUsage.js';
import type { TaskContext } from './taskContext.js';
import type { TaskCommands, TaskSubmission } from './taskOperations.js';
import { STORE_RETRY_AFTER_MS } from './taskSettings.js';
import { viewOf, type TaskView } from './taskView.js';
import { notFound, notOwned, storeUnavailable } from './taskFailure.js';

const SUBMIT_STEP = 'tasks.submit';
const CANCEL_STEP = 'tasks.cancel';

/** Submits and cancels jobs of one owned partition. */
export class LocalTaskCommands implements TaskCommands {
  /**
   * @param context - components of the entry
   * @param owner - the owned partition
   */
  constructor(
    private readonly context: TaskContext,
    private readonly owner: PartitionOwner,
  ) {}

  async submit(submission: TaskSubmission, call: Call): Promise<Result<TaskView, Failure>> {
    const jobs = this.owner.jobs();
    if (!jobs) return Err(notOwned(SUBMIT_STEP, submission.partition));
    const existing = jobs.latest.get(submission.jobId);
    if (existing) return this.viewOfSubmitted(existing, submission);
    const refusal = this.findRefusal(submission, jobs);
    if (refusal) return Err(refusal);
    const job = this.newJob(submission);
    const stored = await this.waitForStore(jobs.submit(job), call, SUBMIT_STEP);
    if (stored.err) return stored;
    return this.viewOfSubmitted(jobs.findDurable(job.id) ?? job, submission);
  }

  async cancel(jobId: string, call: Call): Promise<Result<TaskView, Failure>> {
    const jobs = this.owner.jobs();
    if (!jobs) return Err(notOwned(CANCEL_STEP, this.owner.grant.resource));
    const job = jobs.latest.get(jobId);
    if (!job) return Err(notFound(CANCEL_STEP, jobId));
    if (isEnded(job)) return this.cancellationResult(job);
    if (!jobs.isStoreAnswering())
      return Err(storeUnavailable(CANCEL_STEP, this.owner.grant.resource));
    const next = isActive(job)
      ? markCancelRequested(job)
      : markCancelled(job, this.context.clock.wallMs());
    const stored = await this.waitForStore(jobs.put(next), call, CANCEL_STEP);
    if (stored.err) return stored;
    const currentJob = jobs.latest.get(jobId) ?? next;
    if (isEnded(currentJob)) return this.cancellationResult(currentJob);
    this.owner.stopCancelled(currentJob);
    await this.waitForEnd(jobId, jobs, call);
    return this.cancellationResult(jobs.findDurable(jobId) ?? currentJob);
  }

  private findRefusal(submission: TaskSubmission, jobs: JobStore): Failure | undefined {
    const set = this.context.configuration.current();
    if (!set || !this.owner.grant.isCertain()) return notOwned(SUBMIT_STEP, submission.partition);
    const taskClass = set.taskClasses.get(submission.taskClass);
    if (!taskClass || taskClass.kind === 'request') {
      return this.invalidSubmission(`${submission.taskClass} is not a class of tasks`);
    }
    if (!set.tenants.has(submission.tenant)) {
      return this.invalidSubmission(`${submission.tenant} is not a tenant`);
    }
    return this.quotaRefusal(set, submission.tenant, jobs);
  }

  private quotaRefusal(set: ConfigurationSet, tenant: string, jobs: JobStore): Failure | undefined {
    const quota = quotaOf(set, tenant);
    if (!quota) return undefined;
    const queued = jobs.latest.queuedJobs().filter((job) => job.tenant === tenant).length;
    if (queued < quota.queuedTasks) return undefined;
    return new Failure({
      code: 'overloaded',
      step: SUBMIT_STEP,
      peer: this.owner.grant.resource,
      effect: 'not-run',
      message: `quota ${quota.name} allows ${quota.queuedTasks} queued tasks`,
      retryAfterMs: STORE_RETRY_AFTER_MS,
    });
  }

  private newJob(submission: TaskSubmission): Job {
    const nowMs = this.context.clock.wallMs();
    const { jobId, partition, taskClass, tenant, payload } = submission;
    return {
      id: jobId,
      partition,
      taskClass,
      tenant,
      payload,
      digest: digestOf(taskClass, tenant, payload),
      submittedAtMs: nowMs,
      state: 'queued',
      stateSinceMs: nowMs,
      attempts: 0,
      failedAttempts: 0,
      evictions: 0,
      notBeforeMs: 0,
      excludedWorkers: [],
      cancelRequested: false,
    };
  }

  private viewOfSubmitted(job: Job, submission: TaskSubmission): Result<TaskView, Failure> {
    const { taskClass, tenant, payload } = submission;
    if (job.digest === digestOf(taskClass, tenant, payload)) return Ok(viewOf(job));
    return Err(
      new Failure({
        code: 'conflict',
        step: SUBMIT_STEP,
        peer: this.owner.grant.resource,
        effect: 'not-run',
        message: 'the idempotency key was used for another task',
      }),
    );
  }

  private cancellationResult(job: Job): Result<TaskView, Failure> {
    if (!isEnded(job) || job.state === 'cancelled') return Ok(viewOf(job));
    return Err(
      new Failure({
        code: 'conflict',
        step: CANCEL_STEP,
        peer: this.owner.grant.resource,
        effect: 'not-run',
        message: `the job has ${job.state} already`,
      }),
    );
  }

  /** Waits until a job has ended, or until the call is cancelled or out of time. */
  private async waitForEnd(jobId: string, jobs: JobStore, call: Call): Promise<void> {
    const { clock } = this.context;
    const waitController = new AbortController();
    const finish = (): void => waitController.abort();
    const stopListening = this.owner.subscribe((job) => {
      if (job.id === jobId && isEnded(job)) finish();
    });
    call.signal.addEventListener('abort', finish);
    const currentJob = jobs.findDurable(jobId);
    if (currentJob && !isEnded(currentJob))
      await clock.sleep(remainingMs(clock, call), waitController.signal);
    call.signal.removeEventListener('abort', finish);
    stopListening();
  }

  /**
   * Waits for a change to be stored, up to the deadline of the call. After that it is unknown
   * whether the change was or will be stored.
   */
  private async waitForStore(
    stored: Promise<Result<void, Failure>>,
    call: Call,
    step: string,
  ): Promise<Result<void, Failure>> {
    const { clock } = this.context;
    const waitController = new AbortController();
    const finish = (): void => waitController.abort();
    call.signal.addEventListener('abort', finish);
    const timedOut = clock
      .sleep(remainingMs(clock, call), waitController.signal)
      .then(() => this.deadlineExceeded(step));
    const result = await Promise.race([stored, timedOut]);
    call.signal.removeEventListener('abort', finish);
    waitController.abort();
    return result;
  }

  private deadlineExceeded(step: string): Result<void, Failure> {
    return Err(
      new Failure({
        code: 'deadline',
        step,
        peer: this.owner.grant.resource,
        effect: 'unknown',
        message: 'the store did not confirm the change in time',
      }),
    );
  }

  private invalidSubmission(message: string): Failure {
    const peer = this.owner.grant.resource;
    return new Failure({ code: 'invalid', step: SUBMIT_STEP, peer, effect: 'not-run', message });
  }
}
