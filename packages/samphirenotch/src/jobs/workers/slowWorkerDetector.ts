/**
 * Detects workers that have become several times slower although they report good health.
 *
 * A worker is slow if its runs progress far slower than other runs of the same steps. It gets no
 * new tasks for a while. A run that would take longer there than a restart elsewhere is stopped, so
 * that its task starts on another worker; if its step allows copies, a copy is started instead.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import { isCheapToRestart, type OwnedStep, type OwnedTask } from '../model/ownedJob.js';
import { medianRate, speedOf, type RunSpeed } from './runSpeed.js';
import type { WorkerAgent } from './workerAgent.js';
import type { WorkerFleet } from './workerFleet.js';

/** Time between two checks, in milliseconds; workers report every half second at best. */
const CHECK_INTERVAL_MS = 250;

/**
 * Slowdown, relative to the median of its step, from which a run is slow; tasks of a step differ by
 * less.
 */
const SLOW_FACTOR = 2.5;

/** The same for a worker on which the speed of only one run is known. */
const SINGLE_RUN_SLOW_FACTOR = 4;

/** Fraction of the runs with a known speed that must be slow for a worker to count as slow. */
const MIN_SLOW_FRACTION = 0.7;

/**
 * How long a slow worker gets no new tasks, in milliseconds; doubles each time it is slow again.
 */
const AVOID_MS = 2_000;

/** Longest time for which a slow worker gets no new tasks, in milliseconds. */
const MAX_AVOID_MS = 8_000;

/** Time after which a worker no longer counts as slow, in milliseconds. */
const FORGET_AFTER_MS = 10_000;

/**
 * Largest fraction of a service's workers that is avoided: most workers cannot be slower than the
 * median.
 */
const MAX_AVOIDED_FRACTION = 0.25;

/**
 * Least time that a move must save, in milliseconds: covers the stop, the restart and the round
 * trips.
 */
const MIN_MOVE_GAIN_MS = 700;

/** Time for which a slow worker gets no new tasks. */
interface Avoidance {
  /** Monotonic time at which it was found slow, in milliseconds. */
  readonly sinceMs: number;
  /** Duration in milliseconds. */
  readonly avoidMs: number;
}

/** Detects slow workers, avoids them and moves their runs. */
export class SlowWorkerDetector {
  private readonly log = partLog('speed');

  private readonly slowWorkers = new Map<WorkerAgent, Avoidance>();

  private stragglerTasks: readonly OwnedTask[] = [];

  private lastCheckMs = Number.NEGATIVE_INFINITY;

  /**
   * @param fleet - the workers to check
   * @param clock - clock of this process
   */
  constructor(
    private readonly fleet: WorkerFleet,
    private readonly clock: Clock,
  ) {}

  /** Checks every worker and moves runs off the slow ones. */
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
   * Lists tasks that allow copies and whose only run is so slow that a copy would end earlier.
   *
   * @returns the tasks, as of the last check
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
    this.log.warn('A worker is slow and is avoided', {
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
