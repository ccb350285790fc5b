/**
 * All workers of an owner, and the roster that tells a successor which workers may have runs.
 */
import { NO_SIZE } from '../../infrastructure/sizes.js';
import type { RunEndKind, WorkerDescription } from '../../infrastructure/taskWorker.js';
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedTask } from '../model/ownedJob.js';
import type { ShareKeys } from '../store/jobKeys.js';
import type { ProgressJournal } from '../store/progressJournal.js';
import {
  FormerLeases,
  MAX_FORMER_LEASE_MS,
  SUCCESSOR_DISCOVERY_MS,
  type FormerOwner,
  type FormerWorker,
} from './formerLeases.js';
import { LeaseCountdown, type LeaseEnds, type LeaseLeft } from './leaseCountdown.js';
import { lowerOf, sparesOf } from './spareWorkers.js';
import type { DrainAnnouncement, WorkerAgent } from './workerAgent.js';
import { WorkerHealth } from './workerHealth.js';

/**
 * Time for which a worker owes an answer until its lease is counted down in the store, in
 * milliseconds; longer than until the second poll, since single answers get lost.
 */
const MIN_SILENCE_MS = 600;

/**
 * Highest age of an answer that shows that a worker knows no successor, in milliseconds; below the time
 * that a successor allows for it.
 */
const MAX_ANSWER_AGE_MS = SUCCESSOR_DISCOVERY_MS - 500;

/**
 * Time from when a draining worker may leave until its lease is over, in milliseconds. Most workers leave
 * soon after the time that they announced.
 */
const LEAVE_SLACK_MS = 500;

/**
 * Lease of a draining worker that stays for longer than that, in milliseconds: more than the time between two
 * records and that of storing one.
 */
const OVERSTAY_LEASE_MS = 3_000;

/** Time for which the contested data centres are not worked out again, in milliseconds. */
const CONTESTED_CACHE_MS = 20;

/** Most workers that a line of the log names. */
const MAX_LOGGED_WORKERS = 20;

const NO_DATA_CENTRES: ReadonlySet<string> = new Set();

/** A worker on which an owner may have started runs, as stored for its successor. */
export interface RosterEntry extends FormerWorker {
  readonly service: string;
  /** True if the worker was draining when the owner last read its description. */
  readonly draining: boolean;
  /** Revision of the store at which it had not announced that yet. Rosters of older versions lack it. */
  readonly drainsLaterThan?: number | undefined;
  /** Minimum time from its announcement until it leaves, in milliseconds. */
  readonly remainingMs?: number | undefined;
  /**
   * When the incarnation started on which an owner may have started runs, in Unix milliseconds. Rosters of
   * older versions lack it.
   */
  readonly bornMs?: number | undefined;
}

/** The workers that a former owner leaves to its successor. */
export interface FormerWorkers {
  /** Workers on which former owners may have started runs; undefined if they are not known. */
  readonly roster: readonly RosterEntry[] | undefined;
  /** Leases that the last owner no longer extended. */
  readonly leaseEnds: LeaseEnds;
  /**
   * Monotonic time by which the last owner that may have granted leases had lost the share, in
   * milliseconds.
   */
  readonly lastLossMs: number;
  /** That owner; undefined if it is not known. */
  readonly lastOwner?: FormerOwner | undefined;
}

const describeRosterEntry = (entry: RosterEntry): WorkerDescription => ({
  id: entry.id,
  address: entry.address,
  service: entry.service,
  dataCentre: entry.dataCentre,
  capacity: NO_SIZE,
  labels: [],
  phase: entry.draining ? 'draining' : 'ready',
  ...(entry.remainingMs === undefined ? {} : { remainingMs: entry.remainingMs }),
  coldMs: 0,
  bornMs: 0,
});

/** Names a worker at its address. */
const rosterNameOf = ({ id, address }: Pick<RosterEntry, 'id' | 'address'>): string =>
  `${id} ${address}`;

