/**
 * Learns how much fillers disturb serving tasks, by pair of images.
 *
 * The inverse of a serving task's tail falls about linearly with the processors that fillers use
 * beside it, at a slope that differs widely by pair. Tasks of one step share their own load, so the
 * least disturbed of them shows what the tail would be without fillers.
 */
import type { OwnedRun, OwnedStep } from './ownedJob.js';
import { PairSlopes, type FillerUse } from './pairSlopes.js';

/** Tail over target from which figures are saturated: they bound the loss from below only. */
const SATURATED = 5;

/** Age up to which a step's undisturbed tail is used, in milliseconds. */
const BASE_AGE_MS = 1_500;

/** Time for which a run must have been in progress before its figures count, in milliseconds. */
const SETTLED_MS = 700;

interface Base {
  readonly inverse: number;
  readonly atMs: number;
}

/** Slopes by pair, and undisturbed tails by step. */
export class Interference {
  private readonly slopes = new Map<string, PairSlopes>();

  private readonly bases = new WeakMap<OwnedStep, Base>();

  /**
   * Predicts the tail of a serving task.
   *
   * @param run - the serving task's run
   * @param uses - fillers beside it
   * @param nowMs - monotonic time in milliseconds
   * @returns the inverse of the tail in milliseconds; undefined while nothing is known of the step
   */
  inverseTail(run: OwnedRun, uses: readonly FillerUse[], nowMs: number): number | undefined {
    const base = this.baseOf(run.task.step, nowMs);
    if (base === undefined) return undefined;
    return base - this.loss(run.task.step.spec.image, uses);
  }

  /**
   * Tells what fillers cost a serving image.
   *
   * @param serving - the image
   * @param uses - fillers beside it
   * @returns inverse milliseconds
   */
  loss(serving: string, uses: readonly FillerUse[]): number {
    return this.slopesOf(serving).predict(uses);
  }

  /**
   * Learns from one look at a worker.
   *
   * @param runs - everything in progress on it
   * @param milliCores - the worker's processors
   * @param nowMs - monotonic time in milliseconds
   */
  learn(runs: readonly OwnedRun[], milliCores: number, nowMs: number): void {
    const settled = ({ confirmedMs }: OwnedRun): boolean =>
      confirmedMs !== undefined && nowMs - confirmedMs >= SETTLED_MS;
    const fillers = runs.filter(({ task }) => task.step.spec.filler);
    const serving = runs.filter(
      (run) => run.task.step.spec.targetMs > 0 && run.gauge > 0 && run.percent === 100,
    );
    serving.filter(settled).forEach((run) => this.noteBase(run, nowMs));
    if (fillers.length === 0 || !fillers.every(settled)) return;
    const uses = fillers.map(({ task, gauge }) => ({
      image: task.step.spec.image,
      share: gauge / milliCores,
    }));
    serving.filter(settled).forEach((run) => this.learnFrom(run, uses, nowMs));
  }

  private noteBase({ task, gauge }: OwnedRun, nowMs: number): void {
    const known = this.bases.get(task.step);
    const inverse = 1 / gauge;
    if (known && nowMs - known.atMs < BASE_AGE_MS && known.inverse > inverse) return;
    this.bases.set(task.step, { inverse, atMs: nowMs });
  }

  private baseOf(step: OwnedStep, nowMs: number): number | undefined {
    const base = this.bases.get(step);
    return base && nowMs - base.atMs < 2 * BASE_AGE_MS ? base.inverse : undefined;
  }

  private learnFrom(run: OwnedRun, uses: readonly FillerUse[], nowMs: number): void {
    const { image, targetMs } = run.task.step.spec;
    const base = this.baseOf(run.task.step, nowMs);
    if (base === undefined) return;
    const lost = Math.max(0, base - 1 / run.gauge);
    const slopes = this.slopesOf(image);
    if (run.gauge > SATURATED * targetMs && slopes.predict(uses) > lost) return;
    slopes.learn(uses, lost);
  }

  private slopesOf(serving: string): PairSlopes {
    const known = this.slopes.get(serving);
    if (known) return known;
    const slopes = new PairSlopes();
    this.slopes.set(serving, slopes);
    return slopes;
  }
}
