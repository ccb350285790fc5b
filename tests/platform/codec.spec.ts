/**
 * What others write to the platform's store.
 */
import test from 'ava';
import fc from 'fast-check';
import type { Log, LogFields } from 'samphirenotch/observability/log.js';

import { parseJobBody } from '../../platform/jobBody.js';
import { PlatformCodec } from '../../platform/platformCodec.js';

const worker = {
  Service: 's',
  Address: '10.0.0.1:80',
  Zone: 'z',
  State: 'ready',
  Capacity: { Cpu: 16_000, MemMb: 64_000, Gpu: 0 },
  Labels: ['a', 'r1'],
  born: 7,
};

test('should read a worker', (t) => {
  const read = new PlatformCodec().readWorker('servers/i-1', JSON.stringify(worker));
  t.is(read?.id, 'i-1');
  t.is(read?.capacity.milliCores, 16_000);
  t.deepEqual(read?.labels, ['a', 'r1']);
  t.is(read?.bornMs, 7);
});

// Guards against changes of a worker that are taken for heartbeats, and heartbeats taken for changes.
test('should tell heartbeats of a worker from changes of its description', (t) => {
  const codec = new PlatformCodec();
  const textOf = (changes: object): string =>
    codec.withoutHeartbeat(JSON.stringify({ ...worker, Sequence: 9, ...changes }));
  t.is(textOf({ Sequence: 10 }), textOf({}));
  const changes = [
    { State: 'draining' },
    { Address: '10.0.0.1:81' },
    { Capacity: { ...worker.Capacity, Cpu: 8_000 } },
    { ColdLeftMs: 100 },
    { born: 8 },
    { Labels: ['"Sequence":10'] },
    { Sequence: 'odd' },
  ];
  changes.forEach((change) => t.not(textOf(change), textOf({}), JSON.stringify(change)));
  t.not(textOf({ Labels: ['"Sequence":10'] }), textOf({ Labels: ['"Sequence":11'] }));
});

test('should take entries of other writers for no worker', (t) => {
  const codec = new PlatformCodec();
  const broken = [
    'not json',
    '{}',
    JSON.stringify({ ...worker, State: 'odd' }),
    JSON.stringify({ ...worker, Capacity: 'large' }),
    JSON.stringify({ ...worker, Address: 5 }),
    '\u0000\u0001',
  ];
  broken.forEach((text) => t.is(codec.readWorker('servers/x', text), undefined));
});

/** An entry with one field changed, and the field that a log line has to name. */
const ODD_ENTRIES: readonly (readonly [object, string])[] = [
  ...['10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.1:8e1', '10.0.0.999:80'],
  ...[
    '%zz:80',
    'a/b:80',
    'h?x:80',
    'user@h:80',
    'h#:80',
    ':80',
    '10.0.0.1',
    `${'h'.repeat(300)}:80`,
  ],
]
  .map((address): readonly [object, string] => [{ Address: address }, 'Address'])
  .concat([
    [{ Capacity: { Cpu: 1e300 } }, 'Capacity.Cpu'],
    [{ Capacity: { Cpu: -5 } }, 'Capacity.Cpu'],
    [{ Capacity: { Cpu: 1_000, MemMb: 1e300 } }, 'Capacity.MemMb'],
    [{ Capacity: { Cpu: 1_000, Gpu: -1 } }, 'Capacity.Gpu'],
    [{ ColdLeftMs: 1e300 }, 'ColdLeftMs'],
    [{ ColdLeftMs: -1 }, 'ColdLeftMs'],
    [{ RemainingMs: 1e300 }, 'RemainingMs'],
    [{ born: 1e300 }, 'born'],
    [{ born: -1 }, 'born'],
    [{ born: 1.5 }, 'born'],
    [{ Zone: 'z'.repeat(1_000) }, 'Zone'],
    [{ Service: 's'.repeat(1_000) }, 'Service'],
    [{ Labels: Array.from({ length: 1_000 }, () => 'r1') }, 'Labels'],
    [{ Labels: [['r1']] }, 'Labels.0'],
  ]);

/** A log that keeps its lines. */
const makeLog = (): { readonly log: Log; readonly lines: LogFields[] } => {
  const lines: LogFields[] = [];
  const add = (message: string, fields: LogFields = {}): void => {
    lines.push({ message, ...fields });
  };
  return { log: { debug: add, info: add, warn: add, error: add }, lines };
};

// Guards against agents of workers that nobody can reach, and against sums of room that one entry
// spoils.
test('should take an entry with a number or an address out of range for no worker', (t) => {
  ODD_ENTRIES.forEach(([changes, field]) => {
    const { log, lines } = makeLog();
    const entry = JSON.stringify({ ...worker, ...changes });
    t.is(new PlatformCodec(log).readWorker('servers/x', entry), undefined, entry.slice(0, 200));
    t.true(String(lines[0]?.reason).startsWith(`${field}: `), `${lines[0]?.reason} for ${field}`);
  });
});

// Guards against workers that are refused because a bound is too narrow.
test('should read a worker whose numbers are at the ends of their ranges', (t) => {
  const read = (changes: object) =>
    new PlatformCodec().readWorker('servers/x', JSON.stringify({ ...worker, ...changes }));
  t.truthy(read({ Address: 'worker-1.example:65535', ColdLeftMs: 0, born: Date.now() }));
  t.truthy(read({ Address: '10.0.0.1:1', ColdLeftMs: 1_499.5, RemainingMs: 0 }));
  t.truthy(read({ Capacity: { Cpu: 0 }, Labels: [] }));
});

