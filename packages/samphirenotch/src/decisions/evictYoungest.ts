/**
 * Baseline: evicts the attempt that started last whenever a worker is under pressure.
 */
import type { PressureAction, PressurePolicy, PressureReading } from './pressurePolicy.js';

/** Thresholds of the baseline. */
export interface EvictYoungestSettings {
  /** Latency divided by its target above which a worker is under pressure. */
  readonly latencyRatio: number;
  /** Used memory divided by capacity above which a worker is under pressure. */
  readonly memoryRatio: number;
}

/** Evicts the most recently started attempt of a worker under pressure. */
export class EvictYoungest implements PressurePolicy {
  private readonly settings: EvictYoungestSettings;

  /**
   * @param settings - thresholds above which a worker is under pressure
   */
  constructor(settings: EvictYoungestSettings) {
    this.settings = settings;
  }

  /**
   * Decides which attempt of one worker to evict.
   *
   * @param reading - current state of the worker
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
