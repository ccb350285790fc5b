/**
 * Publishes to all entries, at intervals, which jobs of a share wait and how much room it has.
 */
import type { Clock } from '../../time/clock.js';

import { hasWaitingTasks, isStepReady, isTaskWaiting, type OwnedJob } from '../model/ownedJob.js';
import {
  encodeShareCapacity,
  NO_INTERRUPTED_ROOM,
  type InterruptedRoom,
  type ShareCapacity,
} from '../model/shareCapacity.js';
import { roomForInterrupted } from '../placement/interruptedRoom.js';
import { unusedMilliCores } from '../placement/taskPlacement.js';
import { RoomReport } from './roomReport.js';
import type { JobRegistry } from '../store/jobRegistry.js';
import type { OperatorFollower } from '../store/operatorFollower.js';
import type { ShareKeys } from '../store/jobKeys.js';
import type { ProgressJournal } from '../store/progressJournal.js';
import type { WorkerFleet } from '../workers/workerFleet.js';

/** Time between two summaries, in milliseconds. */
const SUMMARY_INTERVAL_MS = 500;

/**
 * Shortest time between two lists of waiting jobs, in milliseconds; callers accept lists 2 s old.
 */
const MIN_WAITING_INTERVAL_MS = 1_000;

/**
 * Smallest published change of the room, as a fraction of the capacity: less isn't worth a call.
 */
const MIN_ROOM_CHANGE = 0.04;

/** Settings and collaborators of a `SummaryWriter`. */
export interface SummaryOptions {
  readonly share: string;
  readonly book: JobRegistry;
  readonly fleet: WorkerFleet;
  readonly operator: OperatorFollower;
  readonly clock: Clock;
  /** True if there are other shares, whose owners may use the room for interrupted tasks. */
  readonly hasOtherShares: boolean;
  /** Returns the store revision up to which all accepted jobs are known. */
  readonly revision: () => number;
  /**
   * Returns the processors of waiting tasks that the owner had no time to try, in thousandths of a core.
   */
  readonly untriedMilliCores: () => number;
}

const waitingMilliCores = ({ occurrences }: OwnedJob, wallMs: number): number => {
  let sum = 0;
  occurrences.forEach(({ steps, dueAtMs }) => {
    if (dueAtMs > wallMs) return;
    steps
      .filter((step) => hasWaitingTasks(step) && isStepReady(step))
      .forEach(({ tasks, spec }) => {
        sum += tasks.filter(isTaskWaiting).length * spec.size.milliCores;
      });
  });
  return sum;
};

/**
 * Change of the room for interrupted tasks that is written at once, as a fraction of the capacity; small, since tasks of
 * other shares wait for it.
 */
const MIN_INTERRUPTED_ROOM_CHANGE = 0.01;

const hasInterruptedRoomChanged = (one: ShareCapacity, other: ShareCapacity): boolean => {
  const notable = MIN_INTERRUPTED_ROOM_CHANGE * Math.max(one.capacity, other.capacity);
  const services = new Set([...one.forInterrupted.keys(), ...other.forInterrupted.keys()]);
  return [...services].some((service) => {
    const [now = NO_INTERRUPTED_ROOM, before = NO_INTERRUPTED_ROOM] = [one, other].map((each) =>
      each.forInterrupted.get(service),
    );
    return (
      Math.abs(now.capacity - before.capacity) > notable ||
      Math.abs(now.free - before.free) > notable
    );
  });
};

const isNotableChange = (one: ShareCapacity, other: ShareCapacity): boolean => {
  const notable = MIN_ROOM_CHANGE * Math.max(one.capacity, other.capacity);
  return (
    Math.abs(one.capacity - other.capacity) > notable ||
    Math.abs(one.free - other.free) > notable ||
    Math.abs(one.unused - other.unused) > notable ||
    Math.abs(one.waiting - other.waiting) > notable ||
    hasInterruptedRoomChanged(one, other) ||
    one.labels.size !== other.labels.size ||
    [...one.labels].some((label) => !other.labels.has(label))
  );
};

/** Writes the summaries of a share during one term. */
export class SummaryWriter {
  private readonly roomReport: RoomReport;

  private lastWaitingIds = '';

  private lastRoom: ShareCapacity | undefined;

  /** Store revision that the last list of waiting jobs covers. */
  private publishedRevision = 0;

  private waitingWrittenMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - settings and collaborators
   * @param journal - writes the summaries to the store
   * @param keys - keys of the share
   */
  constructor(
    private readonly options: SummaryOptions,
    private readonly journal: ProgressJournal,
    private readonly keys: ShareKeys,
  ) {
    this.roomReport = new RoomReport(options);
  }

  /**
   * Writes summaries until the signal is aborted.
   *
   * @param signal - ends it
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(SUMMARY_INTERVAL_MS, signal);
      if (!signal.aborted) this.summarize();
    }
  }

  private summarize(): void {
    const jobs = this.options.book.openJobs();
    const revision = this.options.revision();
    this.writeWaiting(
      jobs.filter(({ isGuest }) => !isGuest),
      revision,
    );
    const room = this.room(jobs);
    this.roomReport.logIfDue(room, jobs);
    if (this.lastRoom && !isNotableChange(room, this.lastRoom)) return;
    this.lastRoom = room;
    // Tasks of other shares wait for the room, and no successor goes by it.
    const value = () => encodeShareCapacity(room);
    this.journal.add({ key: this.keys.room, overtakes: true, value });
  }

  private writeWaiting(jobs: readonly OwnedJob[], revision: number): void {
    const ids = jobs
      .filter(({ hasStarted: begun }) => !begun)
      .map(({ id }) => id)
      .join(' ');
    // Entries count a job newer than the last list as waiting until a list that covers it leaves it
    // out.
    const hasNewer = jobs.some((job) => job.hasStarted && job.revision > this.publishedRevision);
    if (ids === this.lastWaitingIds && !hasNewer) return;
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < this.waitingWrittenMs + MIN_WAITING_INTERVAL_MS) return;
    this.waitingWrittenMs = nowMs;
    this.lastWaitingIds = ids;
    this.publishedRevision = revision;
    this.journal.add({ key: this.keys.waiting, value: () => `${revision} ${ids}` });
  }

  private room(jobs: readonly OwnedJob[]): ShareCapacity {
    const { fleet, operator, clock, hasOtherShares } = this.options;
    const agents = fleet.usable(operator.view().evacuated);
    const wallMs = clock.wallMs();
    return {
      capacity: agents.reduce((sum, { description }) => sum + description.capacity.milliCores, 0),
      free: agents.reduce((sum, agent) => sum + Math.max(0, agent.free().milliCores), 0),
      unused: agents.reduce((sum, agent) => sum + Math.max(0, unusedMilliCores(agent)), 0),
      waiting: jobs
        .filter(({ isFullyStarted: settled }) => !settled)
        .reduce((sum, job) => sum + waitingMilliCores(job, wallMs), 0),
      forInterrupted: hasOtherShares
        ? roomForInterrupted(fleet.all(), agents, jobs)
        : new Map<string, InterruptedRoom>(),
      labels: new Set(agents.flatMap(({ description }) => description.labels)),
    };
  }
}
