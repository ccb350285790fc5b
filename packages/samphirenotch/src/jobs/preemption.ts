/**
 * Makes room for urgent tasks by stopping less urgent ones.
 *
 * Answers the pattern of urgent work that meets workers full of work that can wait: runs with
 * checkpoints of queues that come later are stopped, as few as possible, and go on elsewhere or later
 * from where they were. Gangs and long-running tasks are left alone.
 */
import { partLog } from '../observability/log.js';
import { fitsIn, plusSize } from '../infrastructure/sizes.js';
import type { Size } from '../infrastructure/worker.js';
import type { Clock } from '../time/clock.js';

import type { OwnedRun, OwnedTask } from './ownedJob.js';
import { remainingRunMs } from './runWatch.js';
import type { WorkerAgent } from './workerAgent.js';

/** Time that a run must still take to be worth stopping, in milliseconds: a stop and a restart take about as long. */
const LEAST_REMAINING_MS = 1_000;

const priorityOf = ({ step }: OwnedTask): number => step.occurrence.job.queue.priority;

/** Stops runs for others. */
export class Preemption {
  private readonly log = partLog('preemption');

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Makes room for a task that fits nowhere.
   *
   * @param task - the task
   * @param size - room that it takes
   * @param workers - workers that may run it
   */
  makeRoom(task: OwnedTask, size: Size, workers: readonly WorkerAgent[]): void {
    if (workers.some((agent) => fitsIn(size, Preemption.roomToCome(agent)))) return;
    const priority = priorityOf(task);
    const fewest = workers
      .map((agent) => ({ agent, victims: this.victims(agent, size, priority) }))
      .filter(({ victims }) => victims.length > 0)
      .sort((left, right) => left.victims.length - right.victims.length)[0];
    if (!fewest) return;
    const { agent, victims } = fewest;
    this.log.info('Making room for a more urgent task', {
      taskId: task.id,
      worker: agent.id,
      stopped: victims.map((run) => run.task.id).join(' '),
    });
    victims.forEach((run) => agent.stop(run, 'a more urgent task needs its room'));
  }

  /** What is free, and what runs that are being stopped will leave. */
  private static roomToCome(agent: WorkerAgent): Size {
    return agent
      .activeRuns()
      .filter(({ phase }) => phase === 'stopping')
      .reduce((room, run) => plusSize(room, run.size), agent.free());
  }

  /** The runs to stop on a worker; none if that would not make enough room. */
  private victims(agent: WorkerAgent, size: Size, priority: number): readonly OwnedRun[] {
    const nowMs = this.clock.monotonicMs();
    const candidates = agent
      .activeRuns()
      .filter((run) => Preemption.canWait(run, priority, nowMs))
      .sort((left, right) => right.size.milliCores - left.size.milliCores);
    let room = Preemption.roomToCome(agent);
    const victims: OwnedRun[] = [];
    for (const run of candidates) {
      if (fitsIn(size, room)) break;
      victims.push(run);
      room = plusSize(room, run.size);
    }
    return fitsIn(size, room) ? victims : [];
  }

  private static canWait(run: OwnedRun, priority: number, nowMs: number): boolean {
    const { checkpointing, gang, longRunning } = run.task.step.spec;
    if (run.phase !== 'running' || !checkpointing || gang || longRunning) return false;
    return priorityOf(run.task) > priority && remainingRunMs(run, nowMs) >= LEAST_REMAINING_MS;
  }
}
