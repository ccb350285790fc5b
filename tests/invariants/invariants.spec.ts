import test from 'ava';
import type { HistoryEvent } from 'samphirenotch-stand-ins/history.js';

import { violations, type Evidence } from 'samphirenotch-stand-ins/invariants.js';
import type { CallerRecord } from 'samphirenotch-stand-ins/site/callerRecord.js';

const event = (changes: Partial<HistoryEvent>): HistoryEvent => ({
  atMs: 0,
  workerId: 'w1',
  dataCentre: 'timaru',
  kind: 'attempt-started',
  epoch: 1,
  attemptId: 'a1',
  jobId: 'j1',
  taskClass: 'settlement',
  ...changes,
});

const evidence = (changes: Partial<Evidence>): Evidence => ({
  events: [],
  outWindows: [],
  leaveWindows: [],
  versions: [],
  callers: [],
  onceClasses: new Set(['swap']),
  ...changes,
});

const callerRecord = (changes: Partial<CallerRecord>): CallerRecord => ({
  requestId: 'r1',
  taskClass: 'price-check',
  outcome: 'answered',
  latencyMs: 1,
  ...changes,
});

const rulesOf = (changes: Partial<Evidence>): readonly string[] =>
  violations(evidence(changes)).map(({ rule }) => rule);

test('should pass a job that is evicted and resumes once', (t) => {
  const events = [
    event({ atMs: 0 }),
    event({ atMs: 10, kind: 'attempt-ended', phase: 'stopped' }),
    event({ atMs: 11, workerId: 'w2', attemptId: 'a2' }),
    event({ atMs: 20, workerId: 'w2', attemptId: 'a2', kind: 'attempt-ended', phase: 'completed' }),
  ];
  t.deepEqual(rulesOf({ events }), []);
});

test('should name a VM that is given too much', (t) => {
  t.deepEqual(rulesOf({ events: [event({ overCapacity: true })] }), ['over-capacity']);
});

test('should name a job that runs in two places', (t) => {
  const events = [event({ atMs: 0 }), event({ atMs: 5, workerId: 'w2', attemptId: 'a2' })];
  t.deepEqual(rulesOf({ events }), ['two-places']);
});

test('should name a job that starts again after it completed', (t) => {
  const events = [
    event({ atMs: 0 }),
    event({ atMs: 10, kind: 'attempt-ended', phase: 'completed' }),
    event({ atMs: 11, workerId: 'w2', attemptId: 'a2' }),
  ];
  t.deepEqual(rulesOf({ events }), ['resumed-twice']);
});

test('should name a start in a data centre that is out', (t) => {
  const outWindows = [{ dataCentre: 'timaru', acceptedAtMs: 0, endedAtMs: 20_000 }];
  t.deepEqual(rulesOf({ events: [event({ atMs: 4999 })], outWindows }), []);
  t.deepEqual(rulesOf({ events: [event({ atMs: 5001 })], outWindows }), ['start-while-out']);
});

test('should name work given to a worker that has been leaving', (t) => {
  const leaveWindows = [{ workerId: 'w1', listedAtMs: 0, endedAtMs: 20_000 }];
  const start = { kind: 'request-started' as const, requestId: 'r1' };
  t.deepEqual(rulesOf({ events: [event({ ...start, atMs: 4999 })], leaveWindows }), []);
  const late = [event({ ...start, atMs: 5001 })];
  t.deepEqual(rulesOf({ events: late, leaveWindows }), ['work-while-leaving']);
});

test('should name an entry that went back to an older configuration', (t) => {
  const sample = (entryId: string, version: number) => ({ entryId, atMs: 0, version });
  t.deepEqual(rulesOf({ versions: [sample('e1', 1), sample('e1', 2), sample('e2', 1)] }), []);
  t.deepEqual(rulesOf({ versions: [sample('e1', 2), sample('e1', 1)] }), ['older-configuration']);
});

test('should name an answer that is not the caller’s own', (t) => {
  const callers = [callerRecord({ bodyMatches: false })];
  t.deepEqual(rulesOf({ callers }), ['foreign-answer']);
});

test('should name a request that ran though its caller was told otherwise', (t) => {
  const events = [event({ kind: 'request-started', requestId: 'r1', taskClass: 'price-check' })];
  const callers = [callerRecord({ outcome: 'not-run' })];
  t.deepEqual(rulesOf({ events, callers }), ['not-run-ran']);
});

test('should know a request that ran by the id that its caller gave it', (t) => {
  const run = { kind: 'request-started' as const, requestId: 's1', callerRequestId: 'r1' };
  const callers = [callerRecord({ outcome: 'not-run' })];
  t.deepEqual(rulesOf({ events: [event(run)], callers }), ['not-run-ran']);
});

test('should name a non-idempotent request that ran twice under one key', (t) => {
  const run = { kind: 'request-started' as const, taskClass: 'swap', idempotencyKey: 'k1' };
  const events = [event({ ...run, requestId: 'r1' }), event({ ...run, requestId: 'r2' })];
  t.deepEqual(rulesOf({ events }), ['ran-twice']);
});
