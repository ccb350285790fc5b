/**
 * Outcomes of the latest requests of one worker, and its ejection (outlier detection).
 */

/** Settings for the ejection of one worker. */
export interface HealthRecordSettings {
  /** Number of consecutive failures after which a worker is ejected. */
  readonly failuresToEject: number;
  /** Number of consecutive requests without any answer after which a worker is ejected. */
  readonly unansweredToEject: number;
  /** Length of the first ejection, in milliseconds; each further one is twice as long. */
  readonly firstEjectionMs: number;
  /** Maximum length of an ejection, in milliseconds. */
  readonly maximumEjectionMs: number;
  /** Number of consecutive answers after which a worker on probation is trusted again. */
  readonly answersToRestore: number;
}

/** Whether a worker gets requests: normally, only single trial requests, or none. */
export type EjectionState = 'trusted' | 'probation' | 'ejected';

/** Health of one worker, as seen from the outcomes of its requests. */
export class HealthRecord {
  private readonly settings: HealthRecordSettings;

  private failuresInRow = 0;

  private unansweredInRow = 0;

  private answersInRow = 0;

  private ejections = 0;

  private ejectedUntilMs = -Infinity;

  private isOnProbation = false;

  /**
   * @param settings - conditions and lengths of ejections
   */
  constructor(settings: HealthRecordSettings) {
    this.settings = settings;
  }

  /**
   * Returns the ejection state of the worker.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the state at that time
   */
  ejectionState(nowMs: number): EjectionState {
    if (nowMs < this.ejectedUntilMs) return 'ejected';
    return this.isOnProbation ? 'probation' : 'trusted';
  }

  /** Records that the worker answered a request. */
  recordAnswer(): void {
    this.failuresInRow = 0;
    this.unansweredInRow = 0;
    this.answersInRow += 1;
    if (this.answersInRow < this.settings.answersToRestore) return;
    this.isOnProbation = false;
    this.ejections = 0;
  }

  /**
   * Records that the worker failed a request or did not answer it.
   *
   * @param isUnanswered - whether there was no answer at all
   * @returns true if the worker should be ejected
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
   * Ejects the worker for some time; afterwards it is on probation.
   *
   * @param nowMs - current time, in milliseconds
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
