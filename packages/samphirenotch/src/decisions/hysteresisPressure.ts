/**
 * Relieves a worker under pressure in steps, with hysteresis: throttles the most disturbing attempt
 * first, then evicts the cheapest attempt whose eviction helps. Loosens throttles slowly, and waits
 * longer each time that pressure returns soon after loosening.
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

/** Settings of the relief of pressure. */
export interface HysteresisPressureSettings extends PressureRecordSettings {
  /** Used memory divided by capacity above which an attempt is evicted without throttling first. */
  readonly highMemoryRatio: number;
  /**
   * Processor shares to which an attempt is throttled, one step after the other, in falling order.
   */
  readonly throttleShares: readonly number[];
}

/** Default settings, which an entry uses. */
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

/** Time without a reading after which the record of a worker is dropped. */
const RECORD_LIFETIME_MS = 600_000;

/** Relieves pressure on workers, with hysteresis. */
export class HysteresisPressure implements PressurePolicy {
  private readonly settings: HysteresisPressureSettings;

  private readonly records = new Map<string, PressureRecord>();

  private prunedAtMs = 0;

  /**
   * @param settings - thresholds and delays
   */
  constructor(settings: HysteresisPressureSettings = HYSTERESIS_PRESSURE_DEFAULTS) {
    this.settings = settings;
  }

  /**
   * Decides on the next step for one worker.
   *
   * @param reading - current state of the worker
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
