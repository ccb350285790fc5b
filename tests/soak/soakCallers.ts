/**
 * Callers of the soak: they hand jobs in, ask for states, cancel, and go elsewhere where they are not
 * served. Connections stay open until the entry is gone.
 */
import { Agent, request as send } from 'node:http';

import type { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

import type { PromiseChecker } from './promiseChecker.js';
import { drawJob, isEndless, jobBody, type JobKinds, type SoakJob } from './soakJob.js';

/** Time for one call, in milliseconds. */
const CALL_MS = 3_000;

/** Tries of a caller, each at another entry. */
const TRIES = 6;

/** Longest wait that a caller takes from a refusal, in milliseconds. */
const LONGEST_WAIT_MS = 2_000;

/** Time between two looks at a state, in milliseconds. */
const LOOK_MS = 700;

/** Share of jobs that are cancelled. */
const CANCEL_SHARE = 0.08;

/** Time for which a watcher is wanted, in milliseconds. */
const WATCH_MS = 9_000;

/** Where an entry takes callers. */
export interface EntryAddress {
  readonly host: string;
  readonly port: number;
}

interface Reply {
  /** Zero if there was no whole answer. */
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  readonly retryAfterMs: number;
}

const NO_REPLY: Reply = { status: 0, body: {}, retryAfterMs: 100 };

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const isSuccess = ({ status }: Reply): boolean => status >= 200 && status < 300;

/** How much callers hand in. */
export interface SoakLoad {
  /** Mean time between two moments with jobs, in milliseconds. */
  readonly gapMs: number;
  /** Jobs of a moment. */
  readonly jobBurst: number;
  /** Times that a step has its usual tasks. */
  readonly stepWidth: number;
  readonly jobKinds: JobKinds;
}

/** What callers saw, by the second. */
export interface CallerCounts {
  served: number;
  refused: number;
  unanswered: number;
}

/** All callers. */
export class SoakCallers {
  /** Counts by second since the start. */
  readonly counts: CallerCounts[] = [];

  private readonly agent = new Agent({ keepAlive: true, maxSockets: 64 });

  private at = 0;

  /**
   * @param entries - where entries take callers
   * @param checker - hears what callers see
   */
  constructor(
    private readonly entries: readonly EntryAddress[],
    private readonly checker: PromiseChecker,
  ) {}

  /**
   * Hands jobs in until told to stop; each is followed to its end.
   *
   * @param random - source of random numbers
   * @param load - how much they hand in
   * @param isOver - tells whether no more jobs are to come
   */
  async drive(random: SeededRandom, load: SoakLoad, isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await sleep(random.exponential(load.gapMs));
      for (let count = 0; count < load.jobBurst; count += 1) {
        this.begin(random, load, isOver);
      }
    }
  }

  /**
   * Asks for the state of a job, at any entry.
   *
   * @param job - the job
   * @returns the state; undefined if nobody told it
   */
  async state(job: SoakJob): Promise<string | undefined> {
    const reply = await this.call(job, 'GET');
    const state = reply.status === 410 ? 'gone' : reply.body['State'];
    if (reply.status === 410 || (isSuccess(reply) && typeof state === 'string')) {
      this.checker.shown(job.id, String(state));
      return String(state);
    }
    return undefined;
  }

  /** Closes connections. */
  close(): void {
    this.agent.destroy();
  }

  private begin(
    random: SeededRandom,
    { stepWidth, jobKinds }: SoakLoad,
    isOver: () => boolean,
  ): void {
    const job = drawJob(random, stepWidth, jobKinds);
    const cancelAfterMs =
      isEndless(job) || random.fraction() < CANCEL_SHARE
        ? (isEndless(job) ? WATCH_MS : 1_500) * random.fraction()
        : undefined;
    this.live(job, cancelAfterMs, isOver).catch((error: unknown) => {
      this.checker.break('state', `the caller of ${job.id} has failed: ${String(error)}`);
    });
  }

  private async live(
    job: SoakJob,
    cancelAfterMs: number | undefined,
    isOver: () => boolean,
  ): Promise<void> {
    if (!(await this.submit(job))) return;
    const sinceMs = this.checker.nowMs();
    while (!isOver()) {
      await sleep(LOOK_MS);
      const isDue = cancelAfterMs !== undefined && this.checker.nowMs() - sinceMs >= cancelAfterMs;
      if (isDue) {
        await this.cancel(job);
        return;
      }
      const state = await this.state(job);
      if (state === 'completed' || state === 'failed') return;
    }
  }

  /**
   * Cancels a job, if need be again and again.
   *
   * @param job - the job
   */
  async cancel(job: SoakJob): Promise<void> {
    this.checker.cancelling(job.id);
    const reply = await this.call(job, 'DELETE');
    if (isSuccess(reply) || reply.status === 410) this.checker.cancelled(job.id);
  }

  /** Returns true once the job is accepted. */
  private async submit(job: SoakJob): Promise<boolean> {
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      this.checker.submitting(job);
      const reply = await this.once(job, 'POST');
      if (isSuccess(reply)) {
        this.checker.submitted(job.id, 'accepted');
        return true;
      }
      const isRefused = [404, 429, 503].includes(reply.status);
      this.checker.submitted(job.id, isRefused ? 'refused' : 'unknown');
      await sleep(Math.min(LONGEST_WAIT_MS, reply.retryAfterMs));
    }
    return false;
  }

  private async call(job: SoakJob, method: 'GET' | 'DELETE'): Promise<Reply> {
    let reply = NO_REPLY;
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      reply = await this.once(job, method);
      if (isSuccess(reply) || reply.status === 410) return reply;
      await sleep(Math.min(LONGEST_WAIT_MS, reply.retryAfterMs));
    }
    return reply;
  }

  private async once(job: SoakJob, method: 'POST' | 'GET' | 'DELETE'): Promise<Reply> {
    const entry = this.entries[this.at % this.entries.length];
    this.at += 1;
    const reply = entry ? await this.exchange(entry, job, method) : NO_REPLY;
    this.count(reply);
    return reply;
  }

  private count(reply: Reply): void {
    const second = Math.floor(this.checker.nowMs() / 1_000);
    this.counts[second] ??= { served: 0, refused: 0, unanswered: 0 };
    const counts = this.counts[second];
    if (reply.status === 0) counts.unanswered += 1;
    else if (isSuccess(reply) || reply.status === 410) counts.served += 1;
    else counts.refused += 1;
  }

  private exchange(entry: EntryAddress, job: SoakJob, method: string): Promise<Reply> {
    const text = method === 'POST' ? JSON.stringify(jobBody(job)) : '';
    const { agent } = this;
    return new Promise((resolve) => {
      const sent = send({
        ...entry,
        agent,
        method,
        path: job.queue.prefix + job.id,
        headers: {
          Host: job.queue.host,
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(text),
          'Samphirenotch-Deadline-Remaining': String(CALL_MS),
        },
        timeout: CALL_MS,
      });
      const timer = setTimeout(() => sent.destroy(), CALL_MS);
      sent.on('error', () => {
        clearTimeout(timer);
        resolve(NO_REPLY);
      });
      sent.on('response', (response) => {
        let body = '';
        response.setEncoding('utf8');
        response.on('data', (piece: string) => {
          body += piece;
        });
        response.on('error', () => resolve(NO_REPLY));
        response.on('end', () => {
          clearTimeout(timer);
          const retryAfterMs = 1_000 * Number(response.headers['retry-after'] ?? 0.1);
          const status = response.complete ? (response.statusCode ?? 0) : 0;
          resolve({ status, body: status ? JSON.parse(body) : {}, retryAfterMs });
        });
      });
      sent.end(text);
    });
  }
}
