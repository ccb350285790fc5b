/**
 * Relieves a worker step by step: throttle what disturbs most, then evict the cheapest work that
 * helps; gives back slowly, and more slowly each time it proved too early.
 */
import { cheapestEviction } from './evictionCost.js';
import { PressureRecord } from './pressureRecord.js';

import type { PressureRecordSettings } from './pressureRecord.js';
import type {
  PressureAction,
  PressureAttempt,
  PressurePolicy,
  PressureReading,
} from './pressurePolicy.js';

/** Settings of relief. */
export interface HysteresisPressureSettings extends PressureRecordSettings {
  /** Memory ratio above which work is evicted at once. */
  readonly highMemoryRatio: number;
  /** Shares that a throttled attempt is limited to, one step after the other. */
  readonly throttleShares: readonly number[];
}

/** Settings that the entry uses unless told otherwise. */
export const HYSTERESIS_PRESSURE_DEFAULTS: HysteresisPressureSettings = {
  highLatencyRatio: 1.2,
  lowLatencyRatio: 0.8,
  highMemoryRatio: 0.95,
  smoothingHalfLifeMs: 4_000,
  relieveAfterMs: 2_000,
  settleMs: 3_000,
  loosenAfterMs: 10_000,
  maximumLoosenAfterMs: 160_000,
  throttleShares: [0.5, 0.25],
};

const RECORD_LIFETIME_MS = 600_000;

/** Relief with hysteresis. */
export class HysteresisPressure implements PressurePolicy {
  private readonly settings: HysteresisPressureSettings;

  private readonly records = new Map<string, PressureRecord>();

  private prunedAtMs = 0;

  /**
   * @param settings - thresholds and times
   */
  constructor(settings: HysteresisPressureSettings = HYSTERESIS_PRESSURE_DEFAULTS) {
    this.settings = settings;
  }

  /**
   * Decides about one worker.
   *
   * @param reading - its state
   * @returns at most one action
   */
  decide(reading: PressureReading): readonly PressureAction[] {
    const { nowMs, latencyRatio, memoryRatio } = reading;
    this.prune(nowMs);
    const record = this.recordOf(reading);
    record.update(latencyRatio, nowMs);
    if (!record.isSettled(nowMs)) return [];
    const action = this.relief(reading, record, memoryRatio > this.settings.highMemoryRatio);
    if (action) {
      record.recordRelief(nowMs);
      return [action];
    }
    return this.loosenThrottle(reading, record);
  }

  private relief(
    reading: PressureReading,
    record: PressureRecord,
    isMemoryShort: boolean,
  ): PressureAction | undefined {
    const { attempts, nowMs } = reading;
    if (isMemoryShort) return this.evict(cheapestEviction(attempts, nowMs, 'memory'));
    if (!record.isUnderPressure(nowMs)) return undefined;
    return (
      this.throttleMostDisturbing(attempts) ??
      this.evict(cheapestEviction(attempts, nowMs, 'slowdown'))
    );
  }

  private throttleMostDisturbing(attempts: readonly PressureAttempt[]): PressureAction | undefined {
    const [mostDisturbing] = attempts
      .filter((each) => each.predictedSlowdown > 1 && this.lowerShare(each) !== undefined)
      .sort((left, right) => right.predictedSlowdown - left.predictedSlowdown);
    const share = mostDisturbing && this.lowerShare(mostDisturbing);
    if (!mostDisturbing || share === undefined) return undefined;
    return { kind: 'throttle', attemptId: mostDisturbing.attemptId, share };
  }

  private evict(attempt: PressureAttempt | undefined): PressureAction | undefined {
    return attempt && { kind: 'evict', attemptId: attempt.attemptId };
  }

  private loosenThrottle(
    { attempts, nowMs }: PressureReading,
    record: PressureRecord,
  ): PressureAction[] {
    if (!record.mayLoosen(nowMs)) return [];
    const [leastDisturbing] = attempts
      .filter((each) => each.throttledTo < 1)
      .sort((left, right) => left.predictedSlowdown - right.predictedSlowdown);
    if (!leastDisturbing) return [];
    record.recordLoosening(nowMs);
    const share = this.higherShare(leastDisturbing);
    return [{ kind: 'throttle', attemptId: leastDisturbing.attemptId, share }];
  }

  private lowerShare(attempt: PressureAttempt): number | undefined {
    return this.settings.throttleShares.find((share) => share < attempt.throttledTo);
  }

  private higherShare(attempt: PressureAttempt): number {
    const higherShares = this.settings.throttleShares.filter(
      (share) => share > attempt.throttledTo,
    );
    return higherShares.at(-1) ?? 1;
  }

  private recordOf({ workerId, nowMs }: PressureReading): PressureRecord {
    const known = this.records.get(workerId);
    if (known) return known;
    const record = new PressureRecord(this.settings, nowMs);
    this.records.set(workerId, record);
    return record;
  }

  private prune(nowMs: number): void {
    if (nowMs - this.prunedAtMs < RECORD_LIFETIME_MS) return;
    this.prunedAtMs = nowMs;
    for (const [workerId, record] of this.records) {
      if (nowMs - record.updatedAtMs() >= RECORD_LIFETIME_MS) this.records.delete(workerId);
    }
  }
}
