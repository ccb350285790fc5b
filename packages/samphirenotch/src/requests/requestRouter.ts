/**
 * Finds the place where a request runs: a worker of this entry, or one forward to a peer.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import type { Limit } from '../config/objects.js';
import type { AdmissionQueue } from '../decisions/admission.js';
import type { RetryPolicy } from '../decisions/retryPolicy.js';
import type { Failure, FailureCode } from '../failure.js';
import type { Peers } from '../membership/peers.js';
import type { Recorder } from '../observability/recorder.js';
import { Err } from '../results.js';
import type { SlotSource } from '../shards/shardService.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { ForwardClient } from './forwardClient.js';
import { SlotUse } from './slotUse.js';
import type { KeyedRequests } from './keyedRequests.js';
import { PeerChoice } from './peerChoice.js';
import { refusal, withEffect } from './refusal.js';
import { SendRace } from './sendRace.js';
import { ServiceQueue } from './serviceQueue.js';
import type { RequestTarget, ServiceOutcome, ServiceRequest } from './serviceRequest.js';
import { TenantLimits } from './tenantLimits.js';
import { TenantOverLimit } from './tenantOverLimit.js';
import type { WorkerExchange } from './workerExchange.js';

/** Peers that one request is handed to at most, one after the other. */
const MAXIMUM_FORWARDS = 2;

/** Places looked for at most, when owners of workers change meanwhile. */
const MAXIMUM_PLACES = 4;

const RETRY_AFTER_MS = 500;

/** Step of a refusal before anything was sent. */
const PLACE_STEP = 'requests.place';

/** What the router is made of. */
export interface RequestRouterParts {
  readonly entry: string;
  readonly clock: Clock;
  readonly recorder: Recorder;
  readonly configuration: ConfigurationView;
  readonly slots: SlotSource;
  readonly peers: Peers;
  readonly exchange: WorkerExchange;
  readonly forwards: ForwardClient;
  readonly keyed: KeyedRequests;
  readonly newAdmission: (service: string) => AdmissionQueue;
  readonly newRetryPolicy: (service: string) => RetryPolicy;
  /** Seed of the choice among peers. */
  readonly seed: number;
}

/** Steps that fail only before a request is sent to a worker. */
const UNSENT_STEPS: ReadonlySet<string> = new Set([PLACE_STEP, 'requests.queue', 'requests.send']);

/** The workers went to another owner while the request waited here. */
const wasLeftUnsent = ({ code, effect, step }: Failure): boolean =>
  code === 'not-owner' && effect === 'not-run' && UNSENT_STEPS.has(step);

interface ServiceState {
  readonly queue: ServiceQueue;
  readonly policy: RetryPolicy;
}

/** Routes requests. */
export class RequestRouter implements RequestTarget {
  private readonly services = new Map<string, ServiceState>();

  private readonly limits: TenantLimits;

  private readonly peerChoice: PeerChoice;

  private slotsInUse = 0;

  /**
   * @param parts - what the router is made of
   */
  constructor(private readonly parts: RequestRouterParts) {
    this.limits = new TenantLimits(parts.clock);
    this.peerChoice = new PeerChoice(parts.peers, parts.seed);
  }

  /** Requests that wait here for a slot; for the load summary. */
  get queuedRequests(): number {
    return [...this.services.values()].reduce((sum, { queue }) => sum + queue.size, 0);
  }

  async route(request: ServiceRequest, call: Call): Promise<ServiceOutcome> {
    const limit = this.limitOf(request.tenant);
    if (!limit) return Err(this.refuse('invalid', `There is no tenant ${request.tenant}.`));
    const waitMs = request.forwarded ? 0 : this.limits.take(request.tenant, limit, this.share());
    if (waitMs > 0) {
      this.parts.recorder.count('requests_refused', { why: 'tenant-rate' });
      const message = 'The tenant is over its rate of requests.';
      return Err(new TenantOverLimit(this.parts.entry, message, waitMs));
    }
    const startedMs = this.parts.clock.monotonicMs();
    const { idempotencyKey } = request;
    const send = (): Promise<ServiceOutcome> => {
      const admittedMs = this.parts.clock.monotonicMs();
      this.parts.recorder.time('admission', request, admittedMs - startedMs);
      return this.place(request, limit, call);
    };
    if (idempotencyKey === undefined) return send();
    return this.parts.keyed.run(request, idempotencyKey, call, send);
  }

  private async place(request: ServiceRequest, limit: Limit, call: Call): Promise<ServiceOutcome> {
    const triedPeers: string[] = [];
    let mayHaveRun = false;
    for (let places = 1; ; places += 1) {
      const forwards = triedPeers.length;
      const outcome = await this.placeOnce(request, limit, triedPeers, call);
      if (outcome.ok) return outcome;
      mayHaveRun ||= outcome.val.effect === 'unknown';
      const wasForwarded = triedPeers.length > forwards;
      const again = wasForwarded
        ? this.mayForwardAgain(request, outcome.val, triedPeers)
        : wasLeftUnsent(outcome.val);
      if (again && places < MAXIMUM_PLACES) continue;
      return mayHaveRun ? Err(withEffect(outcome.val, 'unknown')) : outcome;
    }
  }

