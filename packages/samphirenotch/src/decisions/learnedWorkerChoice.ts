/**
 * Chooses a worker by outstanding work, recent latency and interference, and keeps workers out that
 * fail whatever they start.
 */
import { DecayingMean } from './decayingMean.js';
import { SeededRandom } from './seededRandom.js';
import { SlowdownSampler } from './slowdownSampler.js';
import { WorkerHealth } from './workerHealth.js';

import type { InterferenceModel } from './interferenceModel.js';
import type { SlowdownSamplerSettings } from './slowdownSampler.js';
import type { WorkerCandidate, WorkerChoice, WorkerObservation } from './workerChoice.js';
import type { WorkerHealthSettings } from './workerHealth.js';

/** Settings of the choice. */
export interface LearnedWorkerChoiceSettings extends WorkerHealthSettings, SlowdownSamplerSettings {
  /** Candidates that are compared for one request. */
  readonly maximumCandidates: number;
  /** Weight of a full worker relative to an idle one; 0 ignores outstanding work. */
  readonly outstandingWeight: number;
  /** Time after which an observed latency counts half, in milliseconds. */
  readonly latencyHalfLifeMs: number;
  /** Observations that the assumption of ordinary latency is worth. */
  readonly latencyPriorWeight: number;
  /** Share of requests that try a worker on probation, if there is one. */
  readonly trialShare: number;
}

/** Settings that the entry uses unless told otherwise. */
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

interface LatencyRecord {
  /** Latency relative to that of the class, less what its neighbours explain. */
  readonly relativeLatency: DecayingMean;
  readonly samplers: Map<string, SlowdownSampler>;
  neighbours: readonly string[];
  predictedSlowdown: number;
}

/** Chooses the worker that is likely to answer first. */
export class LearnedWorkerChoice implements WorkerChoice {
  private readonly settings: LearnedWorkerChoiceSettings;

  private readonly interference: InterferenceModel;

  private readonly random: SeededRandom;

  private readonly health: WorkerHealth;

  private readonly latencies = new Map<string, LatencyRecord>();

  private readonly classLatencies = new Map<string, DecayingMean>();

  /**
   * @param seed - seed of the random numbers
   * @param interference - model of what runs beside the request
   * @param settings - weights, decay and ejection
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
   * @param nowMs - time, in milliseconds
   * @returns the best of those that may be used, or nothing
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
   * Learns how a request went.
   *
   * @param observation - worker, class, outcome and latency
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
   * Forgets a worker that left.
   *
   * @param workerId - the worker
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

  /** What requests show of their neighbours goes to the model that placement uses too. */
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
