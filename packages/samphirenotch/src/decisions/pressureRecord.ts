/**
 * Smoothed pressure on one worker, and the times of the steps that were taken against it.
 */

/** Thresholds and delays of the relief of one worker. */
export interface PressureRecordSettings {
  /** Smoothed latency ratio above which a worker is under pressure. */
  readonly highLatencyRatio: number;
  /** Smoothed latency ratio below which throttles may be loosened. */
  readonly lowLatencyRatio: number;
  /** Time after which the weight of a latency reading is halved, in milliseconds. */
  readonly smoothingHalfLifeMs: number;
  /** Time for which pressure has to last before the first step of relief, in milliseconds. */
  readonly relieveAfterMs: number;
  /** Minimum time between two steps, in which a step can take effect, in milliseconds. */
  readonly settleMs: number;
  /** Time for which latency has to be low before a throttle is loosened, in milliseconds. */
  readonly loosenAfterMs: number;
  /** Maximum of that time after repeated doubling, in milliseconds. */
  readonly maximumLoosenAfterMs: number;
}

/** Pressure on one worker and the latest steps of relief. */
export class PressureRecord {
  private readonly settings: PressureRecordSettings;

  private latencyRatio: number;

  private lastUpdatedAtMs: number;

  /** Time since which the smoothed ratio is high; `Infinity` while it is not. */
  private highSinceMs = Infinity;

  /** Time since which the smoothed ratio is low; `Infinity` while it is not. */
  private lowSinceMs = Infinity;

  /** Time of the last step, relief or loosening. */
  private actedAtMs = -Infinity;

  /** Time of the last loosening since the last relief; `-Infinity` without one. */
  private loosenedAtMs = -Infinity;

  /** Current delay before loosening; doubled when loosening turned out to be too early. */
  private loosenAfterMs: number;

  /**
   * @param settings - thresholds and delays
   * @param nowMs - current time, in milliseconds
   */
  constructor(settings: PressureRecordSettings, nowMs: number) {
    this.settings = settings;
    this.latencyRatio = 1;
    this.lastUpdatedAtMs = nowMs;
    this.loosenAfterMs = settings.loosenAfterMs;
  }

  /**
   * Adds a latency reading.
   *
   * @param latencyRatio - latency divided by its target
   * @param nowMs - current time, in milliseconds
   */
  update(latencyRatio: number, nowMs: number): void {
    const { highLatencyRatio, lowLatencyRatio, smoothingHalfLifeMs } = this.settings;
    const retained = 0.5 ** (Math.max(0, nowMs - this.lastUpdatedAtMs) / smoothingHalfLifeMs);
    this.latencyRatio = this.latencyRatio * retained + latencyRatio * (1 - retained);
    this.lastUpdatedAtMs = nowMs;
    const isHigh = this.latencyRatio > highLatencyRatio;
    const isLow = this.latencyRatio < lowLatencyRatio;
    this.highSinceMs = isHigh ? Math.min(this.highSinceMs, nowMs) : Infinity;
    this.lowSinceMs = isLow ? Math.min(this.lowSinceMs, nowMs) : Infinity;
  }

  /**
   * Returns the time of the last reading.
   *
   * @returns time, in milliseconds
   */
  updatedAtMs(): number {
    return this.lastUpdatedAtMs;
  }

  /**
   * Checks whether the last step has had time to take effect.
   *
   * @param nowMs - current time, in milliseconds
   * @returns true if another step may follow
   */
  isSettled(nowMs: number): boolean {
    return nowMs - this.actedAtMs >= this.settings.settleMs;
  }

  /**
   * Checks whether pressure has lasted long enough to act on it.
   *
   * @param nowMs - current time, in milliseconds
   * @returns true if a step of relief is due
   */
  isUnderPressure(nowMs: number): boolean {
    return nowMs - this.highSinceMs >= this.settings.relieveAfterMs;
  }

  /**
   * Checks whether latency has been low for long enough since the last step.
   *
   * @param nowMs - current time, in milliseconds
   * @returns true if a throttle may be loosened
   */
  mayLoosen(nowMs: number): boolean {
    return nowMs - Math.max(this.lowSinceMs, this.actedAtMs) >= this.loosenAfterMs;
  }

  /**
   * Records a step of relief. If it follows soon after a loosening, the loosening was too early and
   * the delay before the next one is doubled.
   *
   * @param nowMs - current time, in milliseconds
   */
  recordRelief(nowMs: number): void {
    const { loosenAfterMs, maximumLoosenAfterMs } = this.settings;
    const wasTooEarly = nowMs - this.loosenedAtMs < 2 * this.loosenAfterMs;
    this.loosenAfterMs = wasTooEarly
      ? Math.min(maximumLoosenAfterMs, 2 * this.loosenAfterMs)
      : loosenAfterMs;
    this.loosenedAtMs = -Infinity;
    this.actedAtMs = nowMs;
  }

  /**
   * Records that a throttle was loosened.
   *
   * @param nowMs - current time, in milliseconds
   */
  recordLoosening(nowMs: number): void {
    this.loosenedAtMs = nowMs;
    this.actedAtMs = nowMs;
  }
}
