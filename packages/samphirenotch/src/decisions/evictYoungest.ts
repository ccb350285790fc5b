/**
 * Baseline: evicts the attempt that started last as soon as a worker is under pressure.
 */
import type { PressureAction, PressurePolicy, PressureReading } from './pressurePolicy.js';

/** Settings of the baseline. */
export interface EvictYoungestSettings {
  /** Latency relative to its target above which a worker is under pressure. */
  readonly latencyRatio: number;
  /** Memory used relative to capacity above which a worker is under pressure. */
  readonly memoryRatio: number;
}

/** Evicts the youngest attempt of a worker under pressure. */
export class EvictYoungest implements PressurePolicy {
  private readonly settings: EvictYoungestSettings;

  /**
   * @param settings - when a worker is under pressure
   */
  constructor(settings: EvictYoungestSettings) {
    this.settings = settings;
  }

  /**
   * Decides about one worker.
   *
   * @param reading - state of the worker
   * @returns at most one eviction
   */
  decide(reading: PressureReading): readonly PressureAction[] {
    if (!this.isUnderPressure(reading)) return [];
    const [youngest] = [...reading.attempts].sort(
      (left, right) => right.startedAtMs - left.startedAtMs,
    );
    return youngest ? [{ kind: 'evict', attemptId: youngest.attemptId }] : [];
  }

  private isUnderPressure(reading: PressureReading): boolean {
    const { latencyRatio, memoryRatio } = this.settings;
    return reading.latencyRatio > latencyRatio || reading.memoryRatio > memoryRatio;
  }
}
