/**
 * Sends orders to one worker (start, stop, pace) and handles their answers.
 */
import type { Failure } from '../../failure.js';
import type {
  OrderAnswer,
  OrderOutcome,
  RunName,
  RunReport,
  TaskWorker,
} from '../../infrastructure/taskWorker.js';
import { partLog } from '../../observability/log.js';
import type { Result } from '../../results.js';
import { callWithin, type Call } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedRun } from '../model/ownedJob.js';
import type { OrderBatcher } from './orderBatcher.js';
import { markConfirmed, type WorkerRuns } from './workerRuns.js';

/** Timeout of an order, in milliseconds; a round trip takes a few. */
export const ORDER_TIMEOUT_MS = 600;

/** Delay before an unanswered order is sent again, in milliseconds. */
const RETRY_MS = 400;

/**
 * How long a worker gets no new work after it refused or did not answer a start, in milliseconds.
 */
const AVOID_AFTER_REFUSAL_MS = 1_000;

/** Gives orders access to the state of their worker. */
export interface OrderContext {
  readonly id: string;
  /** Returns the current client of the worker; it changes when the worker's address changes. */
  readonly worker: () => TaskWorker;
  readonly clock: Clock;
  readonly fencingToken: number;
  readonly runs: WorkerRuns;
  readonly batcher: OrderBatcher;
  /** Cancels all orders. */
  readonly signal: AbortSignal;
  /**
   * Returns why the start of a run must not be sent any more; undefined if the worker is as it was
   * when it was chosen.
   */
  obstacleTo(run: OwnedRun): string | undefined;
  /**
   * Returns the lease end to send, in milliseconds of the worker's clock; undefined if it may not
   * be extended.
   */
  extendLease(): number | undefined;
  /** Receives a reading of the worker's clock from the answer to a start, in milliseconds. */
  onClockReading(run: OwnedRun, clockMs: number): void;
  /** Converts a time of the worker's clock to monotonic time of this process, in milliseconds. */
  toLocalMs(clockMs: number): number;
  /** The worker has confirmed that it began a run. */
  onRunBegun(run: OwnedRun): void;
  /** The worker did not answer a start in time; whether it carries it out is unknown. */
  onStartUnanswered(run: OwnedRun): void;
  /** A run is over without a reported end. */
  onRunLost(run: OwnedRun, reason: string): void;
  /** Another incarnation answers at the address of a run that the worker may have begun. */
  onWorkerGone(run: OwnedRun): void;
  /** Gives the worker no new work for a time in milliseconds. */
  avoidFor(durationMs: number): void;
  /** Makes the next poll come soon. */
  pollSoon(): void;
  /** The worker knows a newer fencing token. */
  onStaleToken(): void;
  /** The worker refused the ticket of a start. */
  onTicketRefused(run: OwnedRun): void;
}

const nameOf = ({ task, run }: OwnedRun): RunName => ({ taskId: task.id, run });

/** Sends the orders of one worker and retries stops until they are settled. */
export class WorkerOrders {
  private readonly log = partLog('worker');

  /**
   * @param context - access to the state of the worker
   */
  constructor(private readonly context: OrderContext) {}

  /**
   * Sends the start of a run that is tracked already.
   *
   * @param run - the run
   * @param ticket - permission of the policy service, if the queue needs one
   * @param whenReady - resolves to true once the order may be sent, to false if it must not be; it may
   *   be sent at once if left out
   */
  start(run: OwnedRun, ticket: string | undefined, whenReady?: Promise<boolean>): void {
    if (!whenReady) {
      this.enqueueStart(run, ticket);
      return;
    }
    whenReady.then(
      (isReady) => {
        if (isReady) this.enqueueStart(run, ticket);
        else this.context.onRunLost(run, 'its start could not be prepared');
      },
      (error: unknown) => {
        this.log.error('A start could not be prepared', {
          taskId: run.task.id,
          reason: String(error),
        });
      },
    );
  }