// Guards against an id that cannot be sent in the header that names the life of a worker.
test('should take an entry under a key that holds no id for no worker', (t) => {
  const codec = new PlatformCodec();
  ['', 'i 1', 'i\n1', '\u00ff'].forEach((id) =>
    t.is(codec.readWorker(`servers/${id}`, JSON.stringify(worker)), undefined),
  );
});

// Guards against a log that one entry fills, since entries are written with each heartbeat.
test('should log an unusable entry once until it changes or names a worker again', (t) => {
  const { log, lines } = makeLog();
  const codec = new PlatformCodec(log);
  const read = (changes: object) =>
    codec.readWorker('servers/x', JSON.stringify({ ...worker, ...changes }));
  for (let sequence = 1; sequence < 5; sequence += 1) read({ born: -1, Sequence: sequence });
  read({ Address: `${'h'.repeat(5_000)}:80` });
  read({});
  read({});
  read({ born: -1 });
  t.deepEqual(
    lines.map(({ message, reason }) => [message, String(reason).split(':')[0]]),
    [
      ['An entry names no worker to use', 'born'],
      ['An entry names no worker to use', 'Address'],
      ['An entry names a worker again', 'undefined'],
      ['An entry names no worker to use', 'born'],
    ],
  );
  t.true(lines.every((line) => JSON.stringify(line).length < 500));
});

// Guards against entries of other writers that end the process that reads them.
test('should read any bytes without an error', (t) => {
  const codec = new PlatformCodec(makeLog().log);
  const deep = (open: string, close: string): string =>
    `${open.repeat(200_000)}1${close.repeat(200_000)}`;
  [
    deep('[', ']'),
    deep('{"a":', '}'),
    `{"Service":"s","Labels":${deep('[', ']')}}`,
    JSON.stringify(worker).replace('{', `{"Other":${deep('{"a":[', ']}')},`),
    '{"Capacity":{"Cpu":1e999}}',
  ].forEach((text) => {
    t.notThrows(() => codec.readWorker('servers/x', text), text.slice(0, 60));
    t.notThrows(() => codec.readOperatorItem('op/config', text), text.slice(0, 60));
  });
  fc.assert(
    fc.property(fc.string({ unit: 'binary' }), fc.json(), fc.string(), (bytes, json, id) => {
      [bytes, json].forEach((text) => {
        codec.readWorker(`servers/${id}`, text);
        codec.readOperatorItem('op/config', text);
      });
    }),
  );
  fc.assert(
    fc.property(fc.constantFrom(...Object.keys(worker)), fc.jsonValue(), (field, value) => {
      const read = codec.readWorker('servers/x', JSON.stringify({ ...worker, [field]: value }));
      const numbers = [...Object.values(read?.capacity ?? {}), read?.coldMs, read?.bornMs];
      return !read || numbers.every((each) => (each ?? 0) >= 0 && Number.isFinite(each));
    }),
  );
});

test('should read configuration and evacuations, and nothing else', (t) => {
  const codec = new PlatformCodec();
  const configuration = {
    Version: 7,
    Routes: [{ Name: 'r', Host: 'h', Prefix: '/p/', Service: 's', MaxAttempts: 3, Priority: 1 }],
    Services: [{ Name: 's', Standby: true }],
    Limits: { MaxBodyBytes: 1_000 },
  };
  const item = codec.readOperatorItem('op/config', JSON.stringify(configuration));
  t.is(item?.kind, 'configuration');
  if (item?.kind !== 'configuration') return;
  t.is(item.configuration.queues[0]?.maximumAttempts, 3);
  t.true(item.configuration.standbyServices.has('s'));
  t.deepEqual(codec.readOperatorItem('op/evacuate/z1', '{}'), {
    kind: 'evacuation',
    dataCentre: 'z1',
  });
  t.is(codec.readOperatorItem('op/wave/1', '{}'), undefined);
  t.is(codec.readOperatorItem('op/config', 'broken'), undefined);
});

test('should read a job with fields left out', (t) => {
  const job = parseJobBody(
    JSON.stringify({
      Spec: 'x',
      Steps: [
        { Count: 2, Cpu: 500 },
        { Count: 1, After: [0] },
      ],
    }),
  );
  t.true(job.ok);
  if (job.err) return;
  t.is(job.val.steps[0]?.size.milliCores, 500);
  t.false(job.val.steps[1]?.gang);
  t.deepEqual(job.val.steps[1]?.after, [0]);
});

test('should turn bad jobs away with a reason', (t) => {
  const deep = `${'['.repeat(5_000)}${']'.repeat(5_000)}`;
  const bad = [
    'no json',
    '{}',
    deep,
    JSON.stringify({ Steps: [] }),
    JSON.stringify({ Steps: [{ Count: 0 }] }),
    JSON.stringify({ Steps: [{ Count: 1, After: [0] }] }),
    JSON.stringify({ Steps: [{ Count: 1, Cpu: 'many' }] }),
    JSON.stringify({ Steps: [{ Count: 1e9 }] }),
    JSON.stringify({ Spec: 'x'.repeat(4_001), Steps: [{ Count: 1 }] }),
  ];
  bad.forEach((text) => t.true(parseJobBody(text).err, text.slice(0, 40)));
});
