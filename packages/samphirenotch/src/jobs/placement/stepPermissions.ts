/**
 * Requests and caches the tickets of steps whose workers are decided by a policy service.
 *
 * The service is slow and takes one call at a time. Each call therefore names few workers,
 * preferably those already known to be allowed, and the most urgent step of the last pass is asked
 * for first. Whether a worker may run a step never changes; only its ticket expires.
 */
import type { PolicyService } from '../../infrastructure/policyService.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

import { stepIdOf } from '../model/jobSpec.js';
import type { OwnedStep } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';

/**
 * Workers in one call at most: the time allowed for a job includes the decision time for so many.
 */
const WORKERS_PER_CALL = 30;

/**
 * Time allowed for a call beyond the service's own decision time, in milliseconds. A round trip
 * takes a few milliseconds.
 */
const CALL_MARGIN_MS = 1_000;

/** Delay after a call that returned no decision, in milliseconds. */
const RETRY_DELAY_MS = 400;

/**
 * Time before its expiry from which a ticket is no longer used, in milliseconds: the start must
 * reach the worker before the ticket expires.
 */
const TICKET_MARGIN_MS = 300;

/** Longest wait for a request, in milliseconds. */
const IDLE_WAIT_MS = 1_000;

interface Ticket {
  readonly ticket: string;
  readonly untilMs: number;
}

interface StepState {
  readonly tickets: Map<string, Ticket>;
  readonly allowed: Set<string>;
  readonly denied: Set<string>;
}

interface DecisionRequest {
  readonly step: OwnedStep;
  readonly workers: readonly WorkerAgent[];
}

/** Requests tickets and keeps them until they expire. */
export class StepPermissions {
  private readonly log = partLog('policy');

  private readonly states = new WeakMap<OwnedStep, StepState>();

  private readonly wakeup: Wakeup;

  private requests: DecisionRequest[] = [];

  private stepInFlight: OwnedStep | undefined;

  /**
   * @param policy - the policy service; undefined if the site has none
   * @param clock - time
   * @param onDecision - called after each decision
   */
  constructor(
    private readonly policy: PolicyService | undefined,
    private readonly clock: Clock,
    private readonly onDecision: () => void,
  ) {
    this.wakeup = new Wakeup(clock);
  }

  /** Discards the requests of the previous pass. */
  beginPass(): void {
    this.requests = [];
  }

  /**
   * Lists the workers on which a step may be started now.
   *
   * @param step - the step
   * @param workers - workers that accept tasks
   * @returns all of them if the queue has no policy, otherwise those with a valid ticket
   */
  startableWorkers(step: OwnedStep, workers: readonly WorkerAgent[]): readonly WorkerAgent[] {
    if (!step.occurrence.job.queue.policy) return workers;
    return workers.filter((agent) => this.ticketFor(step, agent) !== undefined);
  }

  /**
   * Returns the ticket for a start.
   *
   * @param step - the step
   * @param agent - the worker
   * @returns the ticket, or undefined if there is no valid one
   */
  ticketFor(step: OwnedStep, agent: WorkerAgent): string | undefined {
    const known = this.states.get(step)?.tickets.get(agent.id);
    if (!known || this.clock.monotonicMs() >= known.untilMs) return undefined;
    return known.ticket;
  }

  /**
   * Requests tickets for a step. Requests are sent to the service in the order of these calls.
   *
   * @param step - a step of a queue with a policy
   * @param workers - workers with enough free resources, the best first
   */
  requestTickets(step: OwnedStep, workers: readonly WorkerAgent[]): void {
    const { allowed, denied } = this.stateOf(step);
    const open = workers.filter(
      (agent) => !denied.has(agent.id) && this.ticketFor(step, agent) === undefined,
    );
    const known = open.filter(({ id }) => allowed.has(id));
    const requested = (known.length > 0 ? known : open).slice(0, WORKERS_PER_CALL);
    if (requested.length === 0) return;
    this.requests.push({ step, workers: requested });
    this.wakeup.wake();
  }

  /**
   * Tells whether a decision for a step is requested or in progress.
   *
   * @param step - the step
   * @returns true if a decision may soon allow workers for its tasks
   */
  isDecisionPending(step: OwnedStep): boolean {
    return this.stepInFlight === step || this.requests.some((wish) => wish.step === step);
  }

  /**
   * Drops a ticket that a worker refused.
   *
   * @param step - the step
   * @param workerId - id of the worker
   */
  dropTicket(step: OwnedStep, workerId: string): void {
    this.states.get(step)?.tickets.delete(workerId);
  }

  /**
   * Sends the requests to the policy service, one call at a time, until aborted.
   *
   * @param signal - ends the loop
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wish = this.requests.shift();
      if (wish?.step.occurrence.job.isOpen) {
        this.stepInFlight = wish.step;
        const decided = await this.requestDecision(wish, signal);
        this.stepInFlight = undefined;
        if (!decided) await this.clock.sleep(RETRY_DELAY_MS, signal);
      } else if (!wish) {
        await this.wakeup.wait(IDLE_WAIT_MS, signal);
      }
    }
  }

  private async requestDecision(
    { step, workers }: DecisionRequest,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { occurrence } = step;
    const stepId = stepIdOf(occurrence.job.id, occurrence.index, step.index);
    const { policy: policyTimes } = occurrence.job.queue;
    if (!this.policy || !policyTimes) {
      this.log.error('The queue of a step requires a policy service, but the site has none', {
        stepId,
      });
      return false;
    }
    const serviceMs = policyTimes.decisionMs + policyTimes.perWorkerMs * workers.length;
    const ids = workers.map(({ id }) => id);
    const call = callWithin(this.clock, serviceMs + CALL_MARGIN_MS, signal);
    const sentMs = this.clock.monotonicMs();
    const decision = await this.policy.decide(stepId, ids, call);
    if (decision.err) {
      this.log.warn('The policy service returned no decision', {
        stepId,
        workers: ids.length,
        reason: decision.val.message,
      });
      return false;
    }
    const { tickets, validMs } = decision.val;
    this.log.info('The policy service returned a decision', {
      stepId,
      workers: ids.length,
      allowed: tickets.size,
      validMs,
    });
    const state = this.stateOf(step);
    // The validity counts from the earliest time at which the service can have decided, not from
    // the time of the answer, which may have waited to be read.
    const untilMs = sentMs + serviceMs + validMs - TICKET_MARGIN_MS;
    ids.forEach((id) => {
      const ticket = tickets.get(id);
      if (ticket === undefined) {
        state.denied.add(id);
        return;
      }
      state.allowed.add(id);
      state.tickets.set(id, { ticket, untilMs });
    });
    this.onDecision();
    return true;
  }

  private stateOf(step: OwnedStep): StepState {
    const known = this.states.get(step);
    if (known) return known;
    const state = { tickets: new Map(), allowed: new Set<string>(), denied: new Set<string>() };
    this.states.set(step, state);
    return state;
  }
}