  private enqueueStart(run: OwnedRun, ticket: string | undefined): void {
    const { batcher } = this.context;
    const send = (): void => {
      this.sendStart(run, ticket).catch((error: unknown) => {
        this.log.error('Sending a start failed', { taskId: run.task.id, reason: String(error) });
      });
    };
    if (run.task.step.spec.filler) batcher.enqueueFillerStart(run, send);
    else batcher.enqueue(send);
  }

  /**
   * Stops a run. Its resources stay reserved until the worker has reported its end.
   *
   * @param run - the run
   * @param reason - reason to log
   */
  stop(run: OwnedRun, reason: string): void {
    if (run.phase === 'stopping') return;
    const owned = run;
    owned.phase = 'stopping';
    owned.stopOrderedMs = this.context.clock.monotonicMs();
    this.log.info('Stopping a run', { ...nameOf(run), worker: this.context.id, reason });
    // A start that has not been sent by now is dropped, and its room is free again.
    this.context.batcher.expedite(run);
    this.context.batcher.enqueue(() => {
      this.sendStop(owned).catch((error: unknown) => {
        this.log.error('Sending a stop failed', { taskId: run.task.id, reason: String(error) });
      });
    });
  }

  /**
   * Limits a run to a part of its processors.
   *
   * @param run - the run
   * @param percent - the part, from 0 to 100
   */
  pace(run: OwnedRun, percent: number): void {
    const owned = run;
    const before = run.pace;
    owned.pace = percent;
    owned.firstSample = undefined;
    owned.progressedMs = this.context.clock.monotonicMs();
    this.context.batcher.enqueue(() => {
      this.sendPace(owned, percent, before).catch((error: unknown) => {
        this.log.error('Sending a pace failed', { taskId: run.task.id, reason: String(error) });
      });
    });
  }

  private async sendPace(run: OwnedRun, percent: number, before: number): Promise<void> {
    const { fencingToken } = this.context;
    const worker = this.context.worker();
    const answer = await worker.pace(nameOf(run), percent, fencingToken, this.call());
    if (answer.ok && answer.val.outcome === 'done') return;
    const owned = run;
    // The pace in force is unknown without an answer; the next pacing decision sends it again.
    owned.pace = before === percent ? -1 : before;
    this.log.warn('A change of pace failed', {
      ...nameOf(run),
      worker: this.context.id,
      percent,
      reason: answer.ok ? answer.val.outcome : answer.val.message,
    });
    if (answer.ok && answer.val.outcome === 'stale-token') this.context.onStaleToken();
  }

  /**
   * Stops a run that belongs to no open task. If the stop fails, the next poll that reports the run
   * repeats it.
   *
   * @param report - the run as the worker reports it
   */
  stopUnknownRun(report: RunReport): void {
    const { fencingToken, id } = this.context;
    const worker = this.context.worker();
    const { taskId, run } = report;
    this.log.info('Stopping a run that belongs to no open task', { taskId, run, worker: id });
    worker
      .stop(report, fencingToken, this.call())
      .then((answer) => {
        if (answer.ok) return;
        const reason = answer.val.message;
        this.log.warn('A stop was not answered', { taskId, run, worker: id, reason });
      })
      .catch((error: unknown) => {
        this.log.error('Sending a stop failed', { taskId, reason: String(error) });
      });
  }

  private call(): Call {
    return callWithin(this.context.clock, ORDER_TIMEOUT_MS, this.context.signal);
  }

