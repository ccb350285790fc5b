/**
 * The pages of an entry for operators, and the command line that shows them.
 */
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { HistogramRecorder } from 'samphirenotch/observability/histogramRecorder.js';

import { operatorPage } from '../../platform/operatorPages.js';
import { serveText } from '../../platform/textServer.js';
import { runCli } from '../fixtures/commandLine.js';
import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';

const makePages = async () => {
  const { site, owner } = await makeOwnedSite({ workers: 1, milliCores: 1_000 });
  await site.submit(owner, ID, makeJob(makeStep({ count: 2 })));
  await site.run(400);
  const recorder = new HistogramRecorder('dc0');
  const other = site.start('b');
  await site.run(400);
  return {
    page: (path: string) => operatorPage(path, owner.entry, recorder),
    otherPage: (path: string) => operatorPage(path, other.entry, recorder),
  };
};

test('should tell whom to ask about a job that another entry decides about', async (t) => {
  const { otherPage } = await makePages();
  const page = otherPage(`/tasks/${ID}/explain`);
  t.is(page?.status, 404);
  t.regex(page?.text ?? '', /home is share site, which a owns/u);
});

test('should serve metrics, status and explanations, and nothing else', async (t) => {
  const { page } = await makePages();
  t.true(page('/metrics')?.text.includes('samphirenotch_shares_owned'));
  t.like(JSON.parse(page('/status')?.text ?? ''), { entry: 'a', shares: [{ owner: 'a' }] });
  t.like(JSON.parse(page(`/tasks/${ID}/explain`)?.text ?? ''), { jobId: ID });
  t.is(page('/tasks/00000000000000ff/explain')?.status, 404);
  t.is(page('/tasks/nonsense/explain'), undefined);
  t.is(page('/other'), undefined);
});

test('should show status and explanations on the command line', async (t) => {
  const { page } = await makePages();
  const server = await serveText('127.0.0.1', 0, page);
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const env = { SAMPHIRENOTCH_ENTRY: `http://127.0.0.1:${port}` };
  const status = await runCli(['status'], env);
  t.is(status.exitCode, 0, status.err);
  t.regex(status.out, /site +a /u);
  t.regex(status.out, /w0/u);
  const explained = await runCli(['task', 'explain', ID], env);
  t.is(explained.exitCode, 0, explained.err);
  t.regex(explained.out, /room on a worker/u);
  const unknown = await runCli(['task', 'explain', '00000000000000ff'], env);
  t.not(unknown.exitCode, 0);
  t.regex(unknown.err, /No job of that id is open/u);
});
