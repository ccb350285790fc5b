/**
 * Queries about the jobs of a partition that a peer owns.
 */
import type { Failure } from '../failure.js';
import { fromServiceError } from '../grpc/grpcFailure.js';
import { callUnary } from '../grpc/unaryCall.js';
import { TASK_EXPLANATION, TASK_PAGE, TASK_VIEW } from '../protocol/tasksMessages.js';
import { Err, Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { checkAnswer } from './taskMessage.js';
import type { TaskQueries, TaskSelection } from './taskOperations.js';
import type { TaskPeer } from './taskPeers.js';
import type { TaskExplanation, TaskView } from './taskView.js';

/** Sends queries about jobs to one peer. */
export class RemoteTaskQueries implements TaskQueries {
  /**
   * @param peer - the owner
   * @param clock - converts deadlines
   */
  constructor(
    private readonly peer: TaskPeer,
    private readonly clock: Clock,
  ) {}

  async show(jobId: string, call: Call): Promise<Result<TaskView, Failure>> {
    const target = { step: 'tasks.show', peer: this.peer.id };
    const method = this.peer.client.showTask.bind(this.peer.client);
    const answer = await callUnary(method, { jobId }, target, call, this.clock);
    if (answer.err) return answer;
    return checkAnswer(TASK_VIEW, answer.val.task, target.step, target.peer);
  }

  async list(selection: TaskSelection, call: Call): Promise<Result<readonly TaskView[], Failure>> {
    const target = { step: 'tasks.list', peer: this.peer.id };
    const method = this.peer.client.listTasks.bind(this.peer.client);
    const answer = await callUnary(method, { ...selection }, target, call, this.clock);
    if (answer.err) return answer;
    return checkAnswer(TASK_PAGE, answer.val.tasks, target.step, target.peer);
  }

  async explain(jobId: string, call: Call): Promise<Result<TaskExplanation, Failure>> {
    const target = { step: 'tasks.explain', peer: this.peer.id };
    const method = this.peer.client.explainTask.bind(this.peer.client);
    const answer = await callUnary(method, { jobId }, target, call, this.clock);
    if (answer.err) return answer;
    return checkAnswer(TASK_EXPLANATION, answer.val, target.step, target.peer);
  }

  async follow(
    jobId: string,
    onView: (view: TaskView) => void,
    call: Call,
  ): Promise<Result<void, Failure>> {
    const step = 'tasks.follow';
    const stream = this.peer.client.followTask({ jobId });
    const cancel = (): void => stream.cancel();
    if (call.signal.aborted) cancel();
    call.signal.addEventListener('abort', cancel);
    stream.on('data', ({ task }: { readonly task: unknown }) => {
      const view = checkAnswer(TASK_VIEW, task, step, this.peer.id);
      if (view.ok) onView(view.val);
    });
    const result = await new Promise<Result<void, Failure>>((resolve) => {
      stream.on('end', () => resolve(Ok(undefined)));
      stream.on('error', (error) => {
        const failure = fromServiceError(
          error as Parameters<typeof fromServiceError>[0],
          step,
          this.peer.id,
        );
        resolve(call.signal.aborted ? Ok(undefined) : Err(failure));
      });
    });
    call.signal.removeEventListener('abort', cancel);
    return result;
  }
}
