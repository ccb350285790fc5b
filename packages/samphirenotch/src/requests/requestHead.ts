/**
 * Reads what a caller asks for from the address and the headers of its request.
 */
import type { IncomingMessage } from 'node:http';
import type { ConfigurationSet, Limit, TaskClass, Tenant } from '../config/objects.js';
import type { Failure, FailureCode } from '../failure.js';
import { decodeName } from '../http/headerName.js';
import { Err, Ok, type Result } from '../results.js';
import { refusal } from './refusal.js';

const MS_PER_SECOND = 1_000;

/** Longest wait that a caller may ask for, in milliseconds. */
const MAXIMUM_WAIT_MS = 3_600_000;

const RETRY_AFTER_MS = 1_000;

const METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']);

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;

const ADDRESS = /^\/services\/([^/?#]+)(\/[^?#]*)?(\?[^#]*)?$/;

const WAIT = /(?:^|,)\s*wait\s*=\s*"?(\d+(?:\.\d+)?)"?\s*(?:;|,|$)/i;

/** What a caller asks for. */
export interface RequestHead {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly taskClass: TaskClass;
  readonly tenant: Tenant;
  readonly limit: Limit;
  readonly idempotent: boolean;
  readonly idempotencyKey?: string;
  /** Time that the caller gives, in milliseconds. */
  readonly timeoutMs: number;
}

const fail = (code: FailureCode, message: string): Err<Failure> =>
  Err(refusal({ code, step: 'requests.read', peer: 'caller', message }));

const headerOf = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(',') : value;
};

const nameOf = (request: IncomingMessage, header: string): string | undefined => {
  const value = headerOf(request, header);
  return value === undefined ? undefined : decodeName(value);
};

const findClass = (
  set: ConfigurationSet,
  service: string,
  asked: string | undefined,
): Result<TaskClass, Failure> => {
  const known = [...set.taskClasses.values()].filter(
    (each) => each.kind === 'request' && each.service === service,
  );
  const names = known.map(({ name }) => name).join(', ');
  if (asked === undefined && known.length !== 1) {
    return fail('invalid', `Name a Task-Class of the service: ${names}.`);
  }
  const found = asked === undefined ? known[0] : known.find(({ name }) => name === asked);
  return found ? Ok(found) : fail('invalid', `The service has no Task-Class ${asked}: ${names}.`);
};

const readTimeout = (request: IncomingMessage, taskClass: TaskClass): Result<number, Failure> => {
  const prefer = headerOf(request, 'prefer');
  const wait = prefer === undefined ? undefined : WAIT.exec(prefer)?.[1];
  if (wait === undefined) return Ok(taskClass.deadlineMs);
  const timeoutMs = Number(wait) * MS_PER_SECOND;
  if (timeoutMs > 0 && timeoutMs <= MAXIMUM_WAIT_MS) return Ok(timeoutMs);
  return fail('invalid', `Prefer: wait must be above 0 and at most ${MAXIMUM_WAIT_MS / 1_000}.`);
};

const readTenant = (
  request: IncomingMessage,
  set: ConfigurationSet,
): Result<{ readonly tenant: Tenant; readonly limit: Limit }, Failure> => {
  const name = nameOf(request, 'tenant');
  if (name === undefined) return fail('invalid', 'The Tenant header is missing.');
  const tenant = set.tenants.get(name);
  const limit = tenant && set.limits.get(tenant.limit);
  return limit ? Ok({ tenant, limit }) : fail('invalid', `There is no tenant ${name}.`);
};

const readKey = (request: IncomingMessage): Result<string | undefined, Failure> => {
  const key = headerOf(request, 'idempotency-key');
  if (key === undefined || IDEMPOTENCY_KEY.test(key)) return Ok(key);
  return fail('invalid', 'An Idempotency-Key has 1 to 255 visible ASCII characters.');
};

/**
 * Reads and checks the head of a request.
 *
 * @param request - the request as received
 * @param set - the configuration in force
 * @returns what the caller asks for
 */
export const readHead = (
  request: IncomingMessage,
  set: ConfigurationSet | undefined,
): Result<RequestHead, Failure> => {
  if (!set) {
    const message = 'No configuration is known yet.';
    const reason = { code: 'unavailable', step: 'requests.read', peer: 'caller' } as const;
    return Err(refusal({ ...reason, message, retryAfterMs: RETRY_AFTER_MS }));
  }
  const address = ADDRESS.exec(request.url ?? '');
  if (!address?.[1]) return fail('not-found', 'The address names no service.');
  const service = address[1];
  if (!set.services.has(service)) return fail('not-found', `There is no service ${service}.`);
  const method = request.method ?? '';
  if (!METHODS.has(method)) return fail('invalid', `The method ${method} is not served.`);
  const taskClass = findClass(set, service, nameOf(request, 'task-class'));
  if (taskClass.err) return taskClass;
  const tenant = readTenant(request, set);
  if (tenant.err) return tenant;
  const key = readKey(request);
  if (key.err) return key;
  const timeout = readTimeout(request, taskClass.val);
  if (timeout.err) return timeout;
  const path = `${address[2] ?? '/'}${address[3] ?? ''}`;
  const { idempotent } = taskClass.val;
  const keyed = !idempotent && key.val !== undefined ? { idempotencyKey: key.val } : {};
  const asked = { service, method, path, taskClass: taskClass.val, ...tenant.val };
  return Ok({ ...asked, idempotent, ...keyed, timeoutMs: timeout.val });
};
