/**
 * Takes workers out that fail whatever they start, and lets them return slowly.
 */
import { HealthRecord } from './healthRecord.js';

import type { HealthRecordSettings, EjectionState } from './healthRecord.js';

/** Settings of ejection. */
export interface WorkerHealthSettings extends HealthRecordSettings {
  /** Largest share of the workers of a class that may be out. */
  readonly maximumEjectedShare: number;
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
  registerWorker(taskClass: string, workerId: string): void {
    const workers = this.workersOfClass.get(taskClass);
    if (workers) workers.add(workerId);
    else this.workersOfClass.set(taskClass, new Set([workerId]));
  }

  /**
   * Tells how far a worker is trusted.
   *
   * @param workerId - the worker
   * @param nowMs - current time, in milliseconds
   * @returns its standing
   */
  ejectionState(workerId: string, nowMs: number): EjectionState {
    return this.records.get(workerId)?.ejectionState(nowMs) ?? 'trusted';
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
   * @param isUnanswered - whether no answer came at all
   * @param nowMs - current time, in milliseconds
   */
  recordFailure(taskClass: string, workerId: string, isUnanswered: boolean, nowMs: number): void {
    const record = this.recordOf(workerId);
    const ejectionState = record.ejectionState(nowMs);
    const shouldEject = record.recordFailure(isUnanswered);
    if (ejectionState === 'ejected' || !shouldEject) return;
    if (ejectionState === 'trusted' && !this.mayEjectOneMore(taskClass, nowMs)) return;
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
    const notTrusted = workers.filter(
      (each) => this.ejectionState(each, nowMs) !== 'trusted',
    ).length;
    const allowed = Math.floor(workers.length * this.settings.maximumEjectedShare);
    const maximumEjected = workers.length > 1 ? Math.max(1, allowed) : 0;
    return notTrusted < maximumEjected;
  }
}
