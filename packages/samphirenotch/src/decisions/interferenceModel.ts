/**
 * Models interference: how much a class of work slows another class on the same worker.
 */

/** A measurement of how much neighbours on the same worker slowed work of a class. */
export interface SlowdownObservation {
  /** Class that was slowed. */
  readonly victimClass: string;
  /** Classes that ran on the same worker, one entry per neighbour. */
  readonly neighbours: readonly string[];
  /** Time it took divided by the time it takes alone; 1 is no slowdown. */
  readonly slowdown: number;
  /** Time of the measurement, in milliseconds. */
  readonly nowMs: number;
}

/** Model of interference between ordered pairs of classes (victim, neighbour). */
export interface InterferenceModel {
  /** Predicts the slowdown of a class next to neighbours; 1 is none. */
  predict(victimClass: string, neighbours: readonly string[], nowMs: number): number;
  /** Updates the model with a measurement. */
  observe(observation: SlowdownObservation): void;
}
