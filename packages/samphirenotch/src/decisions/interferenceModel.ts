/**
 * Learns how much a class of work slows another one that runs beside it.
 */

/** A measurement: how much slower work of a class was than alone, beside some neighbours. */
export interface SlowdownObservation {
  readonly victimClass: string;
  readonly neighbours: readonly string[];
  /** 1 is as fast as alone. */
  readonly slowdown: number;
  readonly nowMs: number;
}

/** A model of interference between ordered pairs of classes. */
export interface InterferenceModel {
  /** Predicts the slowdown of a class beside neighbours; 1 is none. */
  predict(victimClass: string, neighbours: readonly string[], nowMs: number): number;
  observe(observation: SlowdownObservation): void;
}
