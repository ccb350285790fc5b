/**
 * gRPC service of tasks for peers. It serves only partitions that this entry owns and never
 * forwards a call.
 */
import type { Server, ServerUnaryCall, ServerWritableStream, sendUnaryData } from '@grpc/grpc-js';
import type { Failure } from '../failure.js';
import { toStatus } from '../grpc/grpcFailure.js';
import type { GrpcService } from '../grpc/grpcService.js';
import {
  TasksServiceService,
  type FollowTaskRequest,
  type FollowTaskResponse,
  type ReportAttemptsRequest,
  type ReportAttemptsResponse,
  type TasksServiceServer,
} from '../protocol/generated/samphirenotch/v1/tasks.js';
import { LIST_TASKS, ONE_TASK, REPORT_ATTEMPTS, SUBMIT_TASK } from '../protocol/tasksMessages.js';
import { Err, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { detach } from './detach.js';
import type { AttemptReportRouter } from './attemptReportRouter.js';
import type { PartitionHandler } from './partitionHandler.js';
import { notOwned } from './taskFailure.js';
import { checkRequest } from './taskMessage.js';
import type { TaskRoute, TaskRouter } from './taskRouter.js';

const MAXIMUM_CALL_MS = 60_000;

/** Serves the calls of peers about tasks. */
export class TasksServer implements GrpcService {
  /**
   * @param router - finds the local owner of a partition
   * @param handler - partitions that this entry owns, for reports of attempts
   * @param sink - applies reports of attempts
   * @param clock - converts deadlines
   */
  constructor(
    private readonly router: TaskRouter,
    private readonly handler: PartitionHandler,
    private readonly sink: AttemptReportRouter,
    private readonly clock: Clock,
  ) {}

  register(server: Server): void {
    const implementation: TasksServiceServer = {
      submitTask: (call, callback) =>
        this.answer(call, callback, async (localCall) => {
          const request = checkRequest(SUBMIT_TASK, call.request, 'tasks.submit');
          if (request.err) return request;
          const route = this.router.localRoute(request.val.partition);
          if (route.err) return route;
          return (await route.val.commands.submit(request.val, localCall)).map((task) => ({
            task,
          }));
        }),
      cancelTask: (call, callback) =>
        this.answer(call, callback, (localCall) =>
          this.withJob(call.request, async ({ commands }, jobId) =>
            (await commands.cancel(jobId, localCall)).map((task) => ({ task })),
          ),
        ),
      showTask: (call, callback) =>
        this.answer(call, callback, (localCall) =>
          this.withJob(call.request, async ({ queries }, jobId) =>
            (await queries.show(jobId, localCall)).map((task) => ({ task })),
          ),
        ),
      listTasks: (call, callback) =>
        this.answer(call, callback, async (localCall) => {
          const request = checkRequest(LIST_TASKS, call.request, 'tasks.list');
          if (request.err) return request;
          const route = this.router.localRoute(request.val.partition);
          if (route.err) return route;
          const page = await route.val.queries.list(request.val, localCall);
          return page.map((tasks) => ({ tasks: [...tasks] }));
        }),
      explainTask: (call, callback) =>
        this.answer(call, callback, (localCall) =>
          this.withJob(call.request, ({ queries }, jobId) => queries.explain(jobId, localCall)),
        ),
      followTask: (call) => {
        detach(this.follow(call));
      },
      reportAttempts: (call, callback) => this.answer(call, callback, () => this.report(call)),
    };
    server.addService(TasksServiceService, implementation);
  }

  private answer<Request, Response>(
    call: ServerUnaryCall<Request, Response>,
    callback: sendUnaryData<Response>,
    operation: (localCall: Call) => Promise<Result<Response, Failure>>,
  ): void {
    const callerGone = new AbortController();
    call.on('cancelled', () => callerGone.abort());
    const reply = (result: Result<Response, Failure>): void => {
      if (result.ok) callback(null, result.val);
      else callback(toStatus(result.val));
    };
    detach(operation(this.toCall(call.getDeadline(), callerGone.signal)).then(reply));
  }

  private toCall(deadline: Date | number, signal: AbortSignal): Call {
    const endMs = deadline instanceof Date ? deadline.getTime() : deadline;
    const leftMs = Math.min(MAXIMUM_CALL_MS, endMs - this.clock.wallMs());
    return { deadlineMs: this.clock.monotonicMs() + leftMs, signal };
  }

  private async withJob<T>(
    message: unknown,
    operation: (route: TaskRoute, jobId: string) => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    const request = checkRequest(ONE_TASK, message, 'tasks.route');
    if (request.err) return request;
    const partition = this.router.partitionOf(request.val.jobId);
    if (partition.err) return partition;
    const route = this.router.localRoute(partition.val);
    return route.err ? route : operation(route.val, request.val.jobId);
  }

  private async report(
    call: ServerUnaryCall<ReportAttemptsRequest, ReportAttemptsResponse>,
  ): Promise<Result<ReportAttemptsResponse, Failure>> {
    const request = checkRequest(REPORT_ATTEMPTS, call.request, 'tasks.report');
    if (request.err) return request;
    const { partition, workerId, shard, reports } = request.val;
    const owner = this.handler.find(partition);
    if (!owner) return Err(notOwned('tasks.report', partition));
    const recorded = await this.sink.reportLocally(owner, workerId, shard, reports);
    return recorded.map((ids) => ({ recordedIds: [...ids] }));
  }

  private async follow(
    call: ServerWritableStream<FollowTaskRequest, FollowTaskResponse>,
  ): Promise<void> {
    const callerGone = new AbortController();
    call.on('cancelled', () => callerGone.abort());
    const localCall = { deadlineMs: Infinity, signal: callerGone.signal };
    const ended = await this.withJob(call.request, ({ queries }, jobId) =>
      queries.follow(jobId, (task) => call.write({ task }), localCall),
    );
    if (ended.ok) call.end();
    else call.emit('error', toStatus(ended.val));
  }
}
