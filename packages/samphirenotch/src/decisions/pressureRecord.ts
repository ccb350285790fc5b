/**
 * What is remembered of the pressure on one worker.
 */

/** Settings of thresholds and times. */
export interface PressureRecordSettings {
  /** Smoothed latency ratio above which a worker is pressed. */
  readonly highLatencyRatio: number;
  /** Smoothed latency ratio below which a worker is at ease. */
  readonly lowLatencyRatio: number;
  /** Time in which a latency reading loses half of its weight, in milliseconds. */
  readonly smoothingHalfLifeMs: number;
  /** How long pressure has to last before anything is done, in milliseconds. */
  readonly relieveAfterMs: number;
  /** Time for a step to show its effect before the next, in milliseconds. */
  readonly settleMs: number;
  /** How long a worker has to be at ease before a throttle is eased, in milliseconds. */
  readonly loosenAfterMs: number;
  /** Longest time at ease that is asked for, in milliseconds. */
  readonly maximumLoosenAfterMs: number;
}

/** Smoothed pressure of one worker, and when it was acted on. */
export class PressureRecord {
  private readonly settings: PressureRecordSettings;

  private latencyRatio: number;

  private lastUpdatedAtMs: number;

  private highSinceMs = Infinity;

  private lowSinceMs = Infinity;

  private actedAtMs = -Infinity;

  private loosenedAtMs = -Infinity;

  private loosenAfterMs: number;

  /**
   * @param settings - thresholds and times
   * @param nowMs - current time, in milliseconds
   */
  constructor(settings: PressureRecordSettings, nowMs: number) {
    this.settings = settings;
    this.latencyRatio = 1;
    this.lastUpdatedAtMs = nowMs;
    this.loosenAfterMs = settings.loosenAfterMs;
  }

  /**
   * Learns a reading.
   *
   * @param latencyRatio - latency relative to its target
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
   * Tells when the last reading was.
   *
   * @returns time, in milliseconds
   */
  updatedAtMs(): number {
    return this.lastUpdatedAtMs;
  }

  /**
   * Tells whether the last step had time to show its effect.
   *
   * @param nowMs - current time, in milliseconds
   * @returns true if another step may follow
   */
  isSettled(nowMs: number): boolean {
    return nowMs - this.actedAtMs >= this.settings.settleMs;
  }

  /**
   * Tells whether pressure has lasted.
   *
   * @param nowMs - current time, in milliseconds
   * @returns true if something has to be done
   */
  isUnderPressure(nowMs: number): boolean {
    return nowMs - this.highSinceMs >= this.settings.relieveAfterMs;
  }

  /**
   * Tells whether the worker has been at ease for long.
   *
   * @param nowMs - current time, in milliseconds
   * @returns true if a throttle may be eased
   */
  mayLoosen(nowMs: number): boolean {
    return nowMs - Math.max(this.lowSinceMs, this.actedAtMs) >= this.loosenAfterMs;
  }

  /**
   * Notes a step of relief. Pressure soon after easing means that easing came too early.
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
   * Notes a step of easing.
   *
   * @param nowMs - current time, in milliseconds
   */
  recordLoosening(nowMs: number): void {
    this.loosenedAtMs = nowMs;
    this.actedAtMs = nowMs;
  }
}
