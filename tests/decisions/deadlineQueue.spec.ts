/**
 * Checks admission under overload, slow spells and cancellations.
 *
 * @packageDocumentation
 */

import test from 'ava';
import type { AdmissionRequest } from 'samphirenotch/decisions/admission.js';
import { DeadlineQueue } from 'samphirenotch/decisions/deadlineQueue.js';

const SLOTS = 4;
const SERVICE_MS = 100;

const newQueue = (): DeadlineQueue => {
  const queue = new DeadlineQueue();
  queue.setCapacity(SLOTS);
  for (let count = 0; count < 50; count += 1) queue.recordServiceTime('quick', SERVICE_MS);
  return queue;
};

const newRequest = (
  requestId: string,
  changes: Partial<AdmissionRequest> = {},
): AdmissionRequest => ({
  requestId,
  taskClass: 'quick',
  tenant: 'growers',
  tenantWeight: 1,
  priority: 5,
  deadlineMs: 1_000,
  ...changes,
});

const offerMany = (queue: DeadlineQueue, count: number, prefix: string, tenant = 'growers') =>
  Array.from({ length: count }, (_, index) =>
    queue.offer(newRequest(`${prefix}-${index}`, { tenant }), 0),
  );

test('should refuse at once what cannot finish before its deadline', (t) => {
  const decisions = offerMany(newQueue(), 100, 'request');
  const admitted = decisions.filter(({ kind }) => kind === 'admitted').length;

  // Nine rounds of four fit before the latest start at 900 ms.
  t.true(admitted >= 8 * SLOTS && admitted <= 10 * SLOTS, `${admitted}`);
});

test('should name to each refused caller a later time that the slots can serve', (t) => {
  const refusals = offerMany(newQueue(), 200, 'request').flatMap((decision) =>
    decision.kind === 'refused' ? [decision.retryAfterMs] : [],
  );
  const spanMs = (refusals.at(-1) ?? 0) - (refusals[0] ?? 0);
  const servedInSpan = (spanMs * SLOTS) / SERVICE_MS;

  t.true(refusals.every((each, index) => index === 0 || each >= (refusals[index - 1] ?? 0)));
  t.true(Math.abs(servedInSpan - refusals.length) <= SLOTS, `${servedInSpan}`);
});

test('should not let a flood of one tenant refuse another', (t) => {
  const queue = newQueue();
  offerMany(queue, 200, 'flood', 'flooding');

  t.is(queue.offer(newRequest('calm', { tenant: 'calm' }), 0).kind, 'admitted');
});

test('should serve tenants by turns and urgent requests first', (t) => {
  const queue = newQueue();
  offerMany(queue, 10, 'flood', 'flooding');
  offerMany(queue, 2, 'calm', 'calm');
  queue.offer(newRequest('urgent', { priority: 9 }), 0);
  const order = Array.from({ length: 5 }, () => queue.next(1)?.requestId ?? '');

  t.is(order[0], 'urgent');
  t.is(order.filter((each) => each.startsWith('calm')).length, 2);
});

test('should go on learning when a class has become too slow for its deadline', (t) => {
  const queue = newQueue();
  for (let count = 0; count < 200; count += 1) queue.recordServiceTime('quick', 5_000);

  t.is(queue.offer(newRequest('first'), 0).kind, 'admitted');
  t.is(queue.next(0)?.requestId, 'first');
});

test('should shed what ran out of time while it waited, and nothing else', (t) => {
  const queue = newQueue();
  queue.offer(newRequest('patient', { deadlineMs: 60_000 }), 0);
  queue.offer(newRequest('hasty', { deadlineMs: 500 }), 0);
  const shed = queue.shed(499);

  t.deepEqual(
    shed.map(({ requestId }) => requestId),
    ['hasty'],
  );
  t.is(queue.next(499)?.requestId, 'patient');
});

test('should leave nothing of cancelled requests behind', (t) => {
  const queue = newQueue();
  offerMany(queue, 30, 'cancelled', 'bursting');
  queue.offer(newRequest('kept', { tenant: 'calm' }), 0);
  for (let index = 0; index < 30; index += 1) queue.withdraw(`cancelled-${index}`);

  t.is(queue.size(), 1);
  t.is(queue.next(1)?.requestId, 'kept');
  t.is(queue.next(1), undefined);
});
