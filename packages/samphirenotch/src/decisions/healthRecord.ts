/**
 * How the latest requests of one worker went, and how long it is out.
 */

/** Settings of ejection of one worker. */
export interface HealthRecordSettings {
  /** Failures in a row that eject a worker. */
  readonly failuresToEject: number;
  /** Silent requests in a row that eject a worker. */
  readonly silencesToEject: number;
  /** Length of a first ejection, in milliseconds; each further one is twice as long. */
  readonly ejectionMs: number;
  /** Longest ejection, in milliseconds. */
  readonly longestEjectionMs: number;
  /** Answers in a row after which a worker on probation is trusted again. */
  readonly answersToReturn: number;
}

/** Whether a worker may be used: fully, for single trial requests, or not at all. */
export type WorkerStanding = 'trusted' | 'probation' | 'ejected';

/** Health of one worker. */
export class HealthRecord {
  private readonly settings: HealthRecordSettings;

  private failuresInRow = 0;

  private silencesInRow = 0;

  private answersInRow = 0;

  private ejections = 0;

  private ejectedUntilMs = -Infinity;

  private onProbation = false;

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
  standing(nowMs: number): WorkerStanding {
    if (nowMs < this.ejectedUntilMs) return 'ejected';
    return this.onProbation ? 'probation' : 'trusted';
  }

  /** Learns that the worker answered. */
  recordAnswer(): void {
    this.failuresInRow = 0;
    this.silencesInRow = 0;
    this.answersInRow += 1;
    if (this.answersInRow < this.settings.answersToReturn) return;
    this.onProbation = false;
    this.ejections = 0;
  }

  /**
   * Learns that the worker failed a request or went silent on it.
   *
   * @param silent - whether no answer came at all
   * @returns true if the worker deserves to be ejected
   */
  recordFailure(silent: boolean): boolean {
    this.answersInRow = 0;
    this.failuresInRow += 1;
    this.silencesInRow = silent ? this.silencesInRow + 1 : 0;
    return (
      this.onProbation ||
      this.failuresInRow >= this.settings.failuresToEject ||
      this.silencesInRow >= this.settings.silencesToEject
    );
  }

  /**
   * Takes the worker out for a while, and puts it on probation afterwards.
   *
   * @param nowMs - time, in milliseconds
   */
  eject(nowMs: number): void {
    const { ejectionMs, longestEjectionMs } = this.settings;
    const lengthMs = Math.min(longestEjectionMs, ejectionMs * 2 ** this.ejections);
    this.ejectedUntilMs = nowMs + lengthMs;
    this.ejections += 1;
    this.failuresInRow = 0;
    this.silencesInRow = 0;
    this.onProbation = true;
  }
}
