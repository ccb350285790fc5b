/**
 * A caller of a site: sends requests and tasks to its entries in turn, as a balancer would.
 */
import { randomUUID } from 'node:crypto';

import { request, type Dispatcher } from 'undici';

import type { CallerRecord, SubmittedTask } from './callerRecord.js';
import type { Site, SiteEntry } from './site.js';

/** A request to be sent. */
export interface CallerRequest {
  readonly service: string;
  readonly taskClass: string;
  readonly tenant: string;
  /** Service time at the worker, in milliseconds. */
  readonly serviceMs: number;
  readonly body: string;
  readonly idempotencyKey?: string;
  readonly waitSeconds: number;
}

/** A task to be submitted. */
export interface CallerTask {
  readonly taskClass: string;
  readonly tenant: string;
  readonly payload: string;
}

interface Problem {
  readonly title?: string;
  readonly outcome?: 'not-run' | 'unknown';
  readonly retryAfterMs?: number;
}

const HTTP_ERROR = 400;
const CLIENT_GRACE_MS = 2000;
const MS_PER_SECOND = 1000;

const isProblem = (response: Dispatcher.ResponseData): boolean =>
  String(response.headers['content-type']).startsWith('application/problem+json');

/** Sends requests and tasks, and keeps what it was told. */
export class SiteCaller {
  readonly records: CallerRecord[] = [];

  readonly tasks: SubmittedTask[] = [];

  /** Submissions that were refused or whose outcome is not known. */
  readonly failedSubmissions: string[] = [];

  /** Cancellations that got no answer. */
  readonly failedCancellations: string[] = [];

  private turn = 0;

  /**
   * @param site - the site that is called
   */
  constructor(private readonly site: Site) {}

  /**
   * Sends a request.
   *
   * @param wanted - what to send
   * @param entry - the entry to send it to; the next in turn if left out
   * @returns what the caller was told
   */
  async send(wanted: CallerRequest, entry: SiteEntry = this.nextEntry()): Promise<CallerRecord> {
    const requestId = randomUUID();
    const startedMs = performance.now();
    const outcome = await this.exchange(requestId, wanted, entry);
    const record: CallerRecord = {
      requestId,
      taskClass: wanted.taskClass,
      ...(wanted.idempotencyKey === undefined ? {} : { idempotencyKey: wanted.idempotencyKey }),
      ...outcome,
      latencyMs: performance.now() - startedMs,
    };
    this.records.push(record);
    return record;
  }

  /**
   * Submits a task, again under the same key if the outcome of the first try is not known.
   *
   * @param task - what to submit
   * @returns the accepted task, or nothing
   */
  async submit(task: CallerTask): Promise<SubmittedTask | undefined> {
    const key = randomUUID();
    for (let tries = 0; tries < 3; tries += 1) {
      const accepted = await this.submitOnce(task, key);
      if (accepted) {
        this.tasks.push(accepted);
        return accepted;
      }
    }
    this.failedSubmissions.push(key);
    return undefined;
  }

  /**
   * Reads something from an entry.
   *
   * @param path - path and query
   * @returns the parsed answer, or nothing if there is none
   */
  async read<T>(path: string): Promise<T | undefined> {
    try {
      const response = await request(`${this.nextEntry().origin}${path}`);
      const body = (await response.body.json()) as T;
      return response.statusCode < HTTP_ERROR ? body : undefined;
    } catch {
      return undefined;
    }
  }

  /**
   * Cancels a task.
   *
   * @param id - the task
   */
  async cancel(id: string): Promise<void> {
    try {
      const { origin } = this.nextEntry();
      const response = await request(`${origin}/tasks/${id}`, { method: 'DELETE' });
      await response.body.dump();
    } catch {
      this.failedCancellations.push(id);
    }
  }

  /** @returns the entry whose turn it is */
  nextEntry(): SiteEntry {
    const running = this.site.entries.filter(({ program }) => program.running);
    this.turn += 1;
    const entry = running[this.turn % running.length];
    if (!entry) throw new Error('No entry runs.');
    return entry;
  }

  private async exchange(
    requestId: string,
    wanted: CallerRequest,
    entry: SiteEntry,
  ): Promise<Pick<CallerRecord, 'outcome' | 'problem' | 'bodyMatches' | 'retryAfterMs'>> {
    const path = `/services/${wanted.service}/echo?ms=${wanted.serviceMs}`;
    try {
      const response = await request(`${entry.origin}${path}`, {
        method: 'POST',
        headers: {
          'x-request-id': requestId,
          'task-class': wanted.taskClass,
          tenant: wanted.tenant,
          prefer: `wait=${wanted.waitSeconds}`,
          ...(wanted.idempotencyKey === undefined
            ? {}
            : { 'idempotency-key': wanted.idempotencyKey }),
        },
        body: wanted.body,
        signal: AbortSignal.timeout(wanted.waitSeconds * MS_PER_SECOND + CLIENT_GRACE_MS),
      });
      if (isProblem(response)) {
        const answered = (await response.body.json()) as Problem;
        const { title: problem = 'unnamed', outcome = 'unknown', retryAfterMs } = answered;
        return { outcome, problem, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
      }
      return { outcome: 'answered', bodyMatches: (await response.body.text()) === wanted.body };
    } catch (error) {
      const { code } = error as { code?: string };
      return { outcome: code === 'ECONNREFUSED' ? 'not-run' : 'unknown' };
    }
  }

  private async submitOnce(task: CallerTask, key: string): Promise<SubmittedTask | undefined> {
    try {
      const response = await request(`${this.nextEntry().origin}/tasks`, {
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          tenant: task.tenant,
          'idempotency-key': key,
        },
        body: JSON.stringify({ taskClass: task.taskClass, payload: task.payload }),
      });
      const body = (await response.body.json()) as { id?: string };
      if (response.statusCode >= HTTP_ERROR || body.id === undefined) return undefined;
      return { id: body.id, taskClass: task.taskClass };
    } catch {
      return undefined;
    }
  }
}
