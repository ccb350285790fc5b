/**
 * Client of a worker over HTTP.
 */
import type { Readable } from 'node:stream';

import { Pool, request as sendRequest, type Dispatcher } from 'undici';

import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';

import {
  answeredFailure,
  exchangeFailure,
  operationSender,
  withinDeadline,
  type CommandTarget,
  type OperationSender,
} from './httpCommand.js';
import type {
  AttemptOrder,
  AttemptReport,
  Inventory,
  Renewal,
  RequestStatus,
  Worker,
  WorkerAnswer,
  WorkerGuarantees,
  WorkerRequest,
} from './worker.js';
import { ATTEMPT_REPORT, CHECKPOINT, INVENTORY, RECALL_ANSWER } from './workerMessages.js';

const MAXIMUM_CONNECTIONS = 12;
const CONNECT_TIMEOUT_MS = 1000;

/** Header that distinguishes a refusal by the worker itself from an answer of the service. */
const REFUSED_HEADER = 'samphirenotch-refused';
const REQUEST_ID_HEADER = 'samphirenotch-request-id';

const GUARANTEES: WorkerGuarantees = {
  refusesOlderEpochs: true,
  idempotentStarts: true,
  keepsEndedAttempts: true,
  supportsRecall: true,
};

const textHeaders = (headers: Dispatcher.ResponseData['headers']): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : String(value)]),
  );

const requestHeaders = (epoch: number, request: WorkerRequest): Record<string, string> => ({
  [REQUEST_ID_HEADER]: request.requestId,
  'samphirenotch-epoch': String(epoch),
  'samphirenotch-service': encodeURIComponent(request.service),
  'samphirenotch-task-class': encodeURIComponent(request.taskClass),
  'samphirenotch-tenant': encodeURIComponent(request.tenant),
  'samphirenotch-method': request.method,
  'samphirenotch-path': encodeURIComponent(request.path),
  'samphirenotch-headers': encodeURIComponent(JSON.stringify(request.headers)),
});

/** A worker that is accessed over HTTP. */
export class HttpWorker implements Worker {
  readonly guarantees = GUARANTEES;

  private readonly target: CommandTarget;

  private readonly send: OperationSender;

  private readonly pool: Pool;

  /**
   * @param id - the worker's id in the VM list
   * @param address - IP address and port of the worker
   * @param clock - the clock that deadlines are set on
   */
  constructor(
    readonly id: string,
    address: string,
    private readonly clock: Clock,
  ) {
    const origin = `http://${address}`;
    this.pool = new Pool(origin, {
      connections: MAXIMUM_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    this.target = { dispatcher: this.pool, origin, peer: `worker ${id}` };
    this.send = operationSender(this.target, 'worker', clock);
  }

  claim(epoch: number, call: Call): Promise<Result<Inventory, Failure>> {
    return this.send('claim', { epoch }, INVENTORY, call);
  }

  heartbeat(
    epoch: number,
    renewals: readonly Renewal[],
    acknowledged: readonly string[],
    call: Call,
  ): Promise<Result<Inventory, Failure>> {
    return this.send('heartbeat', { epoch, renewals, acknowledged }, INVENTORY, call);
  }

  start(epoch: number, order: AttemptOrder, call: Call): Promise<Result<AttemptReport, Failure>> {
    return this.send('start', { epoch, order }, ATTEMPT_REPORT, call);
  }

  async checkpoint(epoch: number, attemptId: string, call: Call): Promise<Result<string, Failure>> {
    const answer = await this.send('checkpoint', { epoch, attemptId }, CHECKPOINT, call);
    return answer.ok ? Ok(answer.val.checkpoint) : answer;
  }

  throttle(
    epoch: number,
    attemptId: string,
    share: number,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    return this.send('throttle', { epoch, attemptId, share }, ATTEMPT_REPORT, call);
  }

  stop(epoch: number, attemptId: string, call: Call): Promise<Result<AttemptReport, Failure>> {
    return this.send('stop', { epoch, attemptId }, ATTEMPT_REPORT, call);
  }

  async execute(
    epoch: number,
    request: WorkerRequest,
    call: Call,
  ): Promise<Result<WorkerAnswer, Failure>> {
    const step = 'worker.execute';
    const { peer, origin } = this.target;
    if (call.signal.aborted || remainingMs(this.clock, call) <= 0) {
      const message = 'the call ended before it was sent';
      return Err(new Failure({ code: 'deadline', step, peer, effect: 'not-run', message }));
    }
    try {
      const response = await withinDeadline(this.clock, call, (signal) =>
        sendRequest(`${origin}/worker/execute`, {
          method: 'POST',
          dispatcher: this.pool,
          headers: requestHeaders(epoch, request),
          body: request.body as Readable,
          signal,
        }),
      );
      const headers = textHeaders(response.headers);
      if (headers[REFUSED_HEADER] !== undefined) {
        return Err(answeredFailure(await response.body.json(), step, peer));
      }
      const requestId = headers[REQUEST_ID_HEADER] ?? '';
      delete headers[REQUEST_ID_HEADER];
      return Ok({ requestId, status: response.statusCode, headers, body: response.body });
    } catch (error) {
      return Err(exchangeFailure(error, step, peer));
    }
  }

  async recall(requestId: string, call: Call): Promise<Result<RequestStatus, Failure>> {
    const answer = await this.send('recall', { requestId }, RECALL_ANSWER, call);
    return answer.ok ? Ok(answer.val.memory) : answer;
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }
}
