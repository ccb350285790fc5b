/**
 * HTTP interface of tasks for callers.
 */
import type { ServerResponse } from 'node:http';
import { Failure } from '../failure.js';
import type { HttpExchange, HttpHandler } from '../http/httpHandler.js';
import { writeProblem } from '../http/problem.js';
import type { Result } from '../results.js';
import { callWithin, type Call } from '../time/call.js';
import { isEnded } from './job.js';
import type { TaskContext } from './taskContext.js';
import { streamTaskEvents } from './taskEvents.js';
import { readListing, readSubmission } from './taskInput.js';
import type { TaskLister } from './taskLister.js';
import type { TaskRoute, TaskRouter } from './taskRouter.js';
import type { TaskSubmitter } from './taskSubmitter.js';
import type { TaskView } from './taskView.js';

const PREFIX = '/tasks';
const CALL_TIMEOUT_MS = 10_000;
const MAXIMUM_PATH_LENGTH = 512;

const OK = 200;
const CREATED = 201;
const ACCEPTED = 202;

/** Parsed path below the prefix. */
interface TaskPath {
  readonly jobId?: string | undefined;
  readonly subresource?: string | undefined;
}

/** Serves `/tasks`. */
export class TaskHandler implements HttpHandler {
  readonly prefix = PREFIX;

  /**
   * @param context - components of the entry
   * @param router - finds the owner of a job
   * @param submitter - submits tasks
   * @param lister - lists tasks
   */
  constructor(
    private readonly context: TaskContext,
    private readonly router: TaskRouter,
    private readonly submitter: TaskSubmitter,
    private readonly lister: TaskLister,
  ) {}

  async handle(exchange: HttpExchange): Promise<void> {
    const requestId = this.context.random.uniqueId();
    exchange.response.setHeader('X-Request-Id', requestId);
    const taskPath = this.parsePath(exchange.url.pathname);
    const call = this.limitCall(exchange.call);
    const failure = taskPath
      ? await this.dispatch(exchange, taskPath, call, requestId)
      : this.unknownPath(exchange.url.pathname);
    if (failure) writeProblem(exchange.response, failure, requestId);
  }

  private dispatch(
    exchange: HttpExchange,
    { jobId, subresource }: TaskPath,
    call: Call,
    requestId: string,
  ): Promise<Failure | undefined> {
    const method = exchange.request.method ?? '';
    if (jobId === undefined) {
      if (method === 'POST') return this.submit(exchange, call);
      if (method === 'GET') return this.list(exchange, call);
      return this.unknownMethod(exchange.response, 'GET, POST');
    }
    if (subresource === undefined) {
      if (method === 'GET') return this.show(exchange, jobId, call);
      if (method === 'DELETE') return this.cancel(exchange, jobId, call);
      return this.unknownMethod(exchange.response, 'DELETE, GET');
    }
    if (method !== 'GET') return this.unknownMethod(exchange.response, 'GET');
    if (subresource === 'explain') return this.explain(exchange, jobId, call);
    return this.follow(exchange, jobId, requestId);
  }

  private async submit(exchange: HttpExchange, call: Call): Promise<Failure | undefined> {
    const input = await readSubmission(exchange.request);
    if (input.err) return input.val;
    const task = await this.submitter.submit(input.val, call);
    if (task.ok) {
      exchange.response.setHeader('Location', `${PREFIX}/${encodeURIComponent(task.val.id)}`);
    }
    return this.reply(exchange.response, CREATED, task);
  }

  private async list(exchange: HttpExchange, call: Call): Promise<Failure | undefined> {
    const input = readListing(exchange.url.searchParams);
    if (input.err) return input.val;
    return this.reply(exchange.response, OK, await this.lister.list(input.val, call));
  }

  private async show(
    exchange: HttpExchange,
    jobId: string,
    call: Call,
  ): Promise<Failure | undefined> {
    const task = await this.withRoute(jobId, ({ queries }) => queries.show(jobId, call));
    return this.reply(exchange.response, OK, task);
  }

  private async cancel(
    exchange: HttpExchange,
    jobId: string,
    call: Call,
  ): Promise<Failure | undefined> {
    const task = await this.withRoute(jobId, ({ commands }) => commands.cancel(jobId, call));
    const status = task.ok && !this.hasEnded(task.val) ? ACCEPTED : OK;
    return this.reply(exchange.response, status, task);
  }

  private async explain(
    exchange: HttpExchange,
    jobId: string,
    call: Call,
  ): Promise<Failure | undefined> {
    const explanation = await this.withRoute(jobId, ({ queries }) => queries.explain(jobId, call));
    return this.reply(exchange.response, OK, explanation);
  }

  private async follow(
    exchange: HttpExchange,
    jobId: string,
    requestId: string,
  ): Promise<Failure | undefined> {
    const route = this.route(jobId);
    if (route.err) return route.val;
    const { queries } = route.val;
    await streamTaskEvents(exchange, queries, jobId, this.context.clock, requestId);
    return undefined;
  }

  private async withRoute<T>(
    jobId: string,
    operation: (route: TaskRoute) => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    const route = this.route(jobId);
    return route.err ? route : operation(route.val);
  }

  private route(jobId: string): Result<TaskRoute, Failure> {
    const partition = this.router.partitionOf(jobId);
    return partition.err ? partition : this.router.routeTo(partition.val);
  }

  private reply(
    response: ServerResponse,
    status: number,
    result: Result<unknown, Failure>,
  ): Failure | undefined {
    if (result.err) return result.val;
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(result.val));
    return undefined;
  }

  private hasEnded(task: TaskView): boolean {
    return isEnded(task);
  }

  private parsePath(path: string): TaskPath | undefined {
    const [jobId, subresource, ...rest] = path.slice(PREFIX.length).split('/').filter(Boolean);
    if (rest.length > 0 || path.length > MAXIMUM_PATH_LENGTH) return undefined;
    if (subresource !== undefined && subresource !== 'events' && subresource !== 'explain')
      return undefined;
    try {
      return { jobId: jobId === undefined ? undefined : decodeURIComponent(jobId), subresource };
    } catch {
      return undefined;
    }
  }

  private limitCall(call: Call): Call {
    const limited = callWithin(this.context.clock, CALL_TIMEOUT_MS, call.signal);
    return { ...limited, deadlineMs: Math.min(call.deadlineMs, limited.deadlineMs) };
  }

  private unknownPath(path: string): Failure {
    return this.makeFailure(
      'not-found',
      `there is nothing at ${path.slice(0, MAXIMUM_PATH_LENGTH)}`,
    );
  }

  private unknownMethod(response: ServerResponse, allowed: string): Promise<Failure> {
    response.setHeader('Allow', allowed);
    return Promise.resolve(this.makeFailure('invalid', `the methods here are ${allowed}`));
  }

  private makeFailure(code: 'invalid' | 'not-found', message: string): Failure {
    return new Failure({
      code,
      step: 'tasks.http',
      peer: 'caller',
      effect: 'not-run',
      message,
    });
  }
}
