/**
 * A bounded mixed load on a site: requests, tasks and watchers.
 */
import { randomUUID } from 'node:crypto';

import type { LoadPlan, RequestLoad } from './loadPlan.js';
import { pause } from './site.js';
import type { CallerRequest, SiteCaller } from './siteCaller.js';

const MS_PER_SECOND = 1000;
const WATCHER_WORK_MS = 600_000;
const TWIN_INTERVAL = 5;
const REPEAT_INTERVAL = 3;
const MAXIMUM_RESENDS = 3;
const RESEND_PAUSE_MS = 1000;

/** Sends the load of a site for some time. */
export class MixedLoad {
  private readonly inFlight = new Set<Promise<unknown>>();

  private tasksSent = 0;

  private keysSent = 0;

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

  private async sendRequest(load: RequestLoad): Promise<void> {
    const { taskClass, tenant, serviceMs, waitSeconds } = load;
    const body = `${taskClass} ${randomUUID()}`;
    const wanted = {
      service: this.plan.service,
      taskClass,
      tenant,
      serviceMs,
      waitSeconds,
      body,
    };
    if (load.keyed) await this.sendKeyed({ ...wanted, idempotencyKey: randomUUID() });
    else await this.caller.send(wanted);
  }

  /** Some keys are sent twice at once, some again after their answer, and all until they have one. */
  private async sendKeyed(wanted: CallerRequest): Promise<void> {
    this.keysSent += 1;
    const isRepeated = this.keysSent % REPEAT_INTERVAL === 0;
    const copies = this.keysSent % TWIN_INTERVAL === 0 ? 2 : 1;
    const first = await Promise.all(Array.from({ length: copies }, () => this.caller.send(wanted)));
    let answered = first.some(({ outcome }) => outcome === 'answered');
    for (let resends = 0; !answered && resends < MAXIMUM_RESENDS; resends += 1) {
      await pause(RESEND_PAUSE_MS);
      answered = (await this.caller.send(wanted)).outcome === 'answered';
    }
    if (!isRepeated) return;
    await pause(RESEND_PAUSE_MS);
    await this.caller.send(wanted);
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
