/**
 * A worker of the platform: runs what it is ordered to run, under a lease on its own clock.
 *
 * The work of a task stands in the submission's Spec, as JSON: `{"workMs": [milliseconds by step]}`. With
 * `"spreadMs": milliseconds` and `"count": tasks of a step` the tasks of a step differ by their index.
 */
import { startServer } from './httpServer.js';

/** Most ends in one answer. */
const ENDS_PER_ANSWER = 500;

const TICK_MS = 10;

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** The worker. */
export class Worker {
  isUp = false;

  port = 0;

  /**
   * @param options - id, zone, labels, capacity, holdLimitMs, stopMs, and the recorder that is told what
   * happens
   */
  constructor(options) {
    this.options = options;
    this.labels = options.labels;
  }

  get id() {
    return this.options.id;
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  /** Starts a life of the worker, at the port of the former one if there was one. */
  async start() {
    this.bornMs = Date.now();
    this.clockStartMs = performance.now();
    this.token = 0;
    this.leaseUntilMs = 0;
    this.running = new Map();
    this.ends = [];
    this.sequence = 0;
    this.highest = new Map();
    this.waiting = new Set();
    const { server, port } = await startServer((call) => this.handle(call), { port: this.port });
    this.server = server;
    this.port = port;
    this.isUp = true;
    this.ticker = setInterval(() => this.tick(), TICK_MS);
  }

  /** Ends this life: nothing runs any more, and nothing of it is remembered. */
  stop() {
    this.isUp = false;
    clearInterval(this.ticker);
    this.server.closeAllConnections();
    this.server.close();
    this.running.forEach((run) => this.options.recorder.runEnded(this, run, 'lost'));
    this.ends.forEach((end) => this.options.recorder.endForgotten(this, end));
    this.running.clear();
  }

  /** What the worker writes into the directory. */
  describe(sequence, service) {
    const { zone, capacity } = this.options;
    return {
      Service: service,
      Address: this.address,
      Zone: zone,
      Version: '1',
      SlotCount: 8,
      State: 'ready',
      ColdLeftMs: 0,
      Sequence: sequence,
      Capacity: capacity,
      Labels: this.labels,
      born: this.bornMs,
    };
  }

  clockMs() {
    return Math.round(performance.now() - this.clockStartMs);
  }

  answer(status, fields = {}) {
    return { status, body: { ClockMs: this.clockMs(), born: this.bornMs, ...fields } };
  }

  async handle({ path, headers, body }) {
    const expected = headers['samphirenotch-expected-instance'];
    if (expected !== undefined && expected !== this.id) return { status: 421 };
    if (path === '/v1/run-start') return this.startRun(body);
    if (path === '/v1/run-stop') return this.stopRun(body);
    if (path === '/v1/pace') return this.pace(body);
    if (path === '/v1/hold') return this.hold(body);
    return { status: 404 };
  }

  takesToken({ FenceToken = 0 }) {
    if (FenceToken < this.token) return false;
    this.token = FenceToken;
    return true;
  }

  extendLease({ DeadlineMs = 0 }) {
    const longest = this.clockMs() + this.options.holdLimitMs;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(DeadlineMs, longest));
  }

  startRun(body) {
    const { Task: task, RunId: run, Spec: spec } = body;
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    if (body.DeadlineMs <= this.clockMs()) return this.answer(409, { Reason: 'late' });
    this.extendLease(body);
    if (this.running.get(task)?.run === run) return this.answer(200);
    if (run <= (this.highest.get(task) ?? 0)) return this.answer(409, { Reason: 'old' });
    const [, , step, index] = task.split('.').map(Number);
    const { workMs: workByStep, spreadMs = 0, count = 1 } = JSON.parse(spec);
    const workMs = workByStep[step] + (spreadMs * index) / count;
    const started = { task, run, workMs, startedMs: performance.now(), stopAtMs: Infinity };
    this.running.set(task, started);
    this.highest.set(task, run);
    this.options.recorder.runStarted(this, started);
    return this.answer(200);
  }

  stopRun(body) {
    const { Task: task, RunId: run } = body;
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    const known = this.running.get(task);
    if (known && known.run <= run) {
      known.stopAtMs = Math.min(known.stopAtMs, performance.now() + this.options.stopMs / 2);
    }
    return this.answer(200);
  }

  pace(body) {
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    return this.answer(200);
  }

  async hold(body) {
    if (!this.takesToken(body)) return this.answer(409, { Reason: 'fence' });
    this.extendLease(body);
    this.acknowledge(body.LastSeen ?? 0);
    const life = this.bornMs;
    if (this.ends.length === 0 && body.WaitMs > 0) await this.nextEnd(body.WaitMs);
    if (!this.isUp || this.bornMs !== life) return undefined;
    return this.answer(200, {
      Running: [...this.running.values()].map(({ task, run, workMs, startedMs }) => [
        task,
        run,
        '',
        Math.min(100, Math.floor((100 * (performance.now() - startedMs)) / workMs)),
        0,
      ]),
      Finished: this.ends
        .slice(0, ENDS_PER_ANSWER)
        .map(({ sequence, task, run, kind }) => [sequence, task, run, kind, '']),
    });
  }

  acknowledge(sequence) {
    this.ends
      .filter((end) => end.sequence <= sequence)
      .forEach((end) => this.options.recorder.endAcknowledged(this, end));
    this.ends = this.ends.filter((end) => end.sequence > sequence);
  }

  tick() {
    const nowMs = performance.now();
    const hasLapsed = this.clockMs() >= this.leaseUntilMs;
    if (hasLapsed) this.ends.forEach((end) => this.options.recorder.leaseLapsed(this, end));
    [...this.running.values()].forEach((run) => {
      if (hasLapsed) this.end(run, 'lapsed');
      else if (nowMs >= run.stopAtMs) this.end(run, 'stopped');
      else if (nowMs >= run.startedMs + run.workMs) this.end(run, 'done');
    });
  }

  end(run, kind) {
    this.running.delete(run.task);
    this.sequence += 1;
    const end = { sequence: this.sequence, task: run.task, run: run.run, kind };
    this.ends.push(end);
    this.options.recorder.runEnded(this, run, kind);
    const { waiting } = this;
    this.waiting = new Set();
    waiting.forEach((resolve) => resolve());
  }

  nextEnd(longestMs) {
    return Promise.race([
      sleep(longestMs),
      new Promise((resolve) => {
        this.waiting.add(resolve);
      }),
    ]);
  }
}
