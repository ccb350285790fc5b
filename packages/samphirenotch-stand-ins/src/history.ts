/**
 * What a worker stand-in held, from when to when, for whom and under which epoch.
 */
import type { Size } from 'samphirenotch/infrastructure/worker.js';

/** Kinds of events. */
export type HistoryKind =
  'claimed' | 'attempt-started' | 'attempt-ended' | 'request-started' | 'request-ended' | 'refused';

/** One event at a worker. */
export interface HistoryEvent {
  /** Wall-clock time in milliseconds. */
  readonly atMs: number;
  readonly workerId: string;
  readonly dataCentre: string;
  readonly kind: HistoryKind;
  readonly epoch: number;
  readonly attemptId?: string;
  readonly jobId?: string;
  readonly taskClass?: string;
  readonly size?: Size;
  /** Checkpoint that the attempt began from, or ended with. */
  readonly checkpoint?: string;
  /** How an attempt ended. */
  readonly phase?: string;
  readonly requestId?: string;
  /** Id that the caller gave its request, if it reached the worker. */
  readonly callerRequestId?: string;
  readonly idempotencyKey?: string;
  readonly method?: string;
  /** Set if the worker was over its capacity after this event. */
  readonly overCapacity?: boolean;
  readonly detail?: string;
}

/** Takes events as they happen. */
export interface History {
  append(event: HistoryEvent): void;
}

/** Keeps events in memory. */
export class MemoryHistory implements History {
  readonly events: HistoryEvent[] = [];

  append(event: HistoryEvent): void {
    this.events.push(event);
  }
}
