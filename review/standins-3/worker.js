/**
 * A worker of the platform, as the protocol page tells it. What its tasks do stands in the `Spec` of
 * their submission: the work of each step in milliseconds, 0 for tasks that last, negative for tasks that
 * fail after that time. `{"first": A, "then": B}` stands for A in the first run of a task and B in later ones.
 */
import { serve } from './http.js';

const TICK_MS = 10;
const STOP_MS = 50;
const START_UP_MS = 200;
const MOST_ENDS = 500;
const FULL = 100;

/** Tasks that have had a run on any worker. */
const everStarted = new Set();

const workOf = (work, task) => {
  if (typeof work === 'number') return work;
  return everStarted.has(task) ? work.then : work.first;
};

/** The worker. */
export class Worker {
  startedMs = performance.now();

  bornMs = Date.now();

  isUp = true;

  token = 0;

  leaseUntilMs = 0;

  running = new Map();

  ends = [];

  sequence = 0;

  highest = new Map();

  waiting = new Set();

  /**
   * @param options - id, zone, service, rack, cpu, memMb, holdLimitMs, and `record`, which gets what it sees
   */
  constructor(options) {
    this.options = options;
  }

  /** Starts serving. */
  async start() {
    const { server, port } = await serve((request) => this.handle(request));
    this.server = server;
    this.port = port;
    // A machine that is down takes no connections.
    server.on('connection', (socket) => {
      if (!this.isUp) socket.resetAndDestroy();
    });
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Ends serving. */
  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** What the worker writes into the store about itself. */
  entry(sequence) {
    const { service, zone, rack, cpu, memMb } = this.options;
    return {
      Service: service,
      Address: `127.0.0.1:${this.port}`,
      Zone: zone,
      Version: '1',
      SlotCount: 8,
      State: 'ready',
      ColdLeftMs: 0,
      Sequence: sequence,
      born: this.bornMs,
      Capacity: { Cpu: cpu, MemMb: memMb, Gpu: 0 },
      Labels: ['a', rack],
    };
  }

  /** The machine fails: connections end, and nothing runs any more. */
  crash() {
    this.isUp = false;
    this.running.forEach((run) => this.note('lost', run));
    this.running.clear();
    this.server.closeAllConnections();
  }

  /** It is back, as after a crash: it holds and knows nothing of before. */
  restart() {
    this.token = 0;
    this.leaseUntilMs = 0;
    this.ends = [];
    this.sequence = 0;
    this.highest.clear();
    this.startedMs = performance.now();
    this.bornMs = Math.max(Date.now(), this.bornMs + 1);
    this.isUp = true;
  }

  note(what, { task, run }) {
    this.options.record(what, { task, run, worker: this.options.id });
  }

  clockMs() {
    return Math.round(performance.now() - this.startedMs);
  }

  answer(status, fields = {}) {
    return { status, body: { ClockMs: this.clockMs(), born: this.bornMs, ...fields } };
  }

  async handle({ path, headers, body }) {
    if (!this.isUp) return undefined;
    const { bornMs } = this;
    const expected = headers['samphirenotch-expected-instance'];
    if (expected !== undefined && expected !== this.options.id) return this.answer(421);
    const token = body.FenceToken ?? 0;
    if (token < this.token) return this.answer(409, { Reason: 'fence' });
    this.token = token;
    if (path === '/v1/run-start') return this.startRun(body);
    if (path === '/v1/run-stop') return this.stopRun(body);
    if (path === '/v1/pace') return this.answer(200);
    if (path !== '/v1/hold') return this.answer(404);
    this.extend(body.DeadlineMs);
    this.ends = this.ends.filter(([sequence]) => sequence > (body.LastSeen ?? 0));
    if (this.ends.length === 0 && body.WaitMs > 0) await this.nextEnd(body.WaitMs);
    if (!this.isUp || this.bornMs !== bornMs) return undefined;
    return this.answer(200, {
      Running: [...this.running.values()].map((run) => [
        run.task,
        run.run,
        '',
        this.percentOf(run),
        run.workMs <= 0 ? 1 : this.options.cpu,
      ]),
      Finished: this.ends.slice(0, MOST_ENDS),
    });
  }

  extend(deadlineMs = 0) {
    const longestMs = this.clockMs() + this.options.holdLimitMs;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(deadlineMs, longestMs));
  }

  startRun({ Task: task, RunId: run, Spec: spec, DeadlineMs: deadlineMs }) {
    if (deadlineMs <= this.clockMs()) return this.answer(409, { Reason: 'late' });
    this.extend(deadlineMs);
    if (this.running.get(task)?.run === run) return this.answer(200);
    if (run <= (this.highest.get(task) ?? 0)) return this.answer(409, { Reason: 'old' });
    const step = Number(task.split('.')[2]);
    const workMs = workOf(JSON.parse(spec)[step], task);
    everStarted.add(task);
    const started = { task, run, workMs, startedMs: performance.now() };
    this.running.set(task, started);
    this.highest.set(task, run);
    this.note('started', started);
    return this.answer(200);
  }

  stopRun({ Task: task, RunId: run }) {
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    const known = this.running.get(task);
    if (known && known.run <= run) known.stopAtMs ??= performance.now() + STOP_MS;
    return this.answer(200);
  }

  percentOf({ workMs, startedMs }) {
    const atWorkMs = performance.now() - startedMs;
    if (workMs <= 0) return atWorkMs >= START_UP_MS ? FULL : 0;
    return Math.min(FULL - 1, Math.floor((FULL * atWorkMs) / workMs));
  }

  tick() {
    if (!this.isUp) return;
    const nowMs = performance.now();
    const hasLapsed = this.clockMs() >= this.leaseUntilMs;
    [...this.running.values()].forEach((run) => {
      if (hasLapsed) this.end(run, 'lapsed');
      else if (nowMs >= (run.stopAtMs ?? Infinity)) this.end(run, 'stopped');
      else if (run.workMs > 0 && nowMs >= run.startedMs + run.workMs) this.end(run, 'done');
      else if (run.workMs < 0 && nowMs >= run.startedMs - run.workMs) this.end(run, 'failed');
    });
  }

  end(run, how) {
    this.running.delete(run.task);
    this.sequence += 1;
    this.ends.push([this.sequence, run.task, run.run, how, '']);
    this.note(how, run);
    const waiting = [...this.waiting];
    this.waiting.clear();
    waiting.forEach((resolve) => resolve());
  }

  nextEnd(longestMs) {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, longestMs);
      this.waiting.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
