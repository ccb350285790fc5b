/**
 * The command line as operators and callers use it.
 */
import { readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';

import test from 'ava';
import { COMMAND_CLASSES } from 'samphirenotch-cli/commandLine.js';
import { EXIT_CODES } from 'samphirenotch-cli/exitCode.js';
import type { HttpExchange, HttpHandler } from 'samphirenotch/http/httpHandler.js';

import { copyExample, openEntry, runCli } from '../fixtures/commandLine.js';
import { workerListing } from '../fixtures/platform.js';

const edit = async (directory: string, file: string, from: string, to: string): Promise<void> => {
  const name = path.join(directory, file);
  const before = await readFile(name, 'utf8');
  await writeFile(name, before.replace(from, to));
};

test('should publish, show, log, diff and restore', async (t) => {
  const { env } = await openEntry(t);
  const directory = await copyExample(t, 'council');

  const first = await runCli(['config', 'publish', directory, '--why', 'First setup'], env);
  t.is(first.exitCode, EXIT_CODES.ok, first.err);
  t.true(first.out.includes('version 1'));
  t.true(first.err.includes('in force'));
  await edit(directory, 'tenants.ini', 'weight = 2', 'weight = 3');
  const diff = await runCli(['config', 'diff', directory, '--json'], env);
  t.deepEqual(JSON.parse(diff.out).changed, [
    { object: 'tenant growers', change: 'changed', keys: ['weight'] },
  ]);
  await runCli(['config', 'publish', directory, '--why', 'More for growers', '--by', 'jan'], env);
  const restored = await runCli(['config', 'restore', '1', '--why', 'Back'], env);
  t.true(restored.err.includes('changed tenant growers (weight)'));

  const log = await runCli(['config', 'log', '--json'], env);
  const { records } = JSON.parse(log.out);
  t.deepEqual(
    records.map(({ version, publishedBy, why }: Record<string, unknown>) => [
      version,
      publishedBy,
      why,
    ]),
    [
      [3, 'hana', 'Back'],
      [2, 'jan', 'More for growers'],
      [1, 'hana', 'First setup'],
    ],
  );
  const shown = await runCli(['config', 'show', '--version', '2'], env);
  t.true(shown.out.includes('weight = 3'));
  t.is((await runCli(['config', 'show', '--version', '9'], env)).exitCode, EXIT_CODES.refused);
});

test('should end with the exit code of a conflict and name what changed', async (t) => {
  const { env } = await openEntry(t);
  const mine = await copyExample(t, 'council');
  await runCli(['config', 'publish', mine, '--why', 'First setup'], env);
  const theirs = await copyExample(t, 'council');
  await runCli(['config', 'show', '--to', theirs], env);
  await edit(theirs, 'tenants.ini', 'weight = 4', 'weight = 5');
  await runCli(['config', 'publish', theirs, '--why', 'More for the desk'], env);

  await edit(mine, 'tenants.ini', 'weight = 2', 'weight = 3');
  const lost = await runCli(['config', 'publish', mine, '--why', 'More for growers'], env);
  t.is(lost.exitCode, EXIT_CODES.conflict);
  t.true(lost.err.includes('changed tenant desk (weight)'));
  t.true((await runCli(['config', 'log'], env)).out.includes('More for the desk'));
});

test('should take a data centre out and bring it back', async (t) => {
  const { env } = await openEntry(t);
  const directory = await copyExample(t, 'council');
  await runCli(['config', 'publish', directory, '--why', 'First setup'], env);

  const out = await runCli(['outage', 'start', 'Timaru', '--why', 'River; gate "closes"'], env);
  t.is(out.exitCode, EXIT_CODES.ok, out.err);
  const status = JSON.parse((await runCli(['status', '--json'], env)).out);
  t.deepEqual(status.configuration.outages, ['Timaru']);
  t.is((await runCli(['outage', 'start', 'Timaru', '--why', 'x'], env)).exitCode, 3);
  t.is((await runCli(['outage', 'start', 'Tmaru', '--why', 'x'], env)).exitCode, 1);
  t.is((await runCli(['outage', 'end', 'Timaru', '--why', 'Over'], env)).exitCode, 0);
  t.is((await runCli(['outage', 'end', 'Timaru', '--why', 'Over'], env)).exitCode, 3);
});

test('should check with and without an entry', async (t) => {
  const { env } = await openEntry(t, [
    workerListing({
      dataCentre: 'Timaru',
      capacity: { milliCores: 5_000, memoryMb: 60_000, accelerators: 0 },
    }),
  ]);
  const alone = await runCli(['config', 'check', 'examples/council']);
  t.is(alone.exitCode, EXIT_CODES.ok, alone.err);

  const known = await runCli(['config', 'check', 'examples/council'], env);
  t.is(known.exitCode, EXIT_CODES.refused);
  t.regex(known.out, /taskClasses\.ini:\d+ \[taskClass settlement\] cores: fits no worker/u);
});

test('should tell wrong command lines, directories and entries apart', async (t) => {
  const entry = ['--entry', 'http://127.0.0.1:1'];
  const cases: readonly (readonly [readonly string[], number])[] = [
    [['config', 'publsh'], EXIT_CODES.usage],
    [['config', 'publish', 'examples/council'], EXIT_CODES.usage],
    [['config', 'check', 'no/such/place'], EXIT_CODES.usage],
    [['config', 'check', 'package.json'], EXIT_CODES.usage],
    [['config', 'check', 'utils'], EXIT_CODES.refused],
    [['status'], EXIT_CODES.usage],
    [['status', '--entry', 'nonsense'], EXIT_CODES.usage],
    [['status', ...entry], EXIT_CODES.unavailable],
    [['histograms', '--by', 'colour', ...entry], EXIT_CODES.usage],
    [['outage', 'start', 'Timaru', '--why', 'x', ...entry], EXIT_CODES.unavailable],
  ];
  for (const [input, exitCode] of cases) {
    const run = await runCli(input, { USER: 'hana' });
    t.is(run.exitCode, exitCode, input.join(' '));
    t.not(run.err + run.out, '');
    t.notRegex(run.err, /\n\s+at /u, input.join(' '));
  }
});

test('should tell that an outcome is unknown when the connection breaks after sending', async (t) => {
  const breaking: HttpHandler = {
    prefix: '/tasks',
    handle: async ({ request }: HttpExchange) => {
      request.socket.destroy();
    },
  };
  const balancer: HttpHandler = {
    prefix: '/services',
    handle: async ({ response }) => {
      response.writeHead(502).end('Bad gateway');
    },
  };
  const { env } = await openEntry(t, [], [breaking, balancer]);
  const submit = ['task', 'submit', 'settlement', '--tenant', 'desk', '--key', 'k1'];

  t.is((await runCli(submit, env)).exitCode, EXIT_CODES.unknown);
  t.is((await runCli(['task', 'list'], env)).exitCode, EXIT_CODES.unavailable);
  const book = ['request', 'spot-desk', '/bids', '--tenant', 'growers'];
  t.is((await runCli([...book, '--method', 'POST'], env)).exitCode, EXIT_CODES.unknown);
  t.is((await runCli(book, env)).exitCode, EXIT_CODES.unavailable);
});

test('should pass tasks and requests on with their headers', async (t) => {
  const seen: Record<string, unknown>[] = [];
  const answer =
    (status: number, body: string) =>
    async ({ request, response, url }: HttpExchange): Promise<void> => {
      const { tenant, prefer, 'task-class': taskClass, 'idempotency-key': key } = request.headers;
      seen.push({ method: request.method, path: url.pathname, tenant, prefer, taskClass, key });
      response.writeHead(status, { 'Content-Type': 'application/json' }).end(body);
    };
  const events =
    'event: task\ndata: {"state":"queued"}\n\nevent: task\ndata: {"state":"failed"}\n\n';
  const problem = '{"detail":"too busy","outcome":"not-run","retryAfterMs":1500}';
  const { env } = await openEntry(
    t,
    [],
    [
      { prefix: '/tasks/t1/events', handle: answer(200, events) },
      { prefix: '/tasks', handle: answer(200, '{"tasks":[{"id":"t1","state":"queued"}]}') },
      { prefix: '/services/spot-desk', handle: answer(200, '41.5') },
      { prefix: '/services/busy', handle: answer(503, problem) },
    ],
  );
  const request = ['--tenant', 'growers', '--class', 'price-check', '--wait', '2', '--key', 'k'];

  t.is((await runCli(['request', 'spot-desk', 'price', ...request], env)).out, '41.5');
  t.deepEqual(seen.at(-1), {
    method: 'GET',
    path: '/services/spot-desk/price',
    tenant: 'growers',
    prefer: 'wait=2',
    taskClass: 'price-check',
    key: 'k',
  });
  const busy = await runCli(['request', 'busy', '/', ...request], env);
  t.deepEqual(busy, {
    exitCode: EXIT_CODES.unavailable,
    out: '',
    err: 'too busy\nIt was not done.\nAsk again in 2 s.\n',
  });
  t.is((await runCli(['task', 'follow', 't1'], env)).out, 'state=queued\nstate=failed\n');
  t.true((await runCli(['task', 'list'], env)).out.includes('t1'));
  await runCli(['task', 'cancel', 't/1'], env);
  t.is(seen.at(-1)?.path, '/tasks/t%2F1');
});

test('should add the histograms of all entries given', async (t) => {
  const entries = [await openEntry(t), await openEntry(t)];
  for (const { recorder } of entries) {
    recorder.time('total', { taskClass: 'price-check', tenant: 'growers' }, 12);
  }
  const both = entries.map(({ entry }) => entry).join(',');
  const run = await runCli(['histograms', '--by', 'tenant', '--json', '--entry', both]);

  t.like(JSON.parse(run.out)[0], { group: 'growers', step: 'total', count: 2 });
});

test('should have a page that names every command and exit code', async (t) => {
  const page = await readFile('docs/command-line.md', 'utf8');
  for (const { paths = [] } of COMMAND_CLASSES) {
    const words = paths[0]?.join(' ') ?? '';
    if (!words.startsWith('-')) t.true(page.includes(`samphirenotch ${words}`), words);
  }
  for (const [name, code] of Object.entries(EXIT_CODES)) {
    t.regex(page, new RegExp(`^\\| ${code} +\\| ${name} `, 'mu'), name);
  }
});
