/**
 * Decides which waiting tasks go to another share of the site, and to which.
 *
 * Answers the pattern of shares that are loaded unlike: a burst, a wide step or an evacuated data
 * centre in one share while others have room. Tasks wait a little first, since most room comes up at
 * home, and never take more of the room that another share told of than a part of it: others look at
 * the same news.
 */
import { isTaskWaiting, type OwnedStep, type OwnedTask } from '../model/ownedJob.js';
import type { ShareCapacity } from '../model/shareCapacity.js';

/** A step whose tasks find no worker at home. */
export interface UnplacedStep {
  readonly step: OwnedStep;
  /** Time for which none was found, in milliseconds. */
  readonly waitedMs: number;
  /** Workers at home take work of its kind. */
  readonly hasWorkers: boolean;
}

/** Another share. */
export interface SpillTarget {
  readonly share: string;
  readonly room: ShareCapacity;
}

/** Tasks to hand on. */
export interface Spill {
  readonly step: OwnedStep;
  readonly tasks: readonly OwnedTask[];
  readonly to: string;
}

/** Decides what goes where. */
export interface SpillPolicy {
  /**
   * @param steps - steps that find no worker, the most urgent first
   * @param targets - other shares that somebody owns
   * @param nowMs - monotonic time in milliseconds
   * @returns what to hand on
   */
  choose(
    steps: readonly UnplacedStep[],
    targets: readonly SpillTarget[],
    nowMs: number,
  ): readonly Spill[];
}

/** How long tasks wait for room at home, in milliseconds. */
const HOME_WAIT_MS = 100;

/** The same for tasks that can wait: fillers, and those that last. */
const DEFERRABLE_HOME_WAIT_MS = 400;

/** Least part of the room of another share that this one takes on one piece of news. */
const MINIMUM_BUDGET_FRACTION = 0.4;

/** Time for which a share is not asked again that has given tasks of a step back, in milliseconds. */
const REFUSAL_BACKOFF_MS = 3_000;

interface Budget {
  readonly room: ShareCapacity;
  free: number;
  unused: number;
}

const shouldSpill = ({ step, waitedMs, hasWorkers }: UnplacedStep): boolean => {
  if (!hasWorkers) return true;
  const { filler, longRunning } = step.spec;
  return waitedMs >= (filler || longRunning ? DEFERRABLE_HOME_WAIT_MS : HOME_WAIT_MS);
};

/** Takes the share with most room, as much as it bears. */
export class MostFreeRoomSpill implements SpillPolicy {
  private readonly budgets = new Map<string, Budget>();

  private readonly refusals = new WeakMap<OwnedStep, Map<string, number>>();

  /**
   * Takes note that a share has given tasks back.
   *
   * @param step - their step
   * @param share - the share
   * @param nowMs - monotonic time in milliseconds
   */
  noteRefusal(step: OwnedStep, share: string, nowMs: number): void {
    const known = this.refusals.get(step) ?? new Map<string, number>();
    known.set(share, nowMs + REFUSAL_BACKOFF_MS);
    this.refusals.set(step, known);
  }

  choose(
    steps: readonly UnplacedStep[],
    targets: readonly SpillTarget[],
    nowMs: number,
  ): readonly Spill[] {
    const fraction = Math.max(MINIMUM_BUDGET_FRACTION, 1 / Math.max(1, targets.length));
    targets.forEach((target) => this.refreshBudget(target, fraction));
    return steps.filter(shouldSpill).flatMap(({ step }) => this.spill(step, targets, nowMs) ?? []);
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
      .filter(({ share }) => (this.refusals.get(step)?.get(share) ?? 0) <= nowMs)
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
