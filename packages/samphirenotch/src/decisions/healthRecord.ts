/**
 * How the latest requests of one worker went, and how long it is out.
 */

/** Settings of ejection of one worker. */
export interface HealthRecordSettings {
  /** Failures in a row that eject a worker. */
  readonly failuresToEject: number;
  /** Silent requests in a row that eject a worker. */
  readonly unansweredToEject: number;
  /** Length of a first ejection, in milliseconds; each further one is twice as long. */
  readonly firstEjectionMs: number;
  /** Longest ejection, in milliseconds. */
  readonly maximumEjectionMs: number;
  /** Answers in a row after which a worker on probation is trusted again. */
  readonly answersToRestore: number;
}

/** Whether a worker may be used: fully, for single trial requests, or not at all. */
export type EjectionState = 'trusted' | 'probation' | 'ejected';

/** Health of one worker. */
export class HealthRecord {
  private readonly settings: HealthRecordSettings;

  private failuresInRow = 0;

  private unansweredInRow = 0;

  private answersInRow = 0;

  private ejections = 0;

  private ejectedUntilMs = -Infinity;

  private isOnProbation = false;

  /**
   * @param settings - when to eject and for how long
   */
  constructor(settings: HealthRecordSettings) {
    this.settings = settings;
  }

  /**
   * Tells how far the worker is trusted.
   *
   * @param nowMs - time, in milliseconds
   * @returns its standing
   */
  ejectionState(nowMs: number): EjectionState {
    if (nowMs < this.ejectedUntilMs) return 'ejected';
    return this.isOnProbation ? 'probation' : 'trusted';
  }

  /** Learns that the worker answered. */
  recordAnswer(): void {
    this.failuresInRow = 0;
    this.unansweredInRow = 0;
    this.answersInRow += 1;
    if (this.answersInRow < this.settings.answersToRestore) return;
    this.isOnProbation = false;
    this.ejections = 0;
  }

  /**
   * Learns that the worker failed a request or went silent on it.
   *
   * @param isUnanswered - whether no answer came at all
   * @returns true if the worker deserves to be ejected
   */
  recordFailure(isUnanswered: boolean): boolean {
    this.answersInRow = 0;
    this.failuresInRow += 1;
    this.unansweredInRow = isUnanswered ? this.unansweredInRow + 1 : 0;
    return (
      this.isOnProbation ||
      this.failuresInRow >= this.settings.failuresToEject ||
      this.unansweredInRow >= this.settings.unansweredToEject
    );
  }

  /**
   * Takes the worker out for a while, and puts it on probation afterwards.
   *
   * @param nowMs - time, in milliseconds
   */
  eject(nowMs: number): void {
    const { firstEjectionMs, maximumEjectionMs } = this.settings;
    const durationMs = Math.min(maximumEjectionMs, firstEjectionMs * 2 ** this.ejections);
    this.ejectedUntilMs = nowMs + durationMs;
    this.ejections += 1;
    this.failuresInRow = 0;
    this.unansweredInRow = 0;
    this.isOnProbation = true;
  }
}
