/**
 * Checking whole sets before they are published.
 */
import test from 'ava';
import fc from 'fast-check';
import { checkConfiguration, type CheckContext } from 'samphirenotch/config/checker.js';
import { describeProblem } from 'samphirenotch/config/configurationProblem.js';
import type { ConfigurationFiles } from 'samphirenotch/config/draft.js';

import { CONTEXT, exampleFiles } from '../fixtures/configuration.js';

const COUNCIL = exampleFiles('council');

const problemsOf = (
  files: ConfigurationFiles,
  context: CheckContext = CONTEXT,
): readonly string[] => {
  const checked = checkConfiguration(files, context);
  return checked.ok ? [] : checked.val.map(describeProblem);
};

const edited = (file: string, from: string | RegExp, to: string): ConfigurationFiles => {
  const text = COUNCIL.get(file) ?? '';
  return new Map([...COUNCIL, [file, text.replace(from, to)]]);
};

const withFile = (file: string, text: string): ConfigurationFiles =>
  new Map([...COUNCIL, [file, text]]);

test('should accept both example sites', (t) => {
  for (const site of ['council', 'kovacik']) t.deepEqual(problemsOf(exampleFiles(site)), []);
});

test('should report a problem with its place and what is accepted', (t) => {
  const cases: readonly (readonly [ConfigurationFiles, RegExp])[] = [
    [
      edited('tenants.ini', 'weight =', 'wieght ='),
      /tenants\.ini:\d+ \[tenant growers\] wieght: unknown key, did you mean weight\?/u,
    ],
    [
      edited('taskClasses.ini', '250 ms', '250'),
      /\[taskClass price-check\] deadline: cannot read "250"; accepted: a duration/u,
    ],
    [
      edited('taskClasses.ini', '0.5 cores', '0.5'),
      /cores: cannot read "0\.5"; accepted: a number of processors/u,
    ],
    [
      edited('tenants.ini', 'limit = callers', 'limit = caller'),
      /\[tenant growers\] limit: unknown limit "caller", did you mean callers\?/u,
    ],
    [
      edited('limits.ini', /\[limit staff\][^]*/u, ''),
      /\[tenant desk\] limit: unknown limit "staff"/u,
    ],
    [
      edited('limits.ini', 'body = 4 MB', 'body = 4 MB\nwithin = callers'),
      /\[limit exchange\] within: limits form a cycle: exchange -> callers -> exchange/u,
    ],
    [
      edited('quotas.ini', 'runningTasks = 200', 'runningTasks = 201'),
      /\[quota callers\] runningTasks: 201 is above limit callers; accepted: at most 200/u,
    ],
    [
      edited('limits.ini', 'requestsPerSecond = 1500', 'requestsPerSecond = 5000'),
      /\[limit callers\] requestsPerSecond: 5000 is above limit exchange/u,
    ],
    [
      edited('services.ini', ', Temuka', ''),
      /\[taskClass \S+\] dataCentres: service spot-desk is not in Temuka/u,
    ],
    [
      edited('services.ini', '[service', '[servce'),
      /\[servce spot-desk\]: neither a known kind .*did you mean \[service NAME\]/u,
    ],
    [
      edited('services.ini', 'owner = Spot desk', 'owner = a\nowner = b'),
      /owner: key written twice/u,
    ],
    [
      edited('services.ini', 'owner = Spot desk', 'owner = Spot; desk'),
      /owner: ; or # within a value/u,
    ],
    [
      withFile('again.ini', '[service spot-desk]\n'),
      /\[service spot-desk\]: the object is already at services\.ini:\d+/u,
    ],
    [
      withFile('proto.ini', '[__proto__ x]\n__proto__ = 1\n'),
      /proto\.ini:1 \[__proto__ x\]: neither a known kind/u,
    ],
    [
      withFile('proto2.ini', '[tenant __proto__]\n__proto__ = 1\n'),
      /\[tenant __proto__\] __proto__: unknown key/u,
    ],
    [withFile('binary.ini', 'a\u0000b'), /binary\.ini: not a text file/u],
    [withFile('latin.ini', 'a\uFFFDb'), /latin\.ini: not a text file/u],
    [withFile('loose.ini', 'key = 1\n'), /loose\.ini:1 key: key before the first heading/u],
    [withFile('../x.ini', ''), /not a name of a configuration file/u],
    [
      withFile('big.ini', `; ${'x'.repeat(1024 * 1024)}`),
      /big\.ini: \d+ bytes are more than the platform stores/u,
    ],
    [new Map(), /no data centre is described/u],
  ];
  for (const [files, expected] of cases) {
    const problems = problemsOf(files);
    t.true(
      problems.some((problem) => expected.test(problem)),
      `${expected}\n${problems.join('\n')}`,
    );
  }
});

test('should report all problems at once', (t) => {
  const files = new Map([
    ...edited('tenants.ini', 'limit = callers', 'limit = nobody'),
    ['binary.ini', '\u0000'],
    ['loose.ini', 'nonsense'],
  ]);
  t.is(problemsOf(files).length, 3);
});

test('should refuse a service with no data centre left', (t) => {
  const outages = ['Ashburton', 'Timaru', 'Rakaia', 'Temuka'].map(
    (name) => `[outage ${name}]\nowner = a\nwhy = b\nrunbook = c\ndataCentre = ${name}\n`,
  );
  t.deepEqual(problemsOf(withFile('outages.ini', outages.slice(1).join(''))), []);
  const [problem = ''] = problemsOf(withFile('outages.ini', outages.join('')));
  t.regex(problem, /\[service spot-desk\] dataCentres: service spot-desk has no data centre left/u);
});

test('should refuse a class that fits no worker of the data centres it may use', (t) => {
  const worker = (dataCentre: string, milliCores: number) => ({
    dataCentre,
    capacity: { milliCores, memoryMb: 60_000, accelerators: 0 },
  });
  const large = edited('taskClasses.ini', 'cores = 2 cores', 'cores = 13 cores');
  const some = { ...CONTEXT, workers: [worker('Timaru', 16_000), worker('Rakaia', 17_000)] };
  t.deepEqual(problemsOf(large, some), []);
  const few = { ...CONTEXT, workers: [worker('Timaru', 16_000), worker('Elsewhere', 64_000)] };
  const [problem = ''] = problemsOf(large, few);
  t.regex(problem, /\[taskClass settlement\] cores: fits no worker of any data centre/u);
});

test('should accept names and texts of any script', (t) => {
  const files = new Map(
    [...COUNCIL].map(([name, text]) => [name, text.replaceAll('growers', 'kurátori-育')]),
  );
  t.deepEqual(problemsOf(files), []);
});

test('should never throw, whatever the files hold', (t) => {
  const line = fc.oneof(
    fc.string({ unit: 'binary' }),
    fc.constantFrom('[tenant a]', '[limit a]', 'within = a', 'limit = a', '[', ']', '=', '[ ]'),
  );
  const text = fc.array(line).map((lines) => lines.join('\n'));
  const property = fc.property(fc.array(fc.tuple(fc.string(), text), { maxLength: 4 }), (files) => {
    t.true(problemsOf(new Map(files)).length > 0);
  });
  fc.assert(property, { seed: 1, numRuns: 300 });
});
