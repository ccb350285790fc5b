/**
 * Refuses jobs whose tasks the owner of their home could not hold in memory.
 */
import type { Clock } from '../../time/clock.js';

import { heldTaskCount, isLargeJob, type JobSpec } from '../model/jobSpec.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { AdmissionRule, Refusal, SubmittedJob } from './admissionRule.js';

/** Number of open tasks of a share from which large jobs are refused. */
export const MAXIMUM_OPEN_TASKS_OF_LARGE_JOBS = 80_000;

/** The same for other jobs: large ones that can never run must not keep these out. */
export const MAXIMUM_OPEN_TASKS_OF_OTHER_JOBS = 100_000;

/** Retry delay given to callers whose job finds no room, in milliseconds. */
const RETRY_AFTER_MS = 5_000;

/** Time after which an admitted job that the replica does not have was not stored, in milliseconds. */
const MAX_COMMIT_MS = 4_000;

/** An admitted job that the replica may not have yet. */
interface AdmittedJob {
  readonly home: string;
  readonly tasks: number;
  readonly isLarge: boolean;
  /** Monotonic time in milliseconds. */
  readonly admittedMs: number;
}

/** Settings and collaborators of an `OpenTaskLimit`. */
export interface OpenTaskLimitOptions {
  readonly replica: JobReplica;
  readonly clock: Clock;
}

/**
 * Bounds the open tasks of each share: those of large jobs exactly, those of the others but for what several entries
 * admit at the same time.
 */
export class OpenTaskLimit implements AdmissionRule {
  private readonly admitted = new Map<string, AdmittedJob>();

  /**
   * @param options - the known jobs, and time
   */
  constructor(private readonly options: OpenTaskLimitOptions) {}

  check({ jobId, home, job }: SubmittedJob): Refusal | undefined {
    this.forgetKnown();
    const { replica, clock } = this.options;
    const tasks = heldTaskCount(job);
    const isLarge = isLargeJob(job);
    const limit = isLarge ? MAXIMUM_OPEN_TASKS_OF_LARGE_JOBS : MAXIMUM_OPEN_TASKS_OF_OTHER_JOBS;
    this.admitted.delete(jobId);
    const room = limit - tasks - this.admittedTasks(home, isLarge);
    // The sum over all shares is at hand, that over one is not.
    if (replica.openTasks(isLarge) > room && replica.openTasksOf(home, isLarge) > room) {
      return { reason: 'too many tasks are open', retryAfterMs: RETRY_AFTER_MS };
    }
    this.admitted.set(jobId, { home, tasks, isLarge, admittedMs: clock.monotonicMs() });
    return undefined;
  }

  isSerial(job: JobSpec): boolean {
    return isLargeJob(job);
  }

  private forgetKnown(): void {
    const { replica, clock } = this.options;
    const earliestMs = clock.monotonicMs() - MAX_COMMIT_MS;
    this.admitted.forEach(({ admittedMs }, jobId) => {
      if (admittedMs < earliestMs || replica.find(jobId)) this.admitted.delete(jobId);
    });
  }

  private admittedTasks(share: string, ofLarge: boolean): number {
    let sum = 0;
    this.admitted.forEach(({ home, tasks, isLarge }) => {
      if (home === share && isLarge === ofLarge) sum += tasks;
    });
    return sum;
  }
}
