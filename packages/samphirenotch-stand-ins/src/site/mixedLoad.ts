/**
 * A bounded mixed load on a site: requests, tasks and watchers.
 */
import { randomUUID } from 'node:crypto';

import type { LoadPlan, RequestLoad } from './loadPlan.js';
import { pause } from './site.js';
import type { SiteCaller } from './siteCaller.js';

const MS_PER_SECOND = 1000;
const WATCHER_WORK_MS = 600_000;

/** Sends the load of a site for some time. */
export class MixedLoad {
  private readonly inFlight = new Set<Promise<unknown>>();

  private tasksSent = 0;

  /**
   * @param caller - who sends
   * @param plan - what is sent
   */
  constructor(
    private readonly caller: SiteCaller,
    private readonly plan: LoadPlan,
  ) {}

  /**
   * Sends until the signal aborts, then waits for the last answers.
   *
   * @param signal - ends the load
   */
  async run(signal: AbortSignal): Promise<void> {
    await this.startWatchers();
    const requests = this.plan.requests.map((load) =>
      this.repeat(load.perSecond, signal, () => this.sendRequest(load)),
    );
    const tasks = this.repeat(this.plan.tasks.perSecond, signal, () => this.submitTask());
    await Promise.all([...requests, tasks]);
    await Promise.all(this.inFlight);
  }

  private async startWatchers(): Promise<void> {
    const { taskClass, tenant, count } = this.plan.watchers;
    const payload = JSON.stringify({ runMs: WATCHER_WORK_MS });
    const submissions = Array.from({ length: count }, () =>
      this.caller.submit({ taskClass, tenant, payload }),
    );
    await Promise.all(submissions);
  }

  /** Keeps to the rate over the whole time, also after a late turn. */
  private async repeat(
    perSecond: number,
    signal: AbortSignal,
    send: () => Promise<unknown>,
  ): Promise<void> {
    const startMs = performance.now();
    for (let sent = 0; !signal.aborted; sent += 1) {
      const dueMs = startMs + (sent * MS_PER_SECOND) / perSecond;
      if (dueMs > performance.now()) await pause(dueMs - performance.now());
      this.track(send());
    }
  }

  private track(sending: Promise<unknown>): void {
    this.inFlight.add(sending);
    sending.finally(() => this.inFlight.delete(sending)).catch(() => undefined);
  }

  private sendRequest(load: RequestLoad): Promise<unknown> {
    const { taskClass, tenant, serviceMs, waitSeconds, keyed } = load;
    return this.caller.send({
      service: this.plan.service,
      taskClass,
      tenant,
      serviceMs,
      waitSeconds,
      body: `${taskClass} ${randomUUID()}`,
      ...(keyed ? { idempotencyKey: randomUUID() } : {}),
    });
  }

  private submitTask(): Promise<unknown> {
    const { taskClass, tenant, shortestMs, longestMs } = this.plan.tasks;
    // Spread evenly over the range, and the same in every run.
    const share = (this.tasksSent * 0.618) % 1;
    this.tasksSent += 1;
    const runMs = Math.round(shortestMs + share * (longestMs - shortestMs));
    return this.caller.submit({ taskClass, tenant, payload: JSON.stringify({ runMs }) });
  }
}
