/**
 * One worker on which batch attempts slow requests, and a policy that relieves it.
 *
 * @packageDocumentation
 */

import type {
  PressureAction,
  PressureAttempt,
  PressurePolicy,
} from 'samphirenotch/decisions/pressurePolicy.js';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

import type { Firm } from './firms.js';

/** What happens during a run. */
export interface PressureScenario {
  readonly name: string;
  /** Latency of requests alone, relative to their target. */
  readonly latencyAlone: (nowMs: number) => number;
  /** Half width of the noise of a reading. */
  readonly noise: number;
}

/** One run. */
export interface PressureRun {
  readonly firm: Firm;
  readonly scenario: PressureScenario;
  readonly seed: number;
  readonly policy: PressurePolicy;
}

const RUN_MS = 1_200_000;
const STEP_MS = 1_000;
const CHECKPOINT_MS = 120_000;
const RESTART_MS = 20_000;
const HIGH_RATIO = 1.2;
const MILLICORES_PER_CORE = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Effects on requests of the attempts that want to run here. */
const EFFECTS = [1.25, 1.02, 1.15, 1, 1.05, 1];

interface FakeAttempt extends PressureAttempt {
  readonly effect: number;
  readonly startedAgainAtMs: number;
}

/** A run of one worker. */
class PressureFake {
  private readonly random: SeededRandom;

  private attempts: FakeAttempt[];

  private nowMs = 0;

  private evictions = 0;

  private actions = 0;

  private lostCoreSeconds = 0;

  private doneCoreSeconds = 0;

  private pressedSteps = 0;

  constructor(private readonly run: PressureRun) {
    this.random = new SeededRandom(run.seed);
    this.attempts = EFFECTS.map((effect, index) => this.newAttempt(effect, index));
  }

  measure(): Record<string, number> {
    for (; this.nowMs < RUN_MS; this.nowMs += STEP_MS) this.step();
    return {
      evictions: this.evictions,
      actions: this.actions,
      'work lost': this.lostCoreSeconds,
      'work kept': this.doneCoreSeconds - this.lostCoreSeconds,
      'time pressed': (this.pressedSteps * STEP_MS) / MILLISECONDS_PER_SECOND,
    };
  }

  private newAttempt(effect: number, index: number): FakeAttempt {
    const startedAtMs = index * 15_000 - 100_000;
    const load = index % 2 === 0 ? this.run.firm.heavy : this.run.firm.urgent;
    return {
      attemptId: `attempt-${index}`,
      taskClass: load.taskClass,
      priority: load.priority,
      startedAtMs,
      checkpointedAtMs: startedAtMs,
      milliCores: load.declared.milliCores * load.usedShare,
      memoryMb: load.declared.memoryMb * load.usedShare,
      throttledTo: 1,
      predictedSlowdown: effect,
      effect,
      startedAgainAtMs: startedAtMs,
    };
  }

  private step(): void {
    const running = this.attempts.filter((each) => each.startedAgainAtMs <= this.nowMs);
    const latency = this.latency(running);
    if (latency > HIGH_RATIO) this.pressedSteps += 1;
    for (const each of running) {
      this.doneCoreSeconds += (each.milliCores / MILLICORES_PER_CORE) * each.throttledTo;
    }
    this.checkpoint();
    const noise = 1 + this.run.scenario.noise * (2 * this.random.fraction() - 1);
    const actions = this.run.policy.decide({
      workerId: 'worker-0',
      nowMs: this.nowMs,
      latencyRatio: latency * noise,
      memoryRatio: 0.7,
      attempts: running,
    });
    for (const action of actions) this.apply(action);
  }

  private latency(running: readonly FakeAttempt[]): number {
    const alone = this.run.scenario.latencyAlone(this.nowMs);
    return running.reduce(
      (product, { effect, throttledTo }) => product * (1 + (effect - 1) * throttledTo),
      alone,
    );
  }

  private checkpoint(): void {
    this.attempts = this.attempts.map((each) =>
      this.nowMs - each.checkpointedAtMs >= CHECKPOINT_MS
        ? { ...each, checkpointedAtMs: this.nowMs }
        : each,
    );
  }

  private apply(action: PressureAction): void {
    this.actions += 1;
    this.attempts = this.attempts.map((each) => {
      if (each.attemptId !== action.attemptId) return each;
      return action.kind === 'throttle' ? { ...each, throttledTo: action.share } : this.evict(each);
    });
  }

  /** An evicted attempt takes no checkpoint here and comes back after a while. */
  private evict(attempt: FakeAttempt): FakeAttempt {
    const lostMs = this.nowMs - attempt.checkpointedAtMs;
    const lostSeconds = lostMs / MILLISECONDS_PER_SECOND;
    this.evictions += 1;
    this.lostCoreSeconds += lostSeconds * (attempt.milliCores / MILLICORES_PER_CORE);
    const startedAgainAtMs = this.nowMs + RESTART_MS;
    return {
      ...attempt,
      startedAtMs: startedAgainAtMs,
      checkpointedAtMs: startedAgainAtMs,
      startedAgainAtMs,
      throttledTo: 1,
    };
  }
}

/**
 * Runs one worker under pressure.
 *
 * @param run - firm, scenario, seed and policy
 * @returns evictions, actions, work lost and kept in core seconds, and time under pressure
 */
export const runPressure = (run: PressureRun): Record<string, number> =>
  new PressureFake(run).measure();