  private async sendStart(run: OwnedRun, ticket: string | undefined): Promise<void> {
    const { context } = this;
    // Its task may have been started elsewhere since.
    if (!context.runs.has(run)) return;
    if (run.phase !== 'starting') {
      context.onRunLost(run, 'it was stopped before the order was sent');
      return;
    }
    const obstacle = context.obstacleTo(run);
    if (obstacle !== undefined) {
      context.onRunLost(run, obstacle);
      return;
    }
    const leaseUntilMs = context.extendLease();
    if (leaseUntilMs === undefined) {
      context.onRunLost(run, 'its lease may not be extended, as the worker went silent');
      return;
    }
    const { task } = run;
    const order = {
      ...nameOf(run),
      spec: task.step.occurrence.job.accepted.job.spec,
      leaseUntilMs,
      fencingToken: context.fencingToken,
      checkpoint: task.checkpoint,
      ...(ticket === undefined ? {} : { ticket }),
    };
    // The order may wait for a connection; it is not sent if the run is stopped or its worker changes
    // meanwhile.
    const isWanted = (): boolean =>
      context.runs.has(run) && run.phase === 'starting' && context.obstacleTo(run) === undefined;
    const call = { ...this.call(), isWanted };
    this.handleStartAnswer(run, await context.worker().start(order, call));
  }

  private handleStartAnswer(run: OwnedRun, answer: Result<OrderAnswer, Failure>): void {
    if (answer.err) {
      this.handleStartFailure(run, answer.val);
      return;
    }
    const { clockMs, outcome } = answer.val;
    if (clockMs !== undefined) this.context.onClockReading(run, clockMs);
    if (outcome === 'done') this.handleStarted(run, clockMs);
    else this.handleRefusal(run, outcome);
  }

  private handleStarted(run: OwnedRun, clockMs: number | undefined): void {
    const { clock } = this.context;
    const owned = run;
    owned.startAnsweredMs =
      clockMs === undefined ? clock.monotonicMs() : this.context.toLocalMs(clockMs);
    this.context.onRunBegun(run);
    if (run.phase === 'starting') owned.phase = 'running';
    if (run.confirmedMs === undefined) markConfirmed(run, clock.monotonicMs());
  }

  private handleRefusal(run: OwnedRun, outcome: OrderOutcome): void {
    if (outcome === 'stale-token') {
      this.context.onStaleToken();
      return;
    }
    if (outcome === 'no-ticket') this.context.onTicketRefused(run);
    else if (outcome !== 'superseded') this.context.avoidFor(AVOID_AFTER_REFUSAL_MS);
    this.context.onRunLost(run, `the worker answered ${outcome}`);
  }

  private handleStartFailure(run: OwnedRun, failure: Failure): void {
    if (run.phase !== 'starting') {
      if (failure.effect === 'not-run') {
        this.context.onRunLost(run, 'it was stopped before the order was sent');
      }
      return;
    }
    this.log.warn('A start was not answered', {
      ...nameOf(run),
      worker: this.context.id,
      effect: failure.effect,
      reason: failure.message,
    });
    this.context.avoidFor(AVOID_AFTER_REFUSAL_MS);
    if (failure.effect === 'not-run') {
      this.context.onRunLost(run, 'the order was not sent');
      return;
    }
    this.context.onStartUnanswered(run);
    const owned = run;
    owned.phase = 'in-doubt';
    // The worker may still carry out the start later. An answered stop rules that out.
    this.stop(owned, 'the start was not answered');
  }

  private async sendStop(run: OwnedRun): Promise<void> {
    const { clock, fencingToken, signal, runs } = this.context;
    while (!signal.aborted && runs.has(run)) {
      const answer = await this.context.worker().stop(nameOf(run), fencingToken, this.call());
      if (answer.ok && this.isStopSettled(run, answer.val.outcome)) return;
      await clock.sleep(RETRY_MS, signal);
    }
  }

  private isStopSettled(run: OwnedRun, outcome: OrderOutcome): boolean {
    if (outcome === 'stale-token') {
      this.context.onStaleToken();
      return true;
    }
    if (outcome === 'other-life') {
      this.context.onWorkerGone(run);
      return true;
    }
    if (outcome !== 'done') return false;
    // From now on, a poll that does not report the run shows that it is over.
    if (run.confirmedMs === undefined) markConfirmed(run, this.context.clock.monotonicMs());
    this.context.pollSoon();
    return true;
  }
}