/** Settings and collaborators of a `WorkerFleet`. */
export interface WorkerFleetOptions {
  /** Creates the agent of a worker. */
  readonly makeAgent: (description: WorkerDescription) => WorkerAgent;
  readonly clock: Clock;
  /** Fencing token of the owner. */
  readonly fencingToken: number;
  /** Called when workers may have become usable. */
  readonly onUsable: () => void;
  /**
   * Called when a worker that has not announced that it leaves was not reached before its former leases lapsed.
   */
  readonly onUnreached: (agent: WorkerAgent) => void;
  /** Returns true if the store has answered lately. */
  readonly isStoreReachable: () => boolean;
  /**
   * Returns a monotonic time in milliseconds at which the store had not gone beyond a revision; negative
   * infinity if none is known.
   */
  readonly notBeyondMs: (revision: number) => number;
  /** Returns true if no other owner can have granted a lease yet. */
  readonly isSoleOwner: () => boolean;
  /** Returns true if no other owner can have granted a lease until a monotonic time in milliseconds. */
  readonly wasSoleOwnerAt: (timeMs: number) => boolean;
  /**
   * Returns a monotonic time in milliseconds by which the process of a former owner had ended; infinite while none is
   * known.
   */
  readonly processEndedMs: (owner: FormerOwner) => number;
}

/** Holds a worker agent for each worker. */
export class WorkerFleet {
  private readonly log = partLog('fleet');

  private readonly agents = new Map<string, WorkerAgent>();

  private readonly health = new Map<string, WorkerHealth>();

  /**
   * Workers of the former owner that have not reported all their runs and ends to this owner yet:
   * they may have runs, or have ended runs, that this owner does not know. With their entries in the
   * roster of the former owner.
   */
  private readonly unreportedWorkers = new Map<WorkerAgent, RosterEntry>();

  /** Ids of the workers that were draining when the former owner last read their descriptions. */
  private formerlyDraining: ReadonlySet<string> = new Set();

  private readonly formerLeases: FormerLeases;

  private readonly countdown: LeaseCountdown;

  private termBeganMs = 0;

  private journal!: ProgressJournal;

  private rosterKey = '';

  private lastRosterText = '';

  /** True once the directory has been read: a worker missing from it has left. */
  private isDirectoryKnown = false;

  /**
   * Workers in the stored roster and in the newest one, by id and address. Only these get tasks,
   * because a successor waits for the leases of the workers in the roster, at their addresses there,
   * and of no others.
   */
  private rostered: ReadonlySet<string> = new Set();

  /** Workers in the newest roster, which may not be stored yet. */
  private newestRostered: ReadonlySet<string> = new Set();

  /** Workers in any roster that a successor may find stored, with their data centres, by name. */
  private possiblyRostered = new Map<string, string>();

  /**
   * Number of workers of each data centre whose answers the owner does without: the lowest one by any roster
   * that a successor may find stored.
   */
  private spares: ReadonlyMap<string, number> = new Map();

  /** The same by the newest roster, which may not be stored yet. */
  private newestSpares: ReadonlyMap<string, number> = new Map();

  /** Number of contacts that owners before this one make necessary, by id of the worker. */
  private formerContactsNeeded: ReadonlyMap<string, number> = new Map();

  /** The workers of the newest roster, by id. */
  private newestEntries: ReadonlyMap<string, RosterEntry> = new Map();

  /**
   * Workers of former rosters, by name, that the newest one would leave out before all that they have reported is
   * stored: it overtakes that, and a successor would start their tasks again.
   */
  private readonly leaving = new Map<string, RosterEntry>();

  /** True once no owner before this one can act any more. */
  private areFormerOwnersOver = false;

  /**
   * Monotonic time until which any worker may hold leases of a former owner whose roster is not
   * known, in milliseconds. No roster is stored before, since it would hide that from a successor.
   */
  private rosterUnknownUntilMs = Number.NEGATIVE_INFINITY;

  /** True if the roster may differ from the one stored last. */
  private rosterChanged = true;

  /** Ids of workers that drain and have nothing left, as worked out last. */
  private drained: ReadonlySet<string> = new Set();

  /** The contested data centres, as worked out last. */
  private contested: ReadonlySet<string> = NO_DATA_CENTRES;

  private contestedAtMs = Number.NEGATIVE_INFINITY;

  /** Monotonic time beyond which no lease is extended since a handover began, in milliseconds. */
  private handoverLimitMs = Number.POSITIVE_INFINITY;

  /** True once the log says that the process of the last owner has ended. */
  private isOwnerEndLogged = false;

  /** The contested data centres as they were logged last. */
  private loggedContested = '';

  private readonly clock: Clock;