  /** After a forward that failed: nothing was sent, or the request may be sent again. */
  private mayForwardAgain(
    request: ServiceRequest,
    failure: Failure,
    triedPeers: readonly string[],
  ): boolean {
    if (request.body.kind !== 'whole' || triedPeers.length >= MAXIMUM_FORWARDS) return false;
    if (failure.code !== 'unavailable' && failure.code !== 'not-owner') return false;
    if (failure.effect === 'not-run' && UNSENT_STEPS.has(failure.step)) return true;
    if (!request.idempotent) return false;
    const { policy } = this.serviceOf(request.service);
    return policy.tryRetry(this.parts.clock.monotonicMs());
  }

  private async placeOnce(
    request: ServiceRequest,
    limit: Limit,
    triedPeers: string[],
    call: Call,
  ): Promise<ServiceOutcome> {
    const { slots, configuration } = this.parts;
    const serves = slots.serves(request.service);
    if (serves && this.serviceOf(request.service).queue.size === 0) {
      const held = this.takeSlot(request, []);
      if (held) return this.dispatch(request, held, call);
    }
    const peer = request.forwarded
      ? undefined
      : this.peerChoice.choose(request.service, triedPeers, configuration.current());
    if (peer && (!serves || peer.load.freeSlots > 0)) {
      triedPeers.push(peer.id);
      return this.parts.forwards.forward(request, peer.id, call);
    }
    if (serves) return this.queueUp(request, limit, call);
    return Err(this.refuse('unavailable', 'No worker of the service is in reach.', RETRY_AFTER_MS));
  }

  private async queueUp(
    request: ServiceRequest,
    limit: Limit,
    call: Call,
  ): Promise<ServiceOutcome> {
    const { clock, recorder } = this.parts;
    const startedMs = clock.monotonicMs();
    if (!this.limits.enterQueue(request.tenant, limit, this.share())) {
      recorder.count('requests_refused', { why: 'tenant-queue' });
      const message = 'The tenant has too many waiting.';
      return Err(new TenantOverLimit(this.parts.entry, message, RETRY_AFTER_MS));
    }
    const slot = await this.serviceOf(request.service).queue.wait(this.wishOf(request), call);
    this.limits.leaveQueue(request.tenant);
    recorder.time('queue', request, clock.monotonicMs() - startedMs);
    if (slot.ok) return this.dispatch(request, this.hold(request, slot.val), call);
    recorder.count('requests_refused', { why: slot.val.code });
    return slot;
  }

  private wishOf({ taskClass, tenant }: ServiceRequest) {
    const set = this.parts.configuration.current();
    const priority = set?.taskClasses.get(taskClass)?.priority ?? 0;
    const tenantWeight = set?.tenants.get(tenant)?.weight ?? 1;
    return { taskClass, tenant, tenantWeight, priority };
  }

  private dispatch(request: ServiceRequest, held: SlotUse, call: Call): Promise<ServiceOutcome> {
    const { clock, recorder, exchange } = this.parts;
    const { policy } = this.serviceOf(request.service);
    if (!request.idempotent || request.body.kind !== 'whole') {
      return exchange.send(request, held, call);
    }
    const takeAnother = (tried: readonly string[]): SlotUse | undefined =>
      this.takeSlot(request, tried);
    const race = new SendRace({ clock, recorder, exchange, policy, takeAnother }, request, call);
    return race.run(held);
  }

  private takeSlot(request: ServiceRequest, tried: readonly string[]): SlotUse | undefined {
    const { service, taskClass } = request;
    const excluded = [...tried];
    for (;;) {
      const slot = this.parts.slots.takeSlot({ service, taskClass, excludedWorkers: excluded });
      if (!slot) return undefined;
      if (slot.maySend()) return this.hold(request, slot);
      slot.release({ kind: 'unused', latencyMs: 0 });
      excluded.push(slot.workerId);
    }
  }

  private hold(request: ServiceRequest, slot: SlotUse['slot']): SlotUse {
    this.slotsInUse += 1;
    return new SlotUse(slot, this.parts.clock, (kind, heldMs) => {
      this.slotsInUse -= 1;
      if (kind !== 'unused')
        this.serviceOf(request.service).queue.observe(request.taskClass, heldMs);
    });
  }

  private serviceOf(service: string): ServiceState {
    const known = this.services.get(service);
    if (known) return known;
    const { clock, entry, newAdmission, newRetryPolicy, slots } = this.parts;
    const slotsInUse = (): number => this.slotsInUse;
    const admission = newAdmission(service);
    const queue = new ServiceQueue({ service, admission, slots, clock, entry, slotsInUse });
    const fresh: ServiceState = { queue, policy: newRetryPolicy(service) };
    this.services.set(service, fresh);
    return fresh;
  }

  private limitOf(tenant: string): Limit | undefined {
    const set = this.parts.configuration.current();
    const found = set?.tenants.get(tenant);
    return found && set?.limits.get(found.limit);
  }

  /** The balancer spreads callers over the entries, so each may use its part of a limit. */
  private share(): number {
    return 1 / (this.parts.peers.live().length + 1);
  }

  private refuse(code: FailureCode, message: string, retryAfterMs?: number): Failure {
    const timed = retryAfterMs === undefined ? {} : { retryAfterMs };
    return refusal({ code, step: PLACE_STEP, peer: this.parts.entry, message, ...timed });
  }
}
