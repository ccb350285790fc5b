/**
 * Chooses a worker by outstanding requests, recent latency and interference, and ejects workers
 * whose requests keep failing.
 */
import { DecayingMean } from './decayingMean.js';
import { SeededRandom } from './seededRandom.js';
import { SlowdownSampler } from './slowdownSampler.js';
import { WorkerHealth } from './workerHealth.js';

import type { InterferenceModel } from './interferenceModel.js';
import type { SlowdownSamplerSettings } from './slowdownSampler.js';
import type { WorkerCandidate, WorkerChoice, WorkerObservation } from './workerChoice.js';
import type { WorkerHealthSettings } from './workerHealth.js';

/** Settings of the choice of a worker. */
export interface LearnedWorkerChoiceSettings extends WorkerHealthSettings, SlowdownSamplerSettings {
  /** Maximum number of candidates that are compared for one request. */
  readonly maximumCandidates: number;
  /** Extra cost of a worker with all slots busy, relative to an idle one; 0 ignores busy slots. */
  readonly outstandingWeight: number;
  /** Time after which the weight of an observed latency is halved, in milliseconds. */
  readonly latencyHalfLifeMs: number;
  /** Weight of the prior assumption that a worker has the usual latency, in observations. */
  readonly latencyPriorWeight: number;
  /** Share of requests that are sent to a worker on probation as a trial, if there is one. */
  readonly trialShare: number;
}

/** Default settings, which an entry uses. */
export const LEARNED_WORKER_CHOICE_DEFAULTS: LearnedWorkerChoiceSettings = {
  failuresToEject: 5,
  unansweredToEject: 2,
  firstEjectionMs: 2_000,
  maximumEjectionMs: 60_000,
  maximumEjectedShare: 0.3,
  answersToRestore: 5,
  maximumCandidates: 64,
  outstandingWeight: 1,
  latencyHalfLifeMs: 3_000,
  latencyPriorWeight: 2,
  trialShare: 0.05,
  requestsPerMeasurement: 16,
};

/** Latency of one worker. */
interface LatencyRecord {
  /** Latency divided by the mean of the class, after the predicted interference is divided out. */
  readonly relativeLatency: DecayingMean;
  /** Measurements of slowdown in progress, by class of request. */
  readonly samplers: Map<string, SlowdownSampler>;
  /** Classes of the tasks on the worker when it was last considered. */
  neighbours: readonly string[];
  /** Slowdown that these neighbours are predicted to cause; 1 is none. */
  predictedSlowdown: number;
}

/** Chooses the worker with the lowest expected latency. */
export class LearnedWorkerChoice implements WorkerChoice {
  private readonly settings: LearnedWorkerChoiceSettings;

  private readonly interference: InterferenceModel;

  private readonly random: SeededRandom;

  private readonly health: WorkerHealth;

  private readonly latencies = new Map<string, LatencyRecord>();

  private readonly classLatencies = new Map<string, DecayingMean>();

  /**
   * @param seed - seed of the random numbers
   * @param interference - model of how tasks on the same worker slow requests
   * @param settings - weights, decay times and ejection
   */
  constructor(
    seed: number,
    interference: InterferenceModel,
    settings: LearnedWorkerChoiceSettings = LEARNED_WORKER_CHOICE_DEFAULTS,
  ) {
    this.settings = settings;
    this.interference = interference;
    this.random = new SeededRandom(seed);
    this.health = new WorkerHealth(settings);
  }

  /**
   * Chooses among candidates.
   *
   * @param taskClass - class of the request
   * @param candidates - workers with a free slot
   * @param nowMs - current time, in milliseconds
   * @returns the best candidate that is not ejected, or `undefined` if none may be used
   */
  choose(
    taskClass: string,
    candidates: readonly WorkerCandidate[],
    nowMs: number,
  ): WorkerCandidate | undefined {
    const sampled = this.sample(candidates);
    const trusted: WorkerCandidate[] = [];
    const idleOnProbation: WorkerCandidate[] = [];
    for (const candidate of sampled) {
      this.health.registerWorker(taskClass, candidate.workerId);
      const ejectionState = this.health.ejectionState(candidate.workerId, nowMs);
      if (ejectionState === 'trusted') trusted.push(candidate);
      if (ejectionState === 'probation' && candidate.busySlots === 0)
        idleOnProbation.push(candidate);
    }
    const trial = this.chooseTrial(idleOnProbation, trusted.length === 0);
    return trial ?? this.chooseBest(taskClass, trusted, nowMs);
  }

