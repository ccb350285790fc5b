/**
 * One attempt as a worker stand-in runs it: work done over time, ended by completion or lease.
 */
import type {
  AttemptOrder,
  AttemptPhase,
  AttemptReport,
  Size,
} from 'samphirenotch/infrastructure/worker.js';
import { z } from 'zod';

const SIZE = z.object({
  milliCores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number().default(0),
});

const PAYLOAD = z.object({
  /** Work to do, in milliseconds of a task that is not throttled. */
  runMs: z.number().default(1000),
  fail: z.boolean().default(false),
  uses: SIZE.optional(),
});

type Payload = z.infer<typeof PAYLOAD>;

const readPayload = (text: string): Payload => {
  try {
    return PAYLOAD.parse(JSON.parse(text));
  } catch {
    return PAYLOAD.parse({});
  }
};

const CHECKPOINT = z.object({ doneMs: z.number() });

const readCheckpoint = (text: string | undefined): number => {
  if (text === undefined) return 0;
  try {
    return CHECKPOINT.parse(JSON.parse(text)).doneMs;
  } catch {
    return 0;
  }
};

/** An attempt at a worker. Time is passed in; it is monotonic and in milliseconds. */
export class AttemptRun {
  phase: AttemptPhase = 'running';

  endedAtMs: number | undefined;

  private readonly payload: Payload;

  private doneMs: number;

  private share = 1;

  private checkpointText: string | undefined;

  private leaseEndsAtMs: number;

  private updatedAtMs: number;

  /**
   * @param order - what to run
   * @param nowMs - when it starts
   */
  constructor(
    readonly order: AttemptOrder,
    nowMs: number,
  ) {
    this.payload = readPayload(order.payload);
    this.doneMs = readCheckpoint(order.checkpoint);
    this.checkpointText = order.checkpoint;
    this.leaseEndsAtMs = nowMs + order.leaseMs;
    this.updatedAtMs = nowMs;
  }

  /** Brings the attempt up to now: it may have completed or lapsed meanwhile. */
  advance(nowMs: number): void {
    if (this.phase !== 'running') return;
    const completesAtMs = this.updatedAtMs + (this.payload.runMs - this.doneMs) / this.share;
    if (Math.min(completesAtMs, this.leaseEndsAtMs) > nowMs) {
      this.doneMs += (nowMs - this.updatedAtMs) * this.share;
      this.updatedAtMs = nowMs;
      return;
    }
    if (this.leaseEndsAtMs < completesAtMs) this.end('lapsed', this.leaseEndsAtMs);
    else this.end(this.payload.fail ? 'failed' : 'completed', completesAtMs);
  }

  renew(leaseMs: number, nowMs: number): void {
    this.advance(nowMs);
    this.leaseEndsAtMs = nowMs + leaseMs;
  }

  /** Takes a checkpoint and returns its reference. */
  checkpoint(nowMs: number): string {
    this.advance(nowMs);
    this.checkpointText = JSON.stringify({ doneMs: this.doneMs });
    return this.checkpointText;
  }

  throttle(share: number, nowMs: number): void {
    this.advance(nowMs);
    this.share = Math.max(0.01, share);
  }

  stop(nowMs: number): void {
    this.advance(nowMs);
    if (this.phase === 'running') this.end('stopped', nowMs);
  }

  /** What the attempt uses, whatever was declared. */
  used(): Size {
    const { size } = this.order;
    return this.payload.uses ? { ...this.payload.uses } : size;
  }

  /**
   * Describes the attempt.
   *
   * @param used - usage to report, which may be older than the state
   * @returns the report
   */
  report(used?: Size): AttemptReport {
    const { attemptId, jobId, partition, taskClass, tenant, size } = this.order;
    const { phase, checkpointText } = this;
    return {
      attemptId,
      jobId,
      partition,
      taskClass,
      tenant,
      size,
      phase,
      ...(checkpointText === undefined ? {} : { checkpoint: checkpointText }),
      ...(phase === 'failed' ? { detail: 'the task failed' } : {}),
      ...(phase === 'completed' ? { detail: 'done' } : {}),
      ...(used && phase === 'running' ? { used } : {}),
    };
  }

  private end(phase: AttemptPhase, atMs: number): void {
    this.phase = phase;
    this.endedAtMs = atMs;
  }
}
