/**
 * Impossible jobs, and cancellations in bursts.
 *
 * @packageDocumentation
 */

import type { AdmissionQueue, AdmissionRequest } from 'samphirenotch/decisions/admission.js';
import { CapacityFeasibilityCheck } from 'samphirenotch/decisions/capacityFeasibilityCheck.js';
import { DeadlineQueue } from 'samphirenotch/decisions/deadlineQueue.js';
import { FifoQueue } from 'samphirenotch/decisions/fifoQueue.js';
import type { FeasibilityCheck } from 'samphirenotch/decisions/feasibilityCheck.js';
import { AttemptsFeasibilityCheck } from 'samphirenotch/decisions/attemptsFeasibilityCheck.js';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import type { Size } from 'samphirenotch/infrastructure/worker.js';

import { type Comparison, compare, type Figures, SEEDS } from '../support/comparison.js';
import { FIRMS, type Firm } from '../support/firms.js';

const JOBS = 2_000;
const IMPOSSIBLE_SHARE = 0.05;
const MAXIMUM_ATTEMPTS = 3;
const CANCELLED = 5_000;
const KEPT = 500;
const DEADLINE_MS = 600_000;

const drawSize = (firm: Firm, random: SeededRandom): Size => {
  const isImpossible = random.fraction() < IMPOSSIBLE_SHARE;
  const share = isImpossible ? 1 + random.fraction() : random.fraction();
  const takesMemory = random.fraction() < 0.5;

  return {
    milliCores: firm.capacity.milliCores * (takesMemory ? 0.5 : share),
    memoryMb: firm.capacity.memoryMb * (takesMemory ? share : 0.5),
    accelerators: 0,
  };
};

const runImpossible = (firm: Firm, seed: number, policy: FeasibilityCheck): Figures => {
  const random = new SeededRandom(seed);
  const offers = firm.dataCentres.map((dataCentre) => ({ dataCentre, capacity: firm.capacity }));
  let impossible = 0;
  let named = 0;
  let wronged = 0;

  for (let job = 0; job < JOBS; job += 1) {
    const size = drawSize(firm, random);
    const { capacity } = firm;
    const isImpossible = size.milliCores > capacity.milliCores || size.memoryMb > capacity.memoryMb;
    const verdict = policy.findInfeasibility(size, offers, 0, MAXIMUM_ATTEMPTS);
    if (isImpossible) impossible += 1;
    if (isImpossible && verdict) named += 1;
    if (!isImpossible && verdict) wronged += 1;
  }

  return { 'named at once': named / Math.max(1, impossible), 'wrongly named': wronged };
};

const wishOf = (requestId: string, tenant: string): AdmissionRequest => ({
  requestId,
  taskClass: 'quick',
  tenant,
  tenantWeight: 1,
  priority: 5,
  deadlineMs: DEADLINE_MS,
});

/** Requests of one tenant are cancelled while those of another wait among them. */
const runCancellations = (seed: number, queue: AdmissionQueue): Figures => {
  const random = new SeededRandom(seed);
  queue.setCapacity(64);
  let cancelled = 0;
  let kept = 0;
  while (cancelled < CANCELLED || kept < KEPT) {
    const isKept = kept < KEPT && (cancelled >= CANCELLED || random.below(11) === 0);
    if (isKept) kept += 1;
    else cancelled += 1;
    const requestId = isKept ? `kept-${kept}` : `cancelled-${cancelled}`;
    queue.offer(wishOf(requestId, isKept ? 'calm' : 'bursting'), 0);
  }
  for (let index = 1; index <= CANCELLED; index += 1) queue.withdraw(`cancelled-${index}`);

  const leftBehind = queue.size() - KEPT;
  const served = Array.from({ length: KEPT }, () => queue.next(1)?.requestId);
  const disturbed = served.filter((requestId) => !requestId?.startsWith('kept-')).length;

  return { 'left behind': leftBehind, 'others disturbed': disturbed };
};

/**
 * Runs the benchmark.
 *
 * @returns the comparisons
 */
export const compareFaults = (): Comparison[] =>
  FIRMS.flatMap((firm) => [
    ...compare({
      decision: 'impossible jobs',
      firm: firm.name,
      scenario: '5 % fit no worker',
      seeds: SEEDS,
      metrics: [
        { name: 'named at once', unit: 'share', better: 'higher', limit: 1 },
        { name: 'wrongly named', unit: 'jobs', better: 'lower', limit: 0 },
      ],
      runPolicy: (seed) => runImpossible(firm, seed, new CapacityFeasibilityCheck()),
      baselines: [
        { name: 'plain', run: (seed) => runImpossible(firm, seed, new AttemptsFeasibilityCheck()) },
      ],
    }),
    ...compare({
      decision: 'cancellations',
      firm: firm.name,
      scenario: '5000 at once',
      seeds: SEEDS,
      metrics: [
        { name: 'left behind', unit: 'requests', better: 'lower', limit: 0 },
        { name: 'others disturbed', unit: 'requests', better: 'lower', limit: 0 },
      ],
      runPolicy: (seed) => runCancellations(seed, new DeadlineQueue()),
      baselines: [
        { name: 'fifo', run: (seed) => runCancellations(seed, new FifoQueue(CANCELLED + KEPT)) },
      ],
    }),
  ]);
