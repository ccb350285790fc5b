/**
 * Logs the room of a share: its capacity, what is taken by which kind of task, and what waits.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedJob } from '../model/ownedJob.js';
import type { ShareCapacity } from '../model/shareCapacity.js';
import { takenRoom, awaitedRoom } from '../placement/roomByKind.js';
import type { OperatorFollower } from '../store/operatorFollower.js';
import type { WorkerFleet } from '../workers/workerFleet.js';

/** Shortest time between two log lines, in milliseconds. */
const MIN_LOG_INTERVAL_MS = 1_000;

/** Settings and collaborators of a `RoomReport`. */
export interface RoomReportOptions {
  readonly share: string;
  readonly fleet: WorkerFleet;
  readonly operator: OperatorFollower;
  readonly clock: Clock;
  /**
   * Returns the processors of waiting tasks that the owner had no time to try, in thousandths of a core.
   */
  readonly untriedMilliCores: () => number;
}

/** Logs the room of one share at intervals. */
export class RoomReport {
  private readonly log = partLog('room');

  private loggedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: RoomReportOptions) {}

  /**
   * Logs the room, unless it was logged less than the shortest interval ago.
   *
   * @param room - room of the share
   * @param jobs - open jobs of the share
   */
  logIfDue(room: ShareCapacity, jobs: readonly OwnedJob[]): void {
    const { share, clock, fleet, operator, untriedMilliCores } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs < this.loggedMs + MIN_LOG_INTERVAL_MS) return;
    this.loggedMs = nowMs;
    const agents = fleet.usable(operator.view().evacuated);
    const taken = takenRoom(
      agents.flatMap((agent) => agent.activeRuns()),
      nowMs,
    );
    const waiting = awaitedRoom(jobs, nowMs, clock.wallMs());
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
      untried: untriedMilliCores(),
      openJobs: jobs.length,
    });
  }
}
