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
import { medianRate, speedOf, type RunSpeed } from './runSpeed.js';
import type { WorkerAgent } from './workerAgent.js';
import type { WorkerFleet } from './workerFleet.js';

/** Time between two judgements, in milliseconds: reports come by half seconds at best. */
const CHECK_INTERVAL_MS = 250;

/** How many times slower than its siblings a run is that tells of a slow worker; tasks of a step differ by less. */
const SLOW_FACTOR = 2.5;

/** The same for a worker with a single run to judge. */
const SINGLE_RUN_SLOW_FACTOR = 4;

/** Share of a worker's judged runs that must lag. */
const MIN_SLOW_FRACTION = 0.7;

/** How long a slow worker gets nothing new, in milliseconds; doubles with each relapse. */
const AVOID_MS = 2_000;

/** Longest time for which it gets nothing new, in milliseconds. */
const MAX_AVOID_MS = 8_000;

/** Time after which a worker counts as sound again, in milliseconds. */
const FORGET_AFTER_MS = 10_000;

/** Share of a service's workers that are avoided at most: all cannot be slower than all. */
const MAX_AVOIDED_FRACTION = 0.25;

/** Gain that a move must promise, in milliseconds: stop, restart and the way. */
const MIN_MOVE_GAIN_MS = 700;

interface Avoidance {
  readonly sinceMs: number;
  readonly avoidMs: number;
}

/** Looks for slow workers. */
export class SlowWorkerDetector {
  private readonly log = partLog('speed');

  private readonly slowWorkers = new Map<WorkerAgent, Avoidance>();

  private stragglerTasks: readonly OwnedTask[] = [];

  private lastCheckMs = Number.NEGATIVE_INFINITY;

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
    if (nowMs < this.lastCheckMs + CHECK_INTERVAL_MS) return;
    this.lastCheckMs = nowMs;
    const agents = this.fleet.all();
    const medianRates = new Map<OwnedStep, number | undefined>();
    const copyCandidates: OwnedTask[] = [];
    this.slowWorkers.forEach(({ sinceMs }, agent) => {
      if (nowMs - sinceMs > FORGET_AFTER_MS) this.slowWorkers.delete(agent);
    });
    agents.forEach((agent) => {
      if (!agent.isResponsive || agent.description.phase !== 'ready') return;
      const speeds = agent.activeRuns().flatMap((run) => {
        const { step } = run.task;
        if (!medianRates.has(step)) medianRates.set(step, medianRate(step));
        return speedOf(run, medianRates.get(step)) ?? [];
      });
      copyCandidates.push(
        ...speeds.filter(SlowWorkerDetector.needsCopy).map(({ run }) => run.task),
      );
      if (!SlowWorkerDetector.isSlow(speeds) || !this.avoid(agent, agents, nowMs)) return;
      speeds.forEach((speed) => SlowWorkerDetector.moveIfFaster(speed));
    });
    this.stragglerTasks = copyCandidates;
  }

  /**
   * Lists tasks whose only run lags far behind and that may have a copy.
   *
   * @returns the tasks, as of the last judgement
   */
  stragglers(): readonly OwnedTask[] {
    return this.stragglerTasks.filter(({ done, runs }) => !done && runs.length === 1);
  }

  private static isSlow(speeds: readonly RunSpeed[]): boolean {
    const [first, ...others] = speeds;
    if (!first) return false;
    if (others.length === 0) return first.slowdown >= SINGLE_RUN_SLOW_FACTOR;
    const slowRuns = speeds.filter(({ slowdown }) => slowdown >= SLOW_FACTOR);
    return slowRuns.length >= 2 && slowRuns.length >= MIN_SLOW_FRACTION * speeds.length;
  }

  /** Returns false if too many workers are avoided already. */
  private avoid(agent: WorkerAgent, agents: readonly WorkerAgent[], nowMs: number): boolean {
    const { service } = agent.description;
    const peers = agents.filter(({ description }) => description.service === service);
    const known = this.slowWorkers.get(agent);
    const others = peers.filter((peer) => peer !== agent && this.slowWorkers.has(peer));
    if (!known && others.length + 1 > MAX_AVOIDED_FRACTION * peers.length) return false;
    if (known && nowMs < known.sinceMs + known.avoidMs) return true;
    const avoidMs = known ? Math.min(MAX_AVOID_MS, 2 * known.avoidMs) : AVOID_MS;
    this.slowWorkers.set(agent, { sinceMs: nowMs, avoidMs });
    const avoided = agent;
    avoided.avoidUntilMs = Math.max(agent.avoidUntilMs, nowMs + avoidMs);
    this.log.warn('A worker is slow and avoided', {
      worker: agent.id,
      avoidMs,
      runs: agent.runCount,
    });
    return true;
  }

  private static needsCopy({ run, slowdown, remainingMs, rerunMs }: RunSpeed): boolean {
    const { speculative, gang, longRunning } = run.task.step.spec;
    if (!speculative || gang || longRunning || slowdown < SLOW_FACTOR) return false;
    return remainingMs > rerunMs + MIN_MOVE_GAIN_MS;
  }

  private static moveIfFaster({ run, slowdown, remainingMs, rerunMs }: RunSpeed): void {
    const { spec } = run.task.step;
    if (slowdown < SLOW_FACTOR || spec.gang || spec.speculative || spec.longRunning) return;
    if (isCheapToRestart(run) && remainingMs > rerunMs + MIN_MOVE_GAIN_MS) {
      run.agent.stop(run, 'its worker is slow');
    }
  }
}
