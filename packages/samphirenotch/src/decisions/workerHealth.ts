/**
 * Ejects workers whose requests keep failing, and lets them return on probation (outlier
 * detection).
 */
import { HealthRecord } from './healthRecord.js';

import type { HealthRecordSettings, EjectionState } from './healthRecord.js';

/** Settings for the ejection of workers. */
export interface WorkerHealthSettings extends HealthRecordSettings {
  /** Maximum share of the workers of a class that may be ejected or on probation. */
  readonly maximumEjectedShare: number;
}

/** Ejection states of workers, from the outcomes of their requests. */
export class WorkerHealth {
  private readonly settings: WorkerHealthSettings;

  private readonly records = new Map<string, HealthRecord>();

  private readonly workersOfClass = new Map<string, Set<string>>();

  /**
   * @param settings - conditions, lengths and limits of ejections
   */
  constructor(settings: WorkerHealthSettings) {
    this.settings = settings;
  }

  /**
   * Records that a worker serves a class, which counts for the limit of ejections of the class.
   *
   * @param taskClass - class of requests
   * @param workerId - identifier of the worker
   */
  registerWorker(taskClass: string, workerId: string): void {
    const workers = this.workersOfClass.get(taskClass);
    if (workers) workers.add(workerId);
    else this.workersOfClass.set(taskClass, new Set([workerId]));
  }

  /**
   * Returns the ejection state of a worker; a worker without failures is trusted.
   *
   * @param workerId - identifier of the worker
   * @param nowMs - current time, in milliseconds
   * @returns the state at that time
   */
  ejectionState(workerId: string, nowMs: number): EjectionState {
    return this.records.get(workerId)?.ejectionState(nowMs) ?? 'trusted';
  }

  /**
   * Records that a worker answered a request.
   *
   * @param workerId - identifier of the worker
   */
  recordAnswer(workerId: string): void {
    this.records.get(workerId)?.recordAnswer();
  }

  /**
   * Records that a worker failed a request or did not answer it, and ejects it if necessary.
   *
   * @param taskClass - class of the request
   * @param workerId - identifier of the worker
   * @param isUnanswered - whether there was no answer at all
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
   * Removes the state of a worker that has left.
   *
   * @param workerId - identifier of the worker
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

  /** Workers on probation count towards the limit, since they get only trial requests. */
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
