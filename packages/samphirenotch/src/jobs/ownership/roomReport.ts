/**
 * Logs what room a share has, who has taken the rest, and what waits.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import {
  hasWaiting,
  isStepOpen,
  isUnstarted,
  type OwnedJob,
  type OwnedStep,
} from '../model/ownedJob.js';
import type { ShareRoom } from '../model/shareRoom.js';
import { chainMs, objectiveMs } from '../placement/stepOrder.js';
import type { OperatorFollower } from '../store/operatorFollower.js';
import type { WorkerFleet } from '../workers/workerFleet.js';

/** Least time between two lines, in milliseconds. */
const REPORT_GAP_MS = 1_000;

/** What reports are made of. */
export interface RoomReportOptions {
  readonly share: string;
  readonly fleet: WorkerFleet;
  readonly operator: OperatorFollower;
  readonly clock: Clock;
}

/** Sums of thousandths of a core, by who has taken or wants them. */
interface RoomUse {
  /** Jobs that can still be in time by their estimates. */
  inTime: number;
  late: number;
  lasting: number;
  fillers: number;
}

const NO_USE: RoomUse = { inTime: 0, late: 0, lasting: 0, fillers: 0 };

const userOf = (step: OwnedStep, nowMs: number): keyof RoomUse => {
  const { spec, occurrence } = step;
  if (spec.filler) return 'fillers';
  if (spec.longRunning) return 'lasting';
  const isLate = nowMs + chainMs(occurrence.job, step.index) > objectiveMs(occurrence.job);
  return isLate ? 'late' : 'inTime';
};

/** Logs the room of one share. */
export class RoomReport {
  private readonly log = partLog('room');

  private notedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - share and workers
   */
  constructor(private readonly options: RoomReportOptions) {}

  /**
   * Logs the room, unless it was logged a moment ago.
   *
   * @param room - the room
   * @param jobs - open jobs of the share
   */
  note(room: ShareRoom, jobs: readonly OwnedJob[]): void {
    const { share, clock } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs < this.notedMs + REPORT_GAP_MS) return;
    this.notedMs = nowMs;
    const taken = this.taken(nowMs);
    const waiting = this.waiting(jobs, nowMs);
    this.log.info('The room of a share', {
      share,
      capacity: room.capacity,
      free: room.free,
      unused: Math.round(room.unused),
      takenInTime: taken.inTime,
      takenLate: taken.late,
      takenLasting: taken.lasting,
      takenFillers: taken.fillers,
      waitingInTime: waiting.inTime,
      waitingLate: waiting.late,
      waitingLasting: waiting.lasting,
      waitingFillers: waiting.fillers,
      openJobs: jobs.length,
    });
  }

  private taken(nowMs: number): RoomUse {
    const { fleet, operator } = this.options;
    const use = { ...NO_USE };
    fleet.usable(operator.view().evacuated).forEach((agent) =>
      agent.activeRuns().forEach(({ task }) => {
        use[userOf(task.step, nowMs)] += task.step.spec.size.milliCores;
      }),
    );
    return use;
  }

  private waiting(jobs: readonly OwnedJob[], nowMs: number): RoomUse {
    const use = { ...NO_USE };
    const wallMs = this.options.clock.wallMs();
    const occurrences = jobs
      .filter(({ settled }) => !settled)
      .flatMap((job) => [...job.occurrences.values()])
      .filter(({ dueAtMs }) => dueAtMs <= wallMs);
    occurrences.forEach(({ steps }) =>
      steps
        .filter((step) => hasWaiting(step) && isStepOpen(step))
        .forEach((step) => {
          const { tasks, spec } = step;
          use[userOf(step, nowMs)] += tasks.filter(isUnstarted).length * spec.size.milliCores;
        }),
    );
    return use;
  }
}
