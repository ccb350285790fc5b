/**
 * Tickets of steps whose workers a policy service decides on.
 *
 * The service is slow and takes one call at a time, so it is asked about few workers, those first
 * that are known to be allowed, and for the most urgent step of the last pass first. That a worker
 * may or may not run a step never changes; only its ticket ends.
 */
import type { PolicyService } from '../../infrastructure/policyService.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

import { stepIdOf } from '../model/jobSpec.js';
import type { OwnedStep } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';

/** Workers asked about in one call: for so many the allowed time of a job counts the wait. */
const WORKERS_PER_CALL = 30;

/** Time for a call beyond what the service itself takes, in milliseconds; a round trip takes a few. */
const CALL_MARGIN_MS = 1_000;

/** Wait after a call that brought no decision, in milliseconds. */
const RETRY_DELAY_MS = 400;

/** A ticket is not used in its last moments, in milliseconds: the order must arrive in time. */
const TICKET_MARGIN_MS = 300;

/** Longest wait for a wish, in milliseconds. */
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

/** Asks for tickets and keeps them. */
export class StepPermissions {
  private readonly log = partLog('policy');

  private readonly states = new WeakMap<OwnedStep, StepState>();

  private readonly wakeup: Wakeup;

  private requests: DecisionRequest[] = [];

  private stepInFlight: OwnedStep | undefined;

  /**
   * @param policy - the policy service, if the site has one
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

  /** Forgets the wishes of the pass before. */
  beginPass(): void {
    this.requests = [];
  }

  /**
   * Finds the workers that a step may be started on now.
   *
   * @param step - the step
   * @param workers - workers that take work
   * @returns all of them for a queue without a policy, otherwise those with a ticket
   */
  startableWorkers(step: OwnedStep, workers: readonly WorkerAgent[]): readonly WorkerAgent[] {
    if (!step.occurrence.job.queue.policy) return workers;
    return workers.filter((agent) => this.ticketFor(step, agent) !== undefined);
  }

  /**
   * Finds the ticket for a start.
   *
   * @param step - the step
   * @param agent - the worker
   * @returns the ticket, or undefined if there is none that is still good
   */
  ticketFor(step: OwnedStep, agent: WorkerAgent): string | undefined {
    const known = this.states.get(step)?.tickets.get(agent.id);
    if (!known || this.clock.monotonicMs() >= known.untilMs) return undefined;
    return known.ticket;
  }

  /**
   * Tells which workers a step could use, the best first. What is told first is asked first.
   *
   * @param step - the step; of a queue with a policy
   * @param workers - workers with room for it
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
   * Tells whether the service is about to be asked for a step, or is being asked.
   *
   * @param step - the step
   * @returns true if its tasks may find workers by a decision
   */
  isDecisionPending(step: OwnedStep): boolean {
    return this.stepInFlight === step || this.requests.some((wish) => wish.step === step);
  }

  /**
   * Drops a ticket that a worker did not take.
   *
   * @param step - the step
   * @param workerId - the worker
   */
  dropTicket(step: OwnedStep, workerId: string): void {
    this.states.get(step)?.tickets.delete(workerId);
  }

  /**
   * Asks for what is wished, one call at a time.
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
      this.log.error('A step needs a policy service and the site has none', { stepId });
      return false;
    }
    const serviceMs = policyTimes.decisionMs + policyTimes.perWorkerMs * workers.length;
    const ids = workers.map(({ id }) => id);
    const call = callWithin(this.clock, serviceMs + CALL_MARGIN_MS, signal);
    const sentMs = this.clock.monotonicMs();
    const decision = await this.policy.decide(stepId, ids, call);
    if (decision.err) {
      this.log.warn('No decision of the policy service', {
        stepId,
        workers: ids.length,
        reason: decision.val.message,
      });
      return false;
    }
    const { tickets, validMs } = decision.val;
    this.log.info('The policy service has decided', {
      stepId,
      workers: ids.length,
      allowed: tickets.size,
      validMs,
    });
    const state = this.stateOf(step);
    // Decided at this time at the earliest; the answer may have waited to be read.
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
