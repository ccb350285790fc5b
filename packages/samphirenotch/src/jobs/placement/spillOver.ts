/**
 * Decides which waiting tasks are handed to another share of the site, and to which share.
 *
 * Balances uneven load: one share has a burst, a wide step or an evacuated data centre while others
 * have room. Tasks first wait a short time, because most room becomes free in their home share.
 * Only a fraction of the room that another share reported is used, because other shares read the
 * same report.
 */
import { isTaskWaiting, type OwnedStep, type OwnedTask } from '../model/ownedJob.js';
import type { ShareCapacity } from '../model/shareCapacity.js';
import type { Refusals } from './refusals.js';

/** A step whose tasks find no worker in this share. */
export interface UnplacedStep {
  readonly step: OwnedStep;
  /** Time for which no worker was found, in milliseconds. */
  readonly waitedMs: number;
  /** True if some workers of this share accept tasks of the step's service. */
  readonly hasWorkers: boolean;
}

/** Another share, as a target for tasks. */
export interface SpillTarget {
  readonly share: string;
  readonly room: ShareCapacity;
}

/** Tasks of a step to hand to another share. */
export interface Spill {
  readonly step: OwnedStep;
  readonly tasks: readonly OwnedTask[];
  readonly to: string;
}

/** Decides which tasks go to which share. */
export interface SpillPolicy {
  /**
   * Chooses the tasks to hand to other shares.
   *
   * @param steps - steps that find no worker, the most urgent first
   * @param targets - other shares that have an owner
   * @param nowMs - monotonic time in milliseconds
   * @returns the tasks and their new shares
   */
  choose(
    steps: readonly UnplacedStep[],
    targets: readonly SpillTarget[],
    nowMs: number,
  ): readonly Spill[];
}

/** Time that tasks wait for room in their home share, in milliseconds. */
const HOME_WAIT_MS = 100;

/** The same for fillers and long-running tasks, which are less urgent, in milliseconds. */
const DEFERRABLE_HOME_WAIT_MS = 400;

/**
 * Fraction of the room in one report of another share that this share may use; more with fewer than
 * three targets.
 */
const MINIMUM_BUDGET_FRACTION = 0.4;

interface Budget {
  readonly room: ShareCapacity;
  free: number;
  unused: number;
}

/**
 * Checks whether tasks of a step have waited for room in their home share for long enough.
 *
 * @param unplaced - the step
 * @returns true if they may be handed to another share
 */
export const hasWaitedAtHome = ({ step, waitedMs, hasWorkers }: UnplacedStep): boolean => {
  if (!hasWorkers) return true;
  const { filler, longRunning } = step.spec;
  return waitedMs >= (filler || longRunning ? DEFERRABLE_HOME_WAIT_MS : HOME_WAIT_MS);
};

/** Hands tasks to the share with the most room left, up to the budget for that share. */
export class MostFreeRoomSpill implements SpillPolicy {
  private readonly budgets = new Map<string, Budget>();

  /**
   * @param refusals - shares that have returned tasks
   */
  constructor(private readonly refusals: Refusals) {}

  choose(
    steps: readonly UnplacedStep[],
    targets: readonly SpillTarget[],
    nowMs: number,
  ): readonly Spill[] {
    const fraction = Math.max(MINIMUM_BUDGET_FRACTION, 1 / Math.max(1, targets.length));
    targets.forEach((target) => this.refreshBudget(target, fraction));
    return steps
      .filter(hasWaitedAtHome)
      .flatMap(({ step }) => this.spill(step, targets, nowMs) ?? []);
  }

  private refreshBudget({ share, room }: SpillTarget, fraction: number): void {
    if (this.budgets.get(share)?.room === room) return;
    const { free, unused, waiting } = room;
    this.budgets.set(share, {
      room,
      free: fraction * (free - waiting),
      unused: fraction * (unused - waiting),
    });
  }

  private spill(
    step: OwnedStep,
    targets: readonly SpillTarget[],
    nowMs: number,
  ): Spill | undefined {
    const { spec } = step;
    const waiting = step.tasks.filter(isTaskWaiting);
    const milliCores = Math.max(1, spec.size.milliCores);
    const budgetFor = ({ share }: SpillTarget): number => {
      const budget = this.budgets.get(share);
      return (spec.filler ? budget?.unused : budget?.free) ?? 0;
    };
    const eligible = targets
      .filter(({ room }) => spec.requiredLabel === '' || room.labels.has(spec.requiredLabel))
      .filter(({ share }) => !this.refusals.has(step, share, nowMs))
      .sort((one, other) => budgetFor(other) - budgetFor(one));
    const [target] = eligible;
    if (!target || waiting.length === 0) return undefined;
    const count = Math.min(waiting.length, Math.floor(budgetFor(target) / milliCores));
    if (count < (spec.gang ? waiting.length : 1)) return undefined;
    const budget = this.budgets.get(target.share);
    if (budget) {
      budget.unused -= count * milliCores;
      if (!spec.filler) budget.free -= count * milliCores;
    }
    return { step, tasks: waiting.slice(0, count), to: target.share };
  }
}
