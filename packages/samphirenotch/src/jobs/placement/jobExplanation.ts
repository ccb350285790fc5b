/**
 * Explains why the tasks of a job wait.
 */
import type { Clock } from '../../time/clock.js';

import {
  isStepReady,
  isTaskWaiting,
  reservedSizeOf,
  type OwnedJob,
  type OwnedStep,
  type OwnedTask,
} from '../model/ownedJob.js';
import type { OperatorFollower } from '../store/operatorFollower.js';
import type { WorkerFleet } from '../workers/workerFleet.js';
import type { StepPermissions } from './stepPermissions.js';
import type { TaskPlacement } from './taskPlacement.js';

/** State of a step and the reason why its tasks wait. */
export interface StepExplanation {
  readonly occurrence: number;
  readonly step: number;
  readonly tasks: number;
  readonly done: number;
  readonly running: number;
  /** Number of tasks that were delegated to another share. */
  readonly away: number;
  /** Ids of the workers of its runs, without duplicates. */
  readonly workers: readonly string[];
  /** What the waiting tasks wait for; undefined if none waits. */
  readonly waitsFor?: string;
}

/** State of a job from the view of its owner. */
export interface JobExplanation {
  readonly jobId: string;
  readonly queue: string;
  readonly isBegun: boolean;
  readonly steps: readonly StepExplanation[];
}

/** Dependencies of a `JobExplainer`. */
export interface ExplainerOptions {
  readonly fleet: WorkerFleet;
  readonly operator: OperatorFollower;
  readonly placement: TaskPlacement;
  readonly permissions: StepPermissions;
  readonly clock: Clock;
  /** Returns false while a run of a former owner could still execute the task. */
  readonly isAccountedFor: (task: OwnedTask) => boolean;
}

/** Explains the state of jobs. */
export class JobExplainer {
  /**
   * @param options - workers, placement and permissions
   */
  constructor(private readonly options: ExplainerOptions) {}

  /**
   * Explains a job.
   *
   * @param job - the job
   * @returns its steps, each with the reason why tasks wait
   */
  explain(job: OwnedJob): JobExplanation {
    const steps = [...job.occurrences.values()].flatMap((occurrence) => occurrence.steps);
    return {
      jobId: job.id,
      queue: job.queue.name,
      isBegun: job.hasStarted,
      steps: steps.map((step) => this.explainStep(step)),
    };
  }

  private explainStep(step: OwnedStep): StepExplanation {
    const runs = step.tasks.flatMap((task) => task.runs);
    const waiting = step.tasks.find(isTaskWaiting);
    return {
      occurrence: step.occurrence.index,
      step: step.index,
      tasks: step.spec.count,
      done: step.doneCount,
      running: runs.length,
      away: step.tasks.filter(({ isElsewhere: away }) => away).length,
      workers: [...new Set(runs.map(({ agent }) => agent.id))],
      ...(waiting ? { waitsFor: this.waitReason(waiting) } : {}),
    };
  }

  /**
   * Tells what a waiting task waits for.
   *
   * @param task - the task
   * @returns the reason, to complete "waits for"
   */
  waitReason(task: OwnedTask): string {
    const { step } = task;
    const { occurrence } = step;
    const { job } = occurrence;
    const { clock } = this.options;
    if (!job.isOpen) return 'nothing: the job is over';
    if (!this.options.isAccountedFor(task)) return this.formerWorkersReason(task);
    if (!isStepReady(step)) return 'the steps before it';
    if (occurrence.dueAtMs > clock.wallMs()) return 'its time';
    if (task.notBeforeMs > clock.monotonicMs()) return 'a short while after a start that failed';
    return this.placementReason(task);
  }

  private formerWorkersReason({ place }: OwnedTask): string {
    const isPlaceWaitedFor =
      place !== undefined && this.options.fleet.unreportedIds.includes(place);
    return isPlaceWaitedFor
      ? `worker ${place} of a former owner to be accounted for`
      : 'workers of a former owner to be accounted for';
  }

  private placementReason(task: OwnedTask): string {
    const { fleet, operator, permissions, placement } = this.options;
    const { step } = task;
    const { evacuated } = operator.view();
    const size = reservedSizeOf(task);
    const workers = fleet.candidates(step.occurrence.job.queue.service, evacuated);
    if (workers.length === 0) return 'a worker of its service that takes work';
    const allowed = permissions.startableWorkers(step, workers);
    if (allowed.length === 0) return 'a ticket of the policy service';
    const fitting = allowed.filter((agent) => agent.fits(size));
    if (fitting.length === 0) return 'room on a worker';
    if (placement.rank({ task, size, workers: fitting }).length > 0) return 'the next pass';
    return step.spec.filler
      ? 'a worker with processors to spare where no serving task misses its target'
      : 'a worker with its label, or with fewer tasks of its step';
  }
}
