/**
 * Decides which interrupted tasks go to another share: those for which a share has no room even once its short
 * tasks have ended.
 *
 * Such a task would wait for as long as the other shares are busy with short tasks, since these leave no room
 * free. The share that takes it in owes it room like an interrupted task of its own. So if all shares lack room,
 * what each lacks is balanced: new room goes to those that have waited longest, wherever it comes.
 */
import type { OwnedStep, OwnedTask } from '../model/ownedJob.js';
import { NO_INTERRUPTED_ROOM, type InterruptedRoom } from '../model/shareCapacity.js';
import type { Refusals } from './refusals.js';
import type { Spill, SpillTarget } from './spillOver.js';

/** Fraction of the difference to another share, as in its report, that this share may use. */
const BUDGET_FRACTION = 0.4;

/**
 * Smallest difference to a share that lacks room as well, as a fraction of capacities: a smaller one is within the
 * error of reports.
 */
const MIN_LEAD = 0.015;

/** Time after which reports of another share count the tasks that were handed to it, in milliseconds. */
const REPORT_DELAY_MS = 1_000;

/** Room that was used at another share, and is not missing in its report yet. */
interface UsedRoom {
  readonly share: string;
  readonly service: string;
  readonly milliCores: number;
  readonly atMs: number;
}

const serviceOf = ({ step }: OwnedTask): string => step.occurrence.job.queue.service;

/** Room of this share for interrupted tasks by service. */
type HomeRoom = ReadonlyMap<string, InterruptedRoom>;

/** Returns how much another share could take in until both have as much room by their capacity; 0 if too little. */
const leadOf = (other: InterruptedRoom, home: InterruptedRoom, milliCores: number): number => {
  if (other.capacity <= 0) return 0;
  const lead = other.free / other.capacity - home.free / Math.max(1, home.capacity);
  if (other.free < milliCores && lead < MIN_LEAD) return 0;
  const level = (other.free + home.free) / (other.capacity + home.capacity);
  return other.free - level * other.capacity;
};

/** Hands interrupted tasks to the share with the most room for them. */
export class InterruptedSpill {
  private used: UsedRoom[] = [];

  /** Sums of the used room, in thousandths of a core by share and service. */
  private readonly usedSums = new Map<string, number>();

  /**
   * @param refusals - shares that have returned tasks
   */
  constructor(private readonly refusals: Refusals) {}

  /**
   * Chooses tasks for which this share has no room.
   *
   * @param tasks - interrupted tasks, in the order in which they are handed over
   * @param home - room of this share
   * @param targets - other shares that have an owner
   * @param nowMs - monotonic time in milliseconds
   * @returns the tasks and their new shares
   */
  choose(
    tasks: readonly OwnedTask[],
    home: HomeRoom,
    targets: readonly SpillTarget[],
    nowMs: number,
  ): readonly Spill[] {
    this.forgetReported(nowMs);
    const left = new Map([...home].map(([service, { free }]) => [service, free]));
    const chosen = new Map<OwnedStep, Map<string, OwnedTask[]>>();
    tasks.forEach((task) => {
      const { step } = task;
      const service = serviceOf(task);
      if ((left.get(service) ?? 0) >= 0) return;
      const { milliCores } = step.spec.size;
      const share = this.shareFor(task, home, targets, nowMs);
      if (share === undefined) return;
      this.use({ share, service, milliCores, atMs: nowMs });
      left.set(service, (left.get(service) ?? 0) + milliCores);
      const byShare = chosen.get(step) ?? new Map<string, OwnedTask[]>();
      byShare.set(share, [...(byShare.get(share) ?? []), task]);
      chosen.set(step, byShare);
    });
    return [...chosen].flatMap(([step, byShare]) =>
      [...byShare].map(([to, handed]) => ({ step, tasks: handed, to })),
    );
  }

  /** Returns the id of the share with the most room, if the task fits into its budget. */
  private shareFor(
    task: OwnedTask,
    home: HomeRoom,
    targets: readonly SpillTarget[],
    nowMs: number,
  ): string | undefined {
    const { spec } = task.step;
    const service = serviceOf(task);
    const ownRoom = home.get(service) ?? NO_INTERRUPTED_ROOM;
    const fraction = Math.max(BUDGET_FRACTION, 1 / Math.max(1, targets.length));
    let most = spec.size.milliCores;
    let found: string | undefined;
    targets.forEach(({ share, room }) => {
      if (spec.requiredLabel !== '' && !room.labels.has(spec.requiredLabel)) return;
      if (this.refusals.has(task.step, share, nowMs)) return;
      const used = this.usedSums.get(`${share} ${service}`) ?? 0;
      const otherRoom = room.forInterrupted.get(service) ?? NO_INTERRUPTED_ROOM;
      const budget = fraction * leadOf(otherRoom, ownRoom, spec.size.milliCores) - used;
      if (budget < most) return;
      most = budget;
      found = share;
    });
    return found;
  }

  private forgetReported(nowMs: number): void {
    const used = this.used.filter(({ atMs }) => nowMs - atMs < REPORT_DELAY_MS);
    this.used = [];
    this.usedSums.clear();
    used.forEach((each) => this.use(each));
  }

  private use(room: UsedRoom): void {
    const { share, service, milliCores } = room;
    const key = `${share} ${service}`;
    this.used.push(room);
    this.usedSums.set(key, (this.usedSums.get(key) ?? 0) + milliCores);
  }
}
