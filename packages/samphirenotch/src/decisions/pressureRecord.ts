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
  readonly enterAfterMs: number;
  /** Time for a step to show its effect before the next, in milliseconds. */
  readonly settleMs: number;
  /** How long a worker has to be at ease before a throttle is eased, in milliseconds. */
  readonly easeAfterMs: number;
  /** Longest time at ease that is asked for, in milliseconds. */
  readonly longestEaseAfterMs: number;
}

/** Smoothed pressure of one worker, and when it was acted on. */
export class PressureRecord {
  private readonly settings: PressureRecordSettings;

  private latencyRatio: number;

  private lastReadAtMs: number;

  private pressedSinceMs = Infinity;

  private atEaseSinceMs = Infinity;

  private actedAtMs = -Infinity;

  private easedAtMs = -Infinity;

  private easeAfterMs: number;

  /**
   * @param settings - thresholds and times
   * @param nowMs - time, in milliseconds
   */
  constructor(settings: PressureRecordSettings, nowMs: number) {
    this.settings = settings;
    this.latencyRatio = 1;
    this.lastReadAtMs = nowMs;
    this.easeAfterMs = settings.easeAfterMs;
  }

  /**
   * Learns a reading.
   *
   * @param latencyRatio - latency relative to its target
   * @param nowMs - time, in milliseconds
   */
  read(latencyRatio: number, nowMs: number): void {
    const { highLatencyRatio, lowLatencyRatio, smoothingHalfLifeMs } = this.settings;
    const kept = 0.5 ** (Math.max(0, nowMs - this.lastReadAtMs) / smoothingHalfLifeMs);
    this.latencyRatio = this.latencyRatio * kept + latencyRatio * (1 - kept);
    this.lastReadAtMs = nowMs;
    const isPressed = this.latencyRatio > highLatencyRatio;
    const isAtEase = this.latencyRatio < lowLatencyRatio;
    this.pressedSinceMs = isPressed ? Math.min(this.pressedSinceMs, nowMs) : Infinity;
    this.atEaseSinceMs = isAtEase ? Math.min(this.atEaseSinceMs, nowMs) : Infinity;
  }

  /**
   * Tells when the last reading was.
   *
   * @returns time, in milliseconds
   */
  readAtMs(): number {
    return this.lastReadAtMs;
  }

  /**
   * Tells whether the last step had time to show its effect.
   *
   * @param nowMs - time, in milliseconds
   * @returns true if another step may follow
   */
  isSettled(nowMs: number): boolean {
    return nowMs - this.actedAtMs >= this.settings.settleMs;
  }

  /**
   * Tells whether pressure has lasted.
   *
   * @param nowMs - time, in milliseconds
   * @returns true if something has to be done
   */
  isPressed(nowMs: number): boolean {
    return nowMs - this.pressedSinceMs >= this.settings.enterAfterMs;
  }

  /**
   * Tells whether the worker has been at ease for long.
   *
   * @param nowMs - time, in milliseconds
   * @returns true if a throttle may be eased
   */
  isAtEase(nowMs: number): boolean {
    return nowMs - Math.max(this.atEaseSinceMs, this.actedAtMs) >= this.easeAfterMs;
  }

  /**
   * Notes a step of relief. Pressure soon after easing means that easing came too early.
   *
   * @param nowMs - time, in milliseconds
   */
  relieved(nowMs: number): void {
    const { easeAfterMs, longestEaseAfterMs } = this.settings;
    const wasTooEarly = nowMs - this.easedAtMs < 2 * this.easeAfterMs;
    this.easeAfterMs = wasTooEarly
      ? Math.min(longestEaseAfterMs, 2 * this.easeAfterMs)
      : easeAfterMs;
    this.easedAtMs = -Infinity;
    this.actedAtMs = nowMs;
  }

  /**
   * Notes a step of easing.
   *
   * @param nowMs - time, in milliseconds
   */
  eased(nowMs: number): void {
    this.easedAtMs = nowMs;
    this.actedAtMs = nowMs;
  }
}