  /**
   * @param options - clock, and what the fleet asks its owner
   */
  constructor(private readonly options: WorkerFleetOptions) {
    const { clock, onUsable } = options;
    this.clock = clock;
    this.formerLeases = new FormerLeases(clock, options.processEndedMs);
    this.countdown = new LeaseCountdown(clock, onUsable);
  }

  /** @returns all agents */
  all(): readonly WorkerAgent[] {
    return [...this.agents.values()];
  }

  /**
   * Finds the agent of a worker.
   *
   * @param id - id of the worker
   * @returns the agent; undefined if the worker is not known
   */
  find(id: string): WorkerAgent | undefined {
    return this.agents.get(id);
  }

  /** @returns true while workers may have runs of a former owner that are not known yet */
  get hasUnreportedWorkers(): boolean {
    return this.unreportedWorkers.size > 0 || this.isFormerRosterUnknown;
  }

  /** @returns ids of the workers of the former owner that have not reported all their runs yet */
  get unreportedIds(): readonly string[] {
    return [...this.unreportedWorkers.keys()].map(({ id }) => id);
  }

  /** @returns number of workers of the former owner that have not reported all their runs yet */
  get unreportedCount(): number {
    return this.unreportedWorkers.size;
  }

  /**
   * Checks whether a worker can have no run of a former owner that is not known.
   *
   * @param id - id of the worker
   * @returns true once it has reported all its runs and ends or its leases have lapsed, and if it is not
   *   in the roster of the former owner
   */
  isAccountedFor(id: string): boolean {
    if (this.isFormerRosterUnknown) return false;
    const agent = this.agents.get(id);
    return agent === undefined || !this.unreportedWorkers.has(agent);
  }

  /**
   * Begins a term as owner with the workers of the former owner.
   *
   * @param journal - journal that stores the roster and the leases that are counted down
   * @param keys - keys of both
   * @param former - workers of former owners
   */
  beginTerm(
    journal: ProgressJournal,
    keys: Pick<ShareKeys, 'roster' | 'leases'>,
    { roster, leaseEnds, lastLossMs, lastOwner }: FormerWorkers,
  ): void {
    this.journal = journal;
    this.rosterKey = keys.roster;
    this.countdown.beginTerm(journal, keys.leases, leaseEnds);
    this.termBeganMs = this.clock.monotonicMs();
    const knownOwner = roster && lastOwner;
    this.formerLeases.beginTerm(leaseEnds, roster ?? [], lastLossMs, knownOwner);
    this.areFormerOwnersOver = roster?.length === 0;
    if (roster) this.waitForFormerWorkers(roster);
    else this.rosterUnknownUntilMs = this.formerLeases.latestEndMs;
  }

  private waitForFormerWorkers(roster: readonly RosterEntry[]): void {
    this.formerlyDraining = new Set(roster.filter(({ draining }) => draining).map(({ id }) => id));
    this.rostered = new Set(roster.map(rosterNameOf));
    this.newestRostered = this.rostered;
    this.newestEntries = new Map(roster.map((entry) => [entry.id, entry]));
    this.formerContactsNeeded = new Map(
      roster.map(({ id, contactsNeeded }) => [id, contactsNeeded]),
    );
    roster.forEach((entry) => {
      this.possiblyRostered.set(rosterNameOf(entry), entry.dataCentre);
      const agent = this.add(describeRosterEntry(entry));
      agent.isUnlisted = true;
      const announcement = this.announcementAfter(entry.drainsLaterThan);
      if (announcement) agent.noteAnnouncement(announcement);
      this.unreportedWorkers.set(agent, entry);
    });
  }

  /** Bounds the time of a description that was written after a revision of the store. */
  private announcementAfter(laterThan: number | undefined): DrainAnnouncement | undefined {
    if (laterThan === undefined) return undefined;
    const notBeforeMs = this.options.notBeyondMs(laterThan);
    return Number.isFinite(notBeforeMs) ? { laterThan, notBeforeMs } : undefined;
  }

