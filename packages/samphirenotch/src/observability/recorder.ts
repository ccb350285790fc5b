/**
 * Where parts record what happened, for histograms and counters.
 */

/** Steps of a request or task that are timed, and what a process does by itself. */
export type Step =
  | 'admission'
  | 'queue'
  | 'forward'
  | 'worker'
  | 'total'
  | 'start'
  /** How late the event loop served a timer. */
  | 'loop'
  /** One look of an owner at all that waits. */
  | 'pass';

/** Whom a measurement belongs to. */
export interface Subject {
  readonly taskClass: string;
  readonly tenant: string;
}

/** Takes measurements. */
export interface Recorder {
  /** Records how long a step took, in milliseconds. */
  time(step: Step, subject: Subject, durationMs: number): void;
  /** Adds to a counter. Labels have few distinct values. */
  count(name: string, labels?: Readonly<Record<string, string>>, by?: number): void;
}

/** Drops every measurement. */
export class SilentRecorder implements Recorder {
  time(): void {}

  count(): void {}
}
