/**
 * Commands on the jobs of a partition that a peer owns.
 */
import type { Failure } from '../failure.js';
import { callUnary } from '../grpc/unaryCall.js';
import { TASK_VIEW } from '../protocol/tasksMessages.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { checkAnswer } from './taskMessage.js';
import type { TaskCommands, TaskSubmission } from './taskOperations.js';
import type { TaskPeer } from './taskPeers.js';
import type { TaskView } from './taskView.js';

/** Sends commands on jobs to one peer. */
export class RemoteTaskCommands implements TaskCommands {
  /**
   * @param peer - the owner
   * @param clock - converts deadlines
   */
  constructor(
    private readonly peer: TaskPeer,
    private readonly clock: Clock,
  ) {}

  async submit(submission: TaskSubmission, call: Call): Promise<Result<TaskView, Failure>> {
    const target = { step: 'tasks.submit', peer: this.peer.id };
    const method = this.peer.client.submitTask.bind(this.peer.client);
    const answer = await callUnary(method, { ...submission }, target, call, this.clock);
    if (answer.err) return answer;
    return checkAnswer(TASK_VIEW, answer.val.task, target.step, target.peer);
  }

  async cancel(jobId: string, call: Call): Promise<Result<TaskView, Failure>> {
    const target = { step: 'tasks.cancel', peer: this.peer.id };
    const method = this.peer.client.cancelTask.bind(this.peer.client);
    const answer = await callUnary(method, { jobId }, target, call, this.clock);
    if (answer.err) return answer;
    return checkAnswer(TASK_VIEW, answer.val.task, target.step, target.peer);
  }
}