  /**
   * Adds a worker or updates its description.
   *
   * @param description - the worker's current description
   * @param laterThan - revision of the store at which the worker had another description; undefined if none is
   *   known
   * @returns true if the worker is new, was not listed or has changed its phase
   */
  updateWorker(description: WorkerDescription, laterThan?: number): boolean {
    const known = this.agents.get(description.id);
    if (!known) {
      this.log.info('A worker is listed', {
        worker: description.id,
        address: description.address,
        dataCentre: description.dataCentre,
        phase: description.phase,
      });
      this.add(description);
      return true;
    }
    const before = known.description;
    if (before.phase !== description.phase || before.address !== description.address) {
      this.rosterChanged = true;
    }
    const wasUnlisted = known.isUnlisted;
    known.updateDescription(description, this.announcementAfter(laterThan));
    if (before.phase !== description.phase) {
      this.log.info('A worker has changed', {
        worker: description.id,
        phase: description.phase,
        remainingMs: description.remainingMs,
      });
    }
    return wasUnlisted || before.phase !== description.phase;
  }

  /**
   * Marks a worker as missing from the directory.
   *
   * @param id - id of the worker
   */
  markUnlisted(id: string): void {
    const agent = this.agents.get(id);
    if (!agent) return;
    agent.isUnlisted = true;
    this.log.info('A worker is no longer listed', { worker: id, runs: agent.runCount });
  }

  /**
   * Notes that a worker has accepted this owner's fencing token and refuses orders of former
   * owners.
   *
   * @param agent - its agent
   */
  markFenced(agent: WorkerAgent): void {
    this.rosterChanged = true;
    // A former owner learns of its successor only from workers that it calls: those of its roster.
    if (this.unreportedWorkers.has(agent)) this.formerLeases.markReached(agent.description);
  }

  /** Notes that a worker has started again: what came before is known to this owner. */
  markRestarted(): void {
    this.rosterChanged = true;
  }

  /**
   * Notes that another worker has answered at the address of a worker. A successor need not wait for
   * the worker.
   *
   * @param agent - its agent
   */
  markReplaced(agent: WorkerAgent): void {
    this.rosterChanged = true;
    this.markAccountedFor(agent, 'another worker answers at its address');
  }

  /**
   * Notes that a worker has reported all its runs and ends to this owner, or that it has none any more.
   *
   * @param agent - its agent
   * @param reason - how this was found out, for the log
   */
  markAccountedFor(agent: WorkerAgent, reason: string): void {
    if (!this.unreportedWorkers.delete(agent)) return;
    this.rosterChanged = true;
    this.log.info('A worker of the former owner is accounted for', {
      worker: agent.id,
      dataCentre: agent.description.dataCentre,
      reason,
      runs: agent.runCount,
      afterMs: Math.round(this.clock.monotonicMs() - this.termBeganMs),
      unreportedWorkers: this.unreportedWorkers.size,
    });
    if (this.unreportedWorkers.size === 0)
      this.log.info('All workers of the former owner are accounted for');
  }

  /**
   * Checks whether a worker drained when its former owner last read its description.
   *
   * @param id - id of the worker
   * @returns true if it did
   */
  wasDraining(id: string): boolean {
    return this.formerlyDraining.has(id);
  }

  /**
   * Checks whether runs of a former owner may have crashed a worker. Asked before the worker is accounted for.
   *
   * @param agent - the worker's agent
   * @param isGone - true if nothing of the worker runs any more
   * @returns true if it has ended or started again since, and had not announced that it leaves
   */
  mayHaveCrashed(agent: WorkerAgent, isGone: boolean): boolean {
    const { bornMs, description } = agent;
    const entry = this.unreportedWorkers.get(agent);
    if (!entry) return false;
    if (entry.draining || description.phase === 'draining') return false;
    if (isGone) return true;
    return bornMs !== undefined && entry.bornMs !== undefined && bornMs > entry.bornMs;
  }

  /**
   * Returns the time beyond which a worker's lease must not be extended.
   *
   * @param agent - the worker's agent
   * @returns monotonic time in milliseconds at which a successor may count the lease as over, going by a stored
   *   record; infinite if there is none
   */
  leaseLimitMs(agent: WorkerAgent): number {
    return this.countdown.limitMs(agent.id);
  }

  /**
   * Returns the time beyond which this owner extends no lease. Those of former owners may last longer.
   *
   * @param agent - the worker's agent
   * @returns monotonic time in milliseconds; infinite without a limit
   */
  extensionLimitMs(agent: WorkerAgent): number {
    return Math.min(this.leaseLimitMs(agent), this.handoverLimitMs);
  }

  /**
   * Checks whether a successor would know how long the lease of a worker lasts, if that is to be stored.
   *
   * @param agent - the worker's agent
   * @returns false while the lease is to be counted down and no record with it is stored
   */
  isCountdownStored(agent: WorkerAgent): boolean {
    return !this.shouldBeCountedDown(agent) || this.countdown.isStored(agent.id);
  }

