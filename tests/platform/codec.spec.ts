/**
 * What others write to the platform's store.
 */
import test from 'ava';

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