  /**
   * Records the outcome of a request.
   *
   * @param observation - worker, class, outcome and latency of the request
   */
  observe(observation: WorkerObservation): void {
    const { workerId, taskClass, kind, nowMs } = observation;
    if (kind !== 'answered') {
      this.health.recordFailure(taskClass, workerId, kind === 'silent', nowMs);
      return;
    }
    this.health.recordAnswer(workerId);
    this.observeLatency(observation);
  }

  /**
   * Removes the state of a worker that has left.
   *
   * @param workerId - identifier of the worker
   */
  forget(workerId: string): void {
    this.health.forget(workerId);
    this.latencies.delete(workerId);
  }

  private sample(candidates: readonly WorkerCandidate[]): readonly WorkerCandidate[] {
    const { maximumCandidates } = this.settings;
    if (candidates.length <= maximumCandidates) return candidates;
    const first = this.random.below(candidates.length);
    const stride = Math.floor(candidates.length / maximumCandidates);
    const sampled: WorkerCandidate[] = [];
    for (let index = 0; index < maximumCandidates; index += 1) {
      const candidate = candidates[(first + index * stride) % candidates.length];
      if (candidate) sampled.push(candidate);
    }
    return sampled;
  }

  private chooseTrial(
    idleOnProbation: readonly WorkerCandidate[],
    isOnlyOption: boolean,
  ): WorkerCandidate | undefined {
    if (idleOnProbation.length === 0) return undefined;
    if (!isOnlyOption && this.random.fraction() >= this.settings.trialShare) return undefined;
    return idleOnProbation[this.random.below(idleOnProbation.length)];
  }

  private chooseBest(
    taskClass: string,
    trusted: readonly WorkerCandidate[],
    nowMs: number,
  ): WorkerCandidate | undefined {
    let best: WorkerCandidate | undefined;
    let lowestCost = Infinity;
    const start = trusted.length === 0 ? 0 : this.random.below(trusted.length);
    for (let index = 0; index < trusted.length; index += 1) {
      const candidate = trusted[(start + index) % trusted.length];
      const cost = candidate ? this.cost(taskClass, candidate, nowMs) : Infinity;
      if (cost >= lowestCost) continue;
      lowestCost = cost;
      best = candidate;
    }
    return best;
  }

  private cost(taskClass: string, candidate: WorkerCandidate, nowMs: number): number {
    const { outstandingWeight, latencyPriorWeight } = this.settings;
    const record = this.latencyRecordOf(candidate.workerId);
    record.neighbours = candidate.neighbours;
    record.predictedSlowdown = this.interference.predict(taskClass, candidate.neighbours, nowMs);
    const load = 1 + outstandingWeight * (candidate.busySlots / candidate.slots);
    const relativeLatency = record.relativeLatency.shrunkTo(1, latencyPriorWeight, nowMs);
    return load * relativeLatency * record.predictedSlowdown;
  }

  private observeLatency({ workerId, taskClass, latencyMs, nowMs }: WorkerObservation): void {
    const record = this.latencyRecordOf(workerId);
    const classLatency = this.classLatencyOf(taskClass);
    const withoutNeighboursMs = latencyMs / record.predictedSlowdown;
    const classMeanMs = classLatency.shrunkTo(withoutNeighboursMs, Number.EPSILON, nowMs);
    classLatency.observe(withoutNeighboursMs, nowMs);
    if (classMeanMs <= 0) return;
    record.relativeLatency.observe(withoutNeighboursMs / classMeanMs, nowMs);
    this.reportSlowdown(record, taskClass, latencyMs / classMeanMs, nowMs);
  }

  /**
   * Feeds measured slowdowns of requests into the interference model, which placement also uses.
   */
  private reportSlowdown(
    record: LatencyRecord,
    victimClass: string,
    ratio: number,
    nowMs: number,
  ): void {
    const { neighbours, samplers } = record;
    const sampler = samplers.get(victimClass) ?? new SlowdownSampler(this.settings);
    samplers.set(victimClass, sampler);
    const slowdown = sampler.add(ratio, neighbours);
    if (slowdown === undefined) return;
    this.interference.observe({ victimClass, neighbours, slowdown, nowMs });
  }

  private latencyRecordOf(workerId: string): LatencyRecord {
    const known = this.latencies.get(workerId);
    if (known) return known;
    const record: LatencyRecord = {
      relativeLatency: new DecayingMean(this.settings.latencyHalfLifeMs),
      samplers: new Map(),
      neighbours: [],
      predictedSlowdown: 1,
    };
    this.latencies.set(workerId, record);
    return record;
  }

  private classLatencyOf(taskClass: string): DecayingMean {
    const known = this.classLatencies.get(taskClass);
    if (known) return known;
    const mean = new DecayingMean(this.settings.latencyHalfLifeMs);
    this.classLatencies.set(taskClass, mean);
    return mean;
  }
}
