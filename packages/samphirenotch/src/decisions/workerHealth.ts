/**
 * Takes workers out that fail whatever they start, and lets them return slowly.
 */
import { HealthRecord } from './healthRecord.js';

import type { HealthRecordSettings, WorkerStanding } from './healthRecord.js';

/** Settings of ejection. */
export interface WorkerHealthSettings extends HealthRecordSettings {
  /** Largest share of the workers of a class that may be out. */
  readonly largestEjectedShare: number;
}

/** Standing of workers by how their requests went. */
export class WorkerHealth {
  private readonly settings: WorkerHealthSettings;

  private readonly records = new Map<string, HealthRecord>();

  private readonly workersOfClass = new Map<string, Set<string>>();

  /**
   * @param settings - when to eject, for how long, and how many at most
   */
  constructor(settings: WorkerHealthSettings) {
    this.settings = settings;
  }

  /**
   * Notes that a worker serves a class, for the share of its workers that may be out.
   *
   * @param taskClass - the class
   * @param workerId - the worker
   */
  enrol(taskClass: string, workerId: string): void {
    const workers = this.workersOfClass.get(taskClass);
    if (workers) workers.add(workerId);
    else this.workersOfClass.set(taskClass, new Set([workerId]));
  }

  /**
   * Tells how far a worker is trusted.
   *
   * @param workerId - the worker
   * @param nowMs - time, in milliseconds
   * @returns its standing
   */
  standing(workerId: string, nowMs: number): WorkerStanding {
    return this.records.get(workerId)?.standing(nowMs) ?? 'trusted';
  }

  /**
   * Learns that a worker answered.
   *
   * @param workerId - the worker
   */
  recordAnswer(workerId: string): void {
    this.records.get(workerId)?.recordAnswer();
  }

  /**
   * Learns that a worker failed a request or went silent on it.
   *
   * @param taskClass - class of the request
   * @param workerId - the worker
   * @param silent - whether no answer came at all
   * @param nowMs - time, in milliseconds
   */
  recordFailure(taskClass: string, workerId: string, silent: boolean, nowMs: number): void {
    const record = this.recordOf(workerId);
    const standing = record.standing(nowMs);
    const deservesEjection = record.recordFailure(silent);
    if (standing === 'ejected' || !deservesEjection) return;
    if (standing === 'trusted' && !this.mayEjectOneMore(taskClass, nowMs)) return;
    record.eject(nowMs);
  }

  /**
   * Forgets a worker.
   *
   * @param workerId - the worker
   */
  forget(workerId: string): void {
    this.records.delete(workerId);
    for (const workers of this.workersOfClass.values()) workers.delete(workerId);
  }

  private recordOf(workerId: string): HealthRecord {
    const known = this.records.get(workerId);
    if (known) return known;
    const record = new HealthRecord(this.settings);
    this.records.set(workerId, record);
    return record;
  }

  /** Workers on probation count as out, since they take only trial requests. */
  private mayEjectOneMore(taskClass: string, nowMs: number): boolean {
    const workers = [...(this.workersOfClass.get(taskClass) ?? [])];
    const out = workers.filter((each) => this.standing(each, nowMs) !== 'trusted').length;
    const share = Math.floor(workers.length * this.settings.largestEjectedShare);
    const largest = workers.length > 1 ? Math.max(1, share) : 0;
    return out < largest;
  }
}
