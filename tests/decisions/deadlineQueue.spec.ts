/**
 * Tests of the deadline queue: overload, temporarily slow services and cancelled requests.
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

// Without an early refusal, an overloaded entry queues requests that miss their deadlines, and
// callers wait in vain.
test('should refuse requests at once that cannot finish before their deadline', (t) => {
  const decisions = offerMany(newQueue(), 100, 'request');
  const admitted = decisions.filter(({ kind }) => kind === 'admitted').length;

  // Four slots serve nine rounds of 100 ms each before the latest start at 900 ms.
  t.true(admitted >= 8 * SLOTS && admitted <= 10 * SLOTS, `${admitted}`);
});

// If all refused callers got the same retry time, they would return at once and overload the
// service again. Retry times have to be spaced by what the slots can serve.
test('should space the retry times of refused callers by what the slots can serve', (t) => {
  const refusals = offerMany(newQueue(), 200, 'request').flatMap((decision) =>
    decision.kind === 'refused' ? [decision.retryAfterMs] : [],
  );
  const spanMs = (refusals.at(-1) ?? 0) - (refusals[0] ?? 0);
  const servedInSpan = (spanMs * SLOTS) / SERVICE_MS;

  t.true(refusals.every((each, index) => index === 0 || each >= (refusals[index - 1] ?? 0)));
  t.true(Math.abs(servedInSpan - refusals.length) <= SLOTS, `${servedInSpan}`);
});

// A queue that is filled by one tenant must not lead to refusals of another tenant, which is
// entitled to its share of the slots.
test('should admit a request of one tenant while another tenant overloads the queue', (t) => {
  const queue = newQueue();
  offerMany(queue, 200, 'flood', 'flooding');

  t.is(queue.offer(newRequest('calm', { tenant: 'calm' }), 0).kind, 'admitted');
});

// A tenant with many requests must not delay another with few until its own are served, and no
// tenant may delay a request of higher priority.
test('should serve urgent requests first and then alternate between tenants', (t) => {
  const queue = newQueue();
  offerMany(queue, 10, 'flood', 'flooding');
  offerMany(queue, 2, 'calm', 'calm');
  queue.offer(newRequest('urgent', { priority: 9 }), 0);
  const order = Array.from({ length: 5 }, () => queue.next(1)?.requestId ?? '');

  t.is(order[0], 'urgent');
  t.is(order.filter((each) => each.startsWith('calm')).length, 2);
});

// A class whose measured service time exceeds its deadline would be refused always. Then nothing is
// measured any more, and the class stays refused after it has become fast again.
test('should admit a request to an empty queue even if its class has been too slow', (t) => {
  const queue = newQueue();
  for (let count = 0; count < 200; count += 1) queue.recordServiceTime('quick', 5_000);

  t.is(queue.offer(newRequest('first'), 0).kind, 'admitted');
  t.is(queue.next(0)?.requestId, 'first');
});

// A request that can no longer finish in time must not take a slot from one that can.
test('should shed only requests that can no longer finish in time', (t) => {
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

// Requests whose callers have left must neither count as waiting nor be served.
test('should remove cancelled requests completely', (t) => {
  const queue = newQueue();
  offerMany(queue, 30, 'cancelled', 'bursting');
  queue.offer(newRequest('kept', { tenant: 'calm' }), 0);
  for (let index = 0; index < 30; index += 1) queue.withdraw(`cancelled-${index}`);

  t.is(queue.size(), 1);
  t.is(queue.next(1)?.requestId, 'kept');
  t.is(queue.next(1), undefined);
});
