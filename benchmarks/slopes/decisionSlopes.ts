/**
 * Costs of single decisions, and of what they remember.
 *
 * @packageDocumentation
 */

import { DeadlineQueue } from 'samphirenotch/decisions/deadlineQueue.js';
import { LearnedInterference } from 'samphirenotch/decisions/learnedInterference.js';
import { LearnedPlacement } from 'samphirenotch/decisions/learnedPlacement.js';
import { LearnedWorkerChoice } from 'samphirenotch/decisions/learnedWorkerChoice.js';
import type { PlacementCandidate, QueuedTask } from 'samphirenotch/decisions/placementPolicy.js';
import { UrgencyOrder } from 'samphirenotch/decisions/urgencyOrder.js';
import type { WorkerCandidate } from 'samphirenotch/decisions/workerChoice.js';

import { keptBytes, measureSlope, microseconds, type Slope } from './measure.js';

const CAPACITY = { milliCores: 32_000, memoryMb: 128_000, accelerators: 2 };
const SIZE = { milliCores: 2_000, memoryMb: 8_192, accelerators: 0 };
const NEIGHBOURS = ['season-plan', 'rota-check', 'background'];
const REPEATS = 200;

const newInterference = (): LearnedInterference => {
  const model = new LearnedInterference();
  for (let count = 0; count < 50; count += 1) {
    model.observe({ victimClass: 'quick', neighbours: NEIGHBOURS, slowdown: 1.4, nowMs: count });
  }
  return model;
};

const placementCandidates = (count: number): PlacementCandidate[] =>
  Array.from({ length: count }, (_, index) => ({
    workerId: `worker-${index}`,
    rack: `rack-${Math.floor(index / 20)}`,
    capacity: CAPACITY,
    free: { ...CAPACITY, milliCores: 8_000 + (index % 13) * 1_000 },
    neighbours: NEIGHBOURS,
    busySlots: index % 8,
  }));

const placementTime = (workers: number): number => {
  const placement = new LearnedPlacement(newInterference(), {
    importance: () => 0,
    nowMs: () => 0,
    requestClasses: () => ['quick'],
  });
  const candidates = placementCandidates(workers);
  const classTasksPerRack = new Map(candidates.map(({ rack }) => [rack, 3]));
  const task = { taskClass: 'rota-check', size: SIZE, classTasksPerRack };

  return microseconds(() => placement.choose(task, candidates), REPEATS);
};

const workerCandidates = (count: number): WorkerCandidate[] =>
  Array.from({ length: count }, (_, index) => ({
    workerId: `worker-${index}`,
    busySlots: index % 8,
    slots: 8,
    neighbours: NEIGHBOURS,
  }));

const choiceTime = (workers: number): number => {
  const choice = new LearnedWorkerChoice(1, newInterference());
  const candidates = workerCandidates(workers);

  return microseconds(() => choice.choose('quick', candidates, 0), REPEATS);
};

const choiceMemory = (workers: number): number =>
  keptBytes(() => {
    const choice = new LearnedWorkerChoice(1, newInterference());
    for (const candidate of workerCandidates(workers)) {
      choice.choose('quick', [candidate], 0);
      const { workerId } = candidate;
      choice.observe({ workerId, taskClass: 'quick', kind: 'answered', latencyMs: 20, nowMs: 1 });
      choice.observe({ workerId, taskClass: 'quick', kind: 'failed', latencyMs: 20, nowMs: 1 });
    }

    return choice;
  });

const queuedTasks = (count: number): QueuedTask[] =>
  Array.from({ length: count }, (_, index) => ({
    jobId: `job-${index}`,
    taskClass: 'season-plan',
    tenant: `tenant-${index % 700}`,
    tenantWeight: 1 + (index % 3),
    priority: index % 5,
    enqueuedAtMs: (index * 7_919) % 600_000,
    size: SIZE,
  }));

const orderTime = (tasks: number): number => {
  const order = new UrgencyOrder();
  const queued = queuedTasks(tasks);

  return microseconds(() => order.order(queued, 700_000), 5);
};

const fill = (queue: DeadlineQueue, count: number): void => {
  for (let index = 0; index < count; index += 1) {
    queue.offer(
      {
        requestId: `request-${index}`,
        taskClass: 'quick',
        tenant: `tenant-${index % 50}`,
        tenantWeight: 1,
        priority: index % 3,
        deadlineMs: 1_000_000 + index,
      },
      0,
    );
  }
};

const newQueue = (waiting: number): DeadlineQueue => {
  const queue = new DeadlineQueue();
  queue.setCapacity(64);
  fill(queue, waiting);

  return queue;
};

const queueTime = (waiting: number): number => {
  const queue = newQueue(waiting);
  let sequence = 0;

  return microseconds(() => {
    sequence += 1;
    queue.offer(
      {
        requestId: `further-${sequence}`,
        taskClass: 'quick',
        tenant: `tenant-${sequence % 50}`,
        tenantWeight: 1,
        priority: 1,
        deadlineMs: 1_000_000 + sequence,
      },
      0,
    );
    queue.next(0);
  }, REPEATS);
};

/**
 * Measures the decisions.
 *
 * @returns their slopes
 */
export const measureDecisions = (): Slope[] => [
  measureSlope(
    'placement decision',
    { sizeOf: 'workers with room', unit: 'us' },
    [25, 100, 400, 1_600],
    placementTime,
  ),
  measureSlope(
    'choice of a worker',
    { sizeOf: 'workers with a free slot', unit: 'us' },
    [8, 16, 32, 64],
    choiceTime,
  ),
  measureSlope(
    'memory of the choice',
    { sizeOf: 'workers', unit: 'bytes' },
    [200, 800, 3_200, 12_800],
    choiceMemory,
  ),
  measureSlope(
    'order of the queue',
    { sizeOf: 'queued tasks', unit: 'us' },
    [500, 2_000, 8_000, 32_000],
    orderTime,
  ),
  measureSlope(
    'admission of a request',
    { sizeOf: 'waiting requests', unit: 'us' },
    [100, 500, 2_000, 8_000],
    queueTime,
  ),
  measureSlope(
    'memory of waiting requests',
    { sizeOf: 'waiting requests', unit: 'bytes' },
    [500, 1_000, 4_000, 8_000],
    (waiting) => keptBytes(() => newQueue(waiting)),
  ),
];
