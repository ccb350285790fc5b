/**
 * Finds workers that have become slow and moves what they run.
 *
 * Answers the pattern of workers that turn several times slower while they report good health: a
 * worker whose runs lag far behind their siblings gets nothing new for a while, and what would take
 * longer there than from the start elsewhere moves; where copies are allowed, one is started instead.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import { isCheapToRestart, type OwnedStep, type OwnedTask } from '../model/ownedJob.js';
import { expectedRate, speedOf, type RunSpeed } from './runSpeed.js';
import type { WorkerAgent } from './workerAgent.js';
import type { WorkerFleet } from './workerFleet.js';

/** Time between two judgements, in milliseconds: reports come by half seconds at best. */
const CHECK_GAP_MS = 250;

/** How many times slower than its siblings a run is that tells of a slow worker; tasks of a step differ by less. */
const SLOW_RATIO = 2.5;

/** The same for a worker with a single run to judge. */
const ALONE_RATIO = 4;

/** Share of a worker's judged runs that must lag. */
const SLOW_SHARE = 0.7;

/** How long a slow worker gets nothing new, in milliseconds; doubles with each relapse. */
const AVOID_MS = 2_000;

/** Longest time for which it gets nothing new, in milliseconds. */
const LONGEST_AVOID_MS = 8_000;

/** Time after which a worker counts as sound again, in milliseconds. */
const FORGET_MS = 10_000;

/** Share of a service's workers that are avoided at most: all cannot be slower than all. */
const AVOIDED_SHARE = 0.25;

/** Gain that a move must promise, in milliseconds: stop, restart and the way. */
const MOVE_GAIN_MS = 700;

interface Slowness {
  readonly sinceMs: number;
  readonly avoidMs: number;
}

/** Looks for slow workers. */
export class SlowWorkers {
  private readonly log = partLog('speed');

  private readonly slow = new Map<WorkerAgent, Slowness>();

  private laggingTasks: readonly OwnedTask[] = [];

  private checkedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param fleet - the workers
   * @param clock - time
   */
  constructor(
    private readonly fleet: WorkerFleet,
    private readonly clock: Clock,
  ) {}

  /** Judges every worker and moves runs off the slow ones. */
  check(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.checkedMs + CHECK_GAP_MS) return;
    this.checkedMs = nowMs;
    const agents = this.fleet.all();
    const expected = new Map<OwnedStep, number | undefined>();
    const lagging: OwnedTask[] = [];
    this.slow.forEach(({ sinceMs }, agent) => {
      if (nowMs - sinceMs > FORGET_MS) this.slow.delete(agent);
    });
    agents.forEach((agent) => {
      if (!agent.answers || agent.description.phase !== 'ready') return;
      const speeds = agent.activeRuns().flatMap((run) => {
        const { step } = run.task;
        if (!expected.has(step)) expected.set(step, expectedRate(step));
        return speedOf(run, expected.get(step)) ?? [];
      });
      lagging.push(...speeds.filter(SlowWorkers.isCopied).map(({ run }) => run.task));
      if (!SlowWorkers.isSlow(speeds) || !this.avoid(agent, agents, nowMs)) return;
      speeds.forEach((speed) => SlowWorkers.move(speed));
    });
    this.laggingTasks = lagging;
  }

  /**
   * Lists tasks whose only run lags far behind and that may have a copy.
   *
   * @returns the tasks, as of the last judgement
   */
  lagging(): readonly OwnedTask[] {
    return this.laggingTasks.filter(({ done, runs }) => !done && runs.length === 1);
  }

  private static isSlow(speeds: readonly RunSpeed[]): boolean {
    const [first, ...others] = speeds;
    if (!first) return false;
    if (others.length === 0) return first.slowdown >= ALONE_RATIO;
    const lagging = speeds.filter(({ slowdown }) => slowdown >= SLOW_RATIO);
    return lagging.length >= 2 && lagging.length >= SLOW_SHARE * speeds.length;
  }

  /** Returns false if too many workers are avoided already. */
  private avoid(agent: WorkerAgent, agents: readonly WorkerAgent[], nowMs: number): boolean {
    const { service } = agent.description;
    const peers = agents.filter(({ description }) => description.service === service);
    const known = this.slow.get(agent);
    const others = peers.filter((peer) => peer !== agent && this.slow.has(peer));
    if (!known && others.length + 1 > AVOIDED_SHARE * peers.length) return false;
    if (known && nowMs < known.sinceMs + known.avoidMs) return true;
    const avoidMs = known ? Math.min(LONGEST_AVOID_MS, 2 * known.avoidMs) : AVOID_MS;
    this.slow.set(agent, { sinceMs: nowMs, avoidMs });
    const avoided = agent;
    avoided.avoidUntilMs = Math.max(agent.avoidUntilMs, nowMs + avoidMs);
    this.log.warn('A worker is slow and avoided', {
      worker: agent.id,
      avoidMs,
      runs: agent.runCount,
    });
    return true;
  }

  private static isCopied({ run, slowdown, remainingMs, freshMs }: RunSpeed): boolean {
    const { speculative, gang, longRunning } = run.task.step.spec;
    if (!speculative || gang || longRunning || slowdown < SLOW_RATIO) return false;
    return remainingMs > freshMs + MOVE_GAIN_MS;
  }

  private static move({ run, slowdown, remainingMs, freshMs }: RunSpeed): void {
    const { spec } = run.task.step;
    if (slowdown < SLOW_RATIO || spec.gang || spec.speculative || spec.longRunning) return;
    if (isCheapToRestart(run) && remainingMs > freshMs + MOVE_GAIN_MS) {
      run.agent.stop(run, 'its worker is slow');
    }
  }
}
