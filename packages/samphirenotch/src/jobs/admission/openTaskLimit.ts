/**
 * Refuses jobs whose tasks the owner of their home could not hold in memory.
 */
import type { Clock } from '../../time/clock.js';

import { heldTaskCount } from '../model/jobSpec.js';
import { MAXIMUM_OPEN_TASKS } from '../store/jobRegistry.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { AdmissionRule, Refusal, SubmittedJob } from './admissionRule.js';

/** Number of tasks from which a job is large. */
export const LARGE_JOB_TASKS = 1_000;

/**
 * Number of open tasks from which large jobs are refused: a few that can never run must not keep all others out.
 */
export const MAXIMUM_OPEN_TASKS_FOR_LARGE_JOBS = 80_000;

/** Retry delay given to callers whose job finds no room, in milliseconds. */
const RETRY_AFTER_MS = 5_000;

/** Time after which an admitted job that the replica does not have was not stored, in milliseconds. */
const MAX_COMMIT_MS = 4_000;

/** An admitted job that the replica may not have yet. */
interface AdmittedJob {
  readonly home: string;
  readonly tasks: number;
  /** Monotonic time in milliseconds. */
  readonly admittedMs: number;
}

/** Settings and collaborators of an `OpenTaskLimit`. */
export interface OpenTaskLimitOptions {
  readonly replica: JobReplica;
  readonly clock: Clock;
}

/** Bounds the open tasks of each share. Entries may exceed it by what they admit at the same time. */
export class OpenTaskLimit implements AdmissionRule {
  private readonly admitted = new Map<string, AdmittedJob>();

  /**
   * @param options - the known jobs, and time
   */
  constructor(private readonly options: OpenTaskLimitOptions) {}

  check({ jobId, home, job }: SubmittedJob): Refusal | undefined {
    this.forgetKnown();
    const tasks = heldTaskCount(job);
    const limit = tasks >= LARGE_JOB_TASKS ? MAXIMUM_OPEN_TASKS_FOR_LARGE_JOBS : MAXIMUM_OPEN_TASKS;
    const room = limit - tasks - this.admittedTasks(jobId, home);
    // The sum over all shares is at hand, that over one is not.
    if (this.options.replica.openTasks > room && this.options.replica.openTasksOf(home) > room) {
      return { reason: 'too many tasks are open', retryAfterMs: RETRY_AFTER_MS };
    }
    const admittedMs = this.options.clock.monotonicMs();
    this.admitted.set(jobId, { home, tasks, admittedMs });
    return undefined;
  }

  private forgetKnown(): void {
    const { replica, clock } = this.options;
    const earliestMs = clock.monotonicMs() - MAX_COMMIT_MS;
    this.admitted.forEach(({ admittedMs }, jobId) => {
      if (admittedMs < earliestMs || replica.find(jobId)) this.admitted.delete(jobId);
    });
  }

  /** Sums the admitted jobs of a share but one, which may be submitted again. */
  private admittedTasks(exceptId: string, share: string): number {
    let sum = 0;
    this.admitted.forEach(({ home, tasks }, jobId) => {
      if (home === share && jobId !== exceptId) sum += tasks;
    });
    return sum;
  }
}
