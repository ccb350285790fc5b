/**
 * A worker's client whose errors count as failed calls.
 */
import { Failure } from '../../failure.js';
import type {
  HoldOrder,
  HoldOutcome,
  OrderAnswer,
  RunName,
  RunOrder,
  TaskWorker,
} from '../../infrastructure/taskWorker.js';
import { partLog } from '../../observability/log.js';
import { Err, type Result } from '../../results.js';
import type { Call } from '../../time/call.js';

/** Turns what a client throws into failures, so that no description of a worker ends its agent. */
export class GuardedTaskWorker implements TaskWorker {
  private readonly log = partLog('worker');

  private client: TaskWorker | undefined;

  /**
   * @param id - id of the worker
   * @param connect - creates the client; tried again by the next call if it throws
   */
  constructor(
    private readonly id: string,
    private readonly connect: () => TaskWorker,
  ) {}

  start(order: RunOrder, call: Call): Promise<Result<OrderAnswer, Failure>> {
    return this.attempt('start', (worker) => worker.start(order, call));
  }

  stop(run: RunName, fencingToken: number, call: Call): Promise<Result<OrderAnswer, Failure>> {
    return this.attempt('stop', (worker) => worker.stop(run, fencingToken, call));
  }

  pace(
    run: RunName,
    percent: number,
    fencingToken: number,
    call: Call,
  ): Promise<Result<OrderAnswer, Failure>> {
    return this.attempt('pace', (worker) => worker.pace(run, percent, fencingToken, call));
  }

  hold(order: HoldOrder, call: Call): Promise<Result<HoldOutcome, Failure>> {
    return this.attempt('hold', (worker) => worker.hold(order, call));
  }

  close(): void {
    this.client?.close();
  }

  private async attempt<T>(
    step: string,
    send: (worker: TaskWorker) => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    try {
      this.client ??= this.connect();
      return await send(this.client);
    } catch (error) {
      this.log.error('A call to a worker has thrown', {
        worker: this.id,
        step,
        reason: String(error),
      });
      return Err(
        new Failure({
          code: 'internal',
          step: `worker.${step}`,
          peer: this.id,
          // The error tells nothing about whether the request was sent.
          effect: 'unknown',
          message: String(error),
        }),
      );
    }
  }
}
