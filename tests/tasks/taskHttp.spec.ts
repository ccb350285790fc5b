/**
 * HTTP interface of tasks at an entry that owns no partition and forwards to the owner.
 */
import { fetch, type Response } from 'undici';
import test, { type ExecutionContext } from 'ava';
import { taskServers, type TaskServers } from '../fixtures/taskServers.js';

interface TaskBody {
  readonly id: string;
  readonly state: string;
  readonly cursor?: string;
  readonly tasks?: readonly TaskBody[];
  readonly outcome?: string;
  readonly title?: string;
}

const HEADERS = { tenant: 'desk', 'content-type': 'application/json' };

const submit = (
  servers: TaskServers,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<Response> =>
  fetch(`${servers.url}/tasks`, {
    method: 'POST',
    headers: { ...HEADERS, ...headers },
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });

const read = async (response: Response): Promise<TaskBody> => (await response.json()) as TaskBody;

const startServers = async (t: ExecutionContext): Promise<TaskServers> => {
  const servers = await taskServers();
  t.teardown(() => servers.close());
  return servers;
};

// Guards against commands, queries or event streams that fail at an entry other than the owner.
test('should submit, follow to the end and show a task through another entry', async (t) => {
  const servers = await startServers(t);
  const response = await submit(servers, { taskClass: 'plan', payload: { runMs: 3_000 } });
  t.is(response.status, 201);
  const { id } = await read(response);
  t.is(response.headers.get('location'), `/tasks/${encodeURIComponent(id)}`);
  const events = await fetch(`${servers.url}/tasks/${id}/events`);
  const text = await events.text();
  t.true(text.includes('"state":"running"'));
  t.true(text.includes('"state":"completed"'));
  const shown = await read(await fetch(`${servers.url}/tasks/${id}`));
  t.is(shown.state, 'completed');
});

// Guards against duplicate jobs from concurrent retries of one submission.
test('should create one job for an idempotency key and refuse another task under it', async (t) => {
  const servers = await startServers(t);
  const key = { 'idempotency-key': 'k1' };
  const task = { taskClass: 'plan', payload: { runMs: 100 } };
  const all = await Promise.all([1, 2, 3].map(() => submit(servers, task, key)));
  const ids = await Promise.all(all.map(async (each) => (await read(each)).id));
  t.is(new Set(ids).size, 1);
  const other = await submit(servers, { ...task, payload: 'other' }, key);
  t.is(other.status, 409);
  t.is((await read(other)).outcome, 'not-run');
});

// Guards against a cancellation that is answered before the running task has ended.
test('should cancel a running task and explain where it runs', async (t) => {
  const servers = await startServers(t);
  const { id } = await read(
    await submit(servers, { taskClass: 'watch', payload: { runMs: 600_000 } }),
  );
  const at = `${servers.url}/tasks/${id}`;
  while ((await read(await fetch(at))).state !== 'running');
  const explained = (await (await fetch(`${at}/explain`)).json()) as { reason: string };
  t.is(explained.reason, 'placed');
  const cancelled = await fetch(at, { method: 'DELETE' });
  t.is(cancelled.status, 200);
  t.is((await read(cancelled)).state, 'cancelled');
});

// Guards against event streams that keep a stopping entry open, or end as if the task had ended.
test('should end the events of a task with a problem when the entry stops', async (t) => {
  const servers = await startServers(t);
  const { id } = await read(
    await submit(servers, { taskClass: 'watch', payload: { runMs: 600_000 } }),
  );
  const events = await fetch(`${servers.url}/tasks/${id}/events`);
  servers.drain();
  t.true((await events.text()).includes('event: problem'));
  t.true(
    ['queued', 'starting', 'running'].includes(
      (await read(await fetch(`${servers.url}/tasks/${id}`))).state ?? '',
    ),
  );
});

// Guards against tasks that are missing or repeated at the borders of pages and partitions.
test('should list all tasks page by page', async (t) => {
  const servers = await startServers(t);
  const task = { taskClass: 'plan', payload: { runMs: 10 } };
  const submitted = await Promise.all(Array.from({ length: 12 }, () => submit(servers, task)));
  const ids = await Promise.all(submitted.map(async (each) => (await read(each)).id));
  const listed: string[] = [];
  let cursor: string | undefined = '';
  while (cursor !== undefined) {
    const query: string = cursor === '' ? '' : `&cursor=${cursor}`;
    const page: TaskBody = await read(await fetch(`${servers.url}/tasks?limit=5${query}`));
    listed.push(...(page.tasks ?? []).map(({ id }) => id));
    cursor = page.cursor;
  }
  t.deepEqual([...listed].sort(), [...ids].sort());
});

// Guards against invalid input that is accepted, or that is refused without saying whether anything
// was run.
test('should answer invalid input with a problem that says that nothing was run', async (t) => {
  const servers = await startServers(t);
  const { url } = servers;
  const good = { taskClass: 'plan', payload: '' };
  const answers = await Promise.all([
    submit(servers, 'no json'),
    submit(servers, { ...good, extra: 1 }),
    submit(servers, { ...good, taskClass: 'unknown' }),
    submit(servers, { ...good, payload: 'x'.repeat(70_000) }),
    submit(servers, good, { tenant: 'stranger' }),
    fetch(`${url}/tasks`, { method: 'POST', body: JSON.stringify(good) }),
    fetch(`${url}/tasks?limit=0`),
    fetch(`${url}/tasks?cursor=zzz`),
    fetch(`${url}/tasks?state=sleeping`),
    fetch(`${url}/tasks`, { method: 'PATCH' }),
  ]);
  t.deepEqual(
    answers.map(({ status }) => status),
    answers.map(() => 400),
  );
  const bodies = await Promise.all(answers.map(read));
  t.true(bodies.every(({ outcome }) => outcome === 'not-run'));
  const missing = await Promise.all([
    fetch(`${url}/tasks/timaru~0~none`),
    fetch(`${url}/tasks/nonsense`),
    fetch(`${url}/tasks/a/b/c`),
    fetch(`${url}/tasks/timaru~0~none/events`),
  ]);
  t.deepEqual(
    missing.map(({ status }) => status),
    [404, 404, 404, 404],
  );
});

// Guards against a refusal that does not say when to retry and that nothing was run.
test('should refuse with a retry-after time when no owner of the partition is known', async (t) => {
  const servers = await startServers(t);
  servers.dropOwnership();
  const refused = await submit(servers, { taskClass: 'plan', payload: '' });
  t.is(refused.status, 503);
  t.truthy(refused.headers.get('retry-after'));
  t.is((await read(refused)).outcome, 'not-run');
});