  /**
   * Checks whether a worker's lease may be extended, within its limit.
   *
   * @param agent - the worker's agent
   * @returns false if a successor may count the lease as expired since it may have reached the worker itself
   *   or others of the data centre
   */
  mayExtendLease(agent: WorkerAgent): boolean {
    if (this.options.isSoleOwner()) return true;
    return (
      this.isAccepting(agent) && !this.contestedDataCentres().has(agent.description.dataCentre)
    );
  }

  /** Tells whether a worker has lately shown that it knows no successor. */
  private isAccepting({ answeredMs }: WorkerAgent): boolean {
    return answeredMs >= this.clock.monotonicMs() - MAX_ANSWER_AGE_MS;
  }

  /**
   * Lists the data centres in which a successor may have reached the workers by which it counts the leases
   * there: too many of the roster have not accepted this owner's fencing token for a while.
   */
  private contestedDataCentres(): ReadonlySet<string> {
    if (this.options.isSoleOwner()) return NO_DATA_CENTRES;
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.contestedAtMs + CONTESTED_CACHE_MS) return this.contested;
    const accepting = new Set(
      this.all()
        .filter((agent) => this.isAccepting(agent))
        .map(({ description }) => rosterNameOf(description)),
    );
    const missing = new Map<string, number>();
    this.possiblyRostered.forEach((dataCentre, name) => {
      if (!accepting.has(name)) missing.set(dataCentre, (missing.get(dataCentre) ?? 0) + 1);
    });
    this.contested = new Set(
      [...missing.keys()].filter(
        (dataCentre) => (missing.get(dataCentre) ?? 0) > (this.spares.get(dataCentre) ?? 0),
      ),
    );
    this.contestedAtMs = nowMs;
    return this.contested;
  }

  private logOwnerEnd(): void {
    if (this.isOwnerEndLogged || this.unreportedWorkers.size === 0) return;
    const endedMs = this.formerLeases.ownerEndedMs();
    if (!Number.isFinite(endedMs)) return;
    this.isOwnerEndLogged = true;
    this.log.info('The process of the former owner has ended', {
      endedAgoMs: Math.round(this.clock.monotonicMs() - endedMs),
      unreportedWorkers: this.unreportedWorkers.size,
    });
  }

  private logContested(): void {
    const dataCentres = [...this.contestedDataCentres()].sort().join(' ');
    if (dataCentres === this.loggedContested) return;
    this.loggedContested = dataCentres;
    this.log.warn('The data centres in which leases are not extended have changed', {
      dataCentres,
      silent: this.all().filter(({ isResponsive }) => !isResponsive).length,
    });
  }

  /**
   * Updates the health of a worker by the end of a run, and avoids the worker if too many runs
   * fail.
   *
   * @param agent - the worker's agent
   * @param task - the task
   * @param kind - how the run ended
   */
  recordRunEnd(agent: WorkerAgent, task: OwnedTask, kind: RunEndKind): void {
    if (kind !== 'done' && kind !== 'failed') return;
    const health = this.health.get(agent.id) ?? new WorkerHealth();
    this.health.set(agent.id, health);
    const nowMs = this.clock.monotonicMs();
    const avoidMs = health.recordEnd(task.step.occurrence.job.id, kind === 'failed', nowMs);
    if (avoidMs === 0) return;
    const avoided = agent;
    avoided.avoidUntilMs = Math.max(agent.avoidUntilMs, nowMs + avoidMs);
    this.log.warn('A worker fails what it runs and is avoided', { worker: agent.id, avoidMs });
  }

  /**
   * Lists the workers of a service that may get new tasks.
   *
   * @param service - the service
   * @param evacuated - data centres that get no tasks
   * @returns their agents
   */
  candidates(service: string, evacuated: ReadonlySet<string>): readonly WorkerAgent[] {
    return this.usable(evacuated).filter((agent) => agent.description.service === service);
  }

  /**
   * Lists the workers of all services that may get new tasks.
   *
   * @param evacuated - data centres that get no tasks
   * @returns their agents
   */
  usable(evacuated: ReadonlySet<string>): readonly WorkerAgent[] {
    return this.all().filter((agent) => this.isUsable(agent, evacuated));
  }

  /**
   * Checks whether a worker may get new tasks.
   *
   * @param agent - its agent
   * @param evacuated - data centres that get no tasks
   * @returns true if it may
   */
  isUsable(agent: WorkerAgent, evacuated: ReadonlySet<string>): boolean {
    return (
      agent.takesWork &&
      !this.countdown.has(agent.id) &&
      this.mayExtendLease(agent) &&
      this.isRostered(agent) &&
      !evacuated.has(agent.description.dataCentre)
    );
  }

  /**
   * Checks whether a successor waits for a worker.
   *
   * @param agent - its agent
   * @returns true if the worker is in the stored roster and in the newest one
   */
  isRostered({ description }: WorkerAgent): boolean {
    return this.rostered.has(rosterNameOf(description));
  }

  /**
   * Gives up on workers whose former leases have expired, removes those that have left, stores the
   * roster and the leases that are counted down.
   */
  maintain(): void {
    this.giveUpExpired();
    this.checkFormerOwners();
    this.logOwnerEnd();
    this.logContested();
    if (this.isDirectoryKnown) {
      this.all()
        .filter(
          (agent) => agent.isUnlisted && agent.runCount === 0 && !this.unreportedWorkers.has(agent),
        )
        .forEach((agent) => this.remove(agent));
    }
    this.checkDrained();
    this.storeRoster();
    this.countdown.update(this.leasesOf(this.countedDownAgents()));
  }

  /** Extends no lease beyond the end that it could be given now, until `unlimitLeases`. */
  limitLeases(): void {
    this.handoverLimitMs = this.clock.monotonicMs() + MAX_FORMER_LEASE_MS;
  }

  /** Extends leases as usual again. */
  unlimitLeases(): void {
    this.handoverLimitMs = Number.POSITIVE_INFINITY;
  }

  /**
   * Stops extending leases, and stores for a successor when they end: those of workers that have not answered
   * this owner one by one, since they may end later.
   */
  finishLeases(): void {
    if (this.isFormerRosterUnknown) return;
    const agents = this.all().filter((agent) => this.mayHoldRuns(agent));
    const named = agents.filter((agent) => !agent.isFenced || this.shouldBeCountedDown(agent));
    const others = agents
      .filter((agent) => !named.includes(agent))
      .map(({ id, leaseLeftMs = 0 }) => ({ id, leftMs: Math.ceil(leaseLeftMs) }));
    this.countdown.finish(this.leasesOf(named), others);
  }

  private formerLeaseLeftMs({ description }: WorkerAgent): number {
    return this.formerLeases.endMs(description) - this.clock.monotonicMs();
  }

  /** Handles a complete reading of the directory: workers that are missing have left. */
  onDirectoryRead(): void {
    this.isDirectoryKnown = true;
  }

  /** Gives up on workers whose former leases have expired. */
  private giveUpExpired(): void {
    if (this.unreportedWorkers.size === 0) return;
    const nowMs = this.clock.monotonicMs();
    this.unreportedWorkers.forEach((_entry, agent) => {
      // A worker that answers this owner keeps its ends, and this owner extends its lease.
      if (agent.mayHoldLease) return;
      const endMs = this.formerLeases.endMs(agent.description);
      // A successor unknown to this owner may have extended the lease before it ended.
      if (nowMs >= endMs && this.options.wasSoleOwnerAt(endMs)) this.giveUp(agent);
    });
  }

  private giveUp(agent: WorkerAgent): void {
    if (this.mayHaveCrashed(agent, true)) this.options.onUnreached(agent);
    this.unreportedWorkers.delete(agent);
    this.rosterChanged = true;
    this.log.warn('A worker of the former owner was not reached', {
      worker: agent.id,
      dataCentre: agent.description.dataCentre,
      reason: 'its leases have lapsed',
      afterMs: Math.round(this.clock.monotonicMs() - this.termBeganMs),
      unreportedWorkers: this.unreportedWorkers.size,
    });
  }

  /** Closes all agents. */
  close(): void {
    this.all().forEach((agent) => agent.close());
  }

  private add(description: WorkerDescription): WorkerAgent {
    const agent = this.options.makeAgent(description);
    this.agents.set(description.id, agent);
    this.rosterChanged = true;
    agent.run().catch((error: unknown) => {
      this.log.error('The agent of a worker has failed', {
        worker: description.id,
        reason: String(error),
      });
    });
    return agent;
  }

  private remove(agent: WorkerAgent): void {
    this.log.info('A worker is removed', { worker: agent.id });
    agent.close();
    this.agents.delete(agent.id);
    this.rosterChanged = true;
    this.health.delete(agent.id);
  }

  private get isFormerRosterUnknown(): boolean {
    return this.clock.monotonicMs() < this.rosterUnknownUntilMs;
  }

  /**
   * Tells whether a successor has to wait for a worker: this owner starts nothing before the worker
   * has accepted its fencing token, nor while it drains, and former owners may have started something
   * until their leases have certainly lapsed. An entry of the directory behind which nobody answers is
   * not waited for.
   */
  private mayHoldRuns(agent: WorkerAgent): boolean {
    if (this.unreportedWorkers.has(agent)) return true;
    return agent.isFenced && !this.drained.has(agent.id);
  }

  /**
   * Notes which workers drain and have nothing left. Nothing is started there, so a successor need not wait
   * for them; they are in the stored roster again before they are used.
   */
  private checkDrained(): void {
    const drained = new Set(
      this.all()
        .filter((agent) => agent.description.phase === 'draining' && agent.isVacant)
        .map(({ id }) => id),
    );
    const changed = [...drained, ...this.drained].filter(
      (id) => drained.has(id) !== this.drained.has(id),
    );
    if (changed.length === 0) return;
    this.drained = drained;
    this.rosterChanged = true;
    this.log.info('The workers that drain and have nothing left have changed', {
      workers: drained.size,
      added: changed.filter((id) => drained.has(id)).join(', '),
      removed: changed.filter((id) => !drained.has(id)).join(', '),
    });
  }

  /**
   * Tells whether a worker owes an answer. One whose lease the last owner had counted down does so from the
   * beginning.
   */
  private isSilent(agent: WorkerAgent): boolean {
    return !agent.isResponsive || (!agent.isFenced && this.countdown.has(agent.id));
  }

  /** Lists the workers whose leases are counted down: silent ones, and those that are about to leave. */
  private countedDownAgents(): readonly WorkerAgent[] {
    return this.all().filter((agent) => this.mayHoldRuns(agent) && this.shouldBeCountedDown(agent));
  }

  private leasesOf(agents: readonly WorkerAgent[]): readonly LeaseLeft[] {
    return agents.flatMap((agent) => {
      const heldMs = agent.leaseLeftMs ?? this.formerLeaseLeftMs(agent);
      const leftMs = this.isSilent(agent) ? heldMs : Math.max(heldMs, this.stayMs(agent));
      return Number.isFinite(leftMs)
        ? [{ id: agent.id, leftMs: Math.max(0, Math.ceil(leftMs)) }]
        : [];
    });
  }

  private shouldBeCountedDown(agent: WorkerAgent): boolean {
    const isSilent = this.isSilent(agent);
    if (!isSilent && agent.leavesAtMs === undefined) return false;
    if (this.countdown.has(agent.id)) return true;
    // In an outage the lease could not be extended again before a record is stored after it.
    if (!this.options.isStoreReachable()) return false;
    if (isSilent) return agent.silentMs >= MIN_SILENCE_MS;
    // No lease of a worker that stays for longer lasts until it leaves.
    return agent.isFenced && this.stayMs(agent) <= MAX_FORMER_LEASE_MS;
  }

  /** Returns for how long a draining worker's lease is extended, in milliseconds. */
  private stayMs({ leavesAtMs }: WorkerAgent): number {
    const leftMs = (leavesAtMs ?? 0) - this.clock.monotonicMs();
    return Math.max(leftMs + LEAVE_SLACK_MS, OVERSTAY_LEASE_MS);
  }

  /** Notes when the owners before this one have ended: from then on all entries begin with its own term. */
  private checkFormerOwners(): void {
    if (this.areFormerOwnersOver) return;
    if (this.clock.monotonicMs() < this.formerLeases.ownersEndMs) return;
    this.areFormerOwnersOver = true;
    this.rosterChanged = true;
  }

  private rosterEntryOf(agent: WorkerAgent, spares: ReadonlyMap<string, number>): RosterEntry {
    const { description, drainsLaterThan, announcedRemainingMs } = agent;
    const { id, address, service, dataCentre, phase } = description;
    const { fencingToken } = this.options;
    // An entry is passed on while it stays: in between, every owner has had it.
    const entry = this.areFormerOwnersOver ? undefined : this.newestEntries.get(id);
    const usedSinceTerm = entry?.usedSinceTerm ?? fencingToken;
    const formerNeeded =
      usedSinceTerm < fencingToken ? (this.formerContactsNeeded.get(id) ?? 1) : 1;
    return {
      id,
      address,
      service,
      dataCentre,
      draining: phase === 'draining',
      ...(phase === 'draining' && { drainsLaterThan, remainingMs: announcedRemainingMs }),
      calledSinceTerm: entry?.address === address ? entry.calledSinceTerm : fencingToken,
      usedSinceTerm,
      contactsNeeded: Math.max(formerNeeded, 1 + (spares.get(dataCentre) ?? 0)),
      bornMs: this.unreportedWorkers.has(agent)
        ? this.unreportedWorkers.get(agent)?.bornMs
        : agent.bornMs,
    };
  }

  /** Notes which workers of the newest roster are not in the next one although not all is stored. */
  private keepLeaving(next: readonly RosterEntry[]): void {
    const ids = new Set(next.map(({ id }) => id));
    this.leaving.forEach(({ id }, name) => {
      if (ids.has(id)) this.leaving.delete(name);
    });
    [...this.newestEntries.values()]
      .filter(({ id }) => !ids.has(id) && !this.drained.has(id))
      .forEach((entry) => {
        const name = rosterNameOf(entry);
        this.leaving.set(name, entry);
        this.journal.waitUntilStored(this.journal.newestSequence()).then(
          (isStored) => {
            if (!isStored || this.leaving.get(name) !== entry) return;
            this.leaving.delete(name);
            this.rosterChanged = true;
          },
          (error: unknown) => {
            this.log.error('A worker stays in the roster', {
              worker: entry.id,
              reason: String(error),
            });
          },
        );
      });
  }

  private storeRoster(): void {
    if (!this.rosterChanged || this.isFormerRosterUnknown) return;
    this.rosterChanged = false;
    const agents = this.all().filter((agent) => this.mayHoldRuns(agent));
    const spares = sparesOf(agents.map(({ description }) => description));
    const current = agents.map((agent) => this.rosterEntryOf(agent, spares));
    this.keepLeaving(current);
    this.newestEntries = new Map(current.map((entry) => [entry.id, entry]));
    const roster = [...current, ...this.leaving.values()];
    const text = JSON.stringify(roster);
    if (text === this.lastRosterText) return;
    this.lastRosterText = text;
    const sequence = this.journal.add({
      key: this.rosterKey,
      isUrgent: true,
      overtakes: true,
      value: () => text,
    });
    const handedMs = this.clock.monotonicMs();
    const names = new Set(current.map(rosterNameOf));
    const added = current.filter((entry) => !this.newestRostered.has(rosterNameOf(entry)));
    const storedNames = new Set(roster.map(rosterNameOf));
    this.newestRostered = names;
    this.newestSpares = spares;
    this.spares = lowerOf(this.spares, spares);
    roster.forEach((entry) => this.possiblyRostered.set(rosterNameOf(entry), entry.dataCentre));
    // A worker that leaves the roster gets nothing from now on, since the roster may be stored at any
    // time.
    this.rostered = new Set([...this.rostered].filter((name) => names.has(name)));
    this.journal.waitUntilStored(sequence, this.rosterKey).then(
      (stored) => {
        if (!stored) return;
        this.logStored(added, handedMs);
        this.spares = lowerOf(spares, this.newestSpares);
        this.rostered = new Set([...names].filter((name) => this.newestRostered.has(name)));
        this.possiblyRostered = new Map(
          [...this.possiblyRostered].filter(
            ([name]) => storedNames.has(name) || this.newestRostered.has(name),
          ),
        );
        this.options.onUsable();
      },
      (error: unknown) => {
        this.log.error('The roster of workers was not stored', { reason: String(error) });
      },
    );
  }

  /** Logs how long the workers waited that a stored roster adds. */
  private logStored(added: readonly RosterEntry[], handedMs: number): void {
    if (added.length === 0) return;
    const ids = added.slice(0, MAX_LOGGED_WORKERS).map(({ id }) => id);
    this.log.info('A roster with further workers is stored', {
      added: added.length,
      workers: ids.join(' '),
      tookMs: Math.round(this.clock.monotonicMs() - handedMs),
    });
  }
}
