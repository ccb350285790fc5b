/**
 * All workers of an owner.
 */
import { NO_SIZE } from '../../infrastructure/sizes.js';
import type { RunEndKind, WorkerDescription } from '../../infrastructure/taskWorker.js';
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedTask } from '../model/ownedJob.js';
import type { ProgressJournal } from '../store/progressJournal.js';
import { MAXIMUM_UNCONFIRMED_MS } from '../store/term.js';
import type { WorkerAgent } from './workerAgent.js';
import { WorkerHealth } from './workerHealth.js';

/** Longest lease that a former owner can have granted last, with drift, in milliseconds. */
const MAX_FORMER_LEASE_MS = 6_500;

/** Time in which a former owner learns of its successor from a worker that both reach, in milliseconds. */
const SUCCESSOR_DISCOVERY_MS = 2_500;

/** A worker that a former owner may have started something on. */
export interface RosterEntry {
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  /** It was draining when the owner last heard of it. */
  readonly draining: boolean;
}

/** When a worker of the former owner can hold no lease any more, in monotonic milliseconds. */
interface FormerLease {
  /** If the former owner must have learned of its successor by now. */
  readonly expiresAtMs: number;
  /** If it may know of nothing. */
  readonly latestExpiryMs: number;
  readonly draining: boolean;
}

const describeRosterEntry = (entry: RosterEntry): WorkerDescription => ({
  id: entry.id,
  address: entry.address,
  service: entry.service,
  dataCentre: entry.dataCentre,
  capacity: NO_SIZE,
  labels: [],
  phase: entry.draining ? 'draining' : 'ready',
  coldMs: 0,
  bornMs: 0,
});

/** Holds an agent for each worker. */
export class WorkerFleet {
  private readonly log = partLog('fleet');

  private readonly agents = new Map<string, WorkerAgent>();

  private readonly health = new Map<string, WorkerHealth>();

  /** Workers that may run what nobody knows of. */
  private readonly unfencedWorkers = new Map<WorkerAgent, FormerLease>();

  private journal!: ProgressJournal;

  private rosterKey = '';

  private lastRosterText = '';

  /** The directory has been read: a worker that is not listed has left. */
  private isDirectoryKnown = false;

  /** Ids of workers that the stored roster names: a successor waits for what was started on them. */
  private rosteredIds: ReadonlySet<string> = new Set();

  /** The roster may differ from the one that was stored last. */
  private rosterChanged = true;

  /**
   * @param makeAgent - makes the agent of a worker
   * @param clock - time
   */
  constructor(
    private readonly makeAgent: (description: WorkerDescription) => WorkerAgent,
    private readonly clock: Clock,
  ) {}

  /** @returns all agents */
  all(): readonly WorkerAgent[] {
    return [...this.agents.values()];
  }

  /** @returns true while a run of a former owner may be unknown */
  get hasUnfencedWorkers(): boolean {
    return this.unfencedWorkers.size > 0;
  }

  /**
   * Sets what the term began with.
   *
   * @param journal - where the roster is written
   * @param rosterKey - its key
   * @param roster - workers of former owners
   */
  beginTerm(journal: ProgressJournal, rosterKey: string, roster: readonly RosterEntry[]): void {
    this.journal = journal;
    this.rosterKey = rosterKey;
    this.rosteredIds = new Set(roster.map(({ id }) => id));
    const leasesExpireMs = this.clock.monotonicMs() + MAX_FORMER_LEASE_MS;
    roster.forEach((entry) => {
      const agent = this.add(describeRosterEntry(entry));
      agent.isUnlisted = true;
      this.unfencedWorkers.set(agent, {
        expiresAtMs: leasesExpireMs + SUCCESSOR_DISCOVERY_MS,
        latestExpiryMs: leasesExpireMs + MAXIMUM_UNCONFIRMED_MS,
        draining: entry.draining,
      });
    });
  }

  /**
   * Takes news of a worker.
   *
   * @param description - the worker
   * @returns true if it is new or takes work again
   */
  updateWorker(description: WorkerDescription): boolean {
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
    known.updateDescription(description);
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
   * A worker has left the directory.
   *
   * @param id - the worker
   */
  markUnlisted(id: string): void {
    const agent = this.agents.get(id);
    if (!agent) return;
    agent.isUnlisted = true;
    this.log.info('A worker is no longer listed', { worker: id, runs: agent.runCount });
  }

  /**
   * A worker refuses orders of former owners from now on.
   *
   * @param agent - its agent
   */
  markFenced(agent: WorkerAgent): void {
    if (!this.unfencedWorkers.delete(agent)) return;
    if (this.unfencedWorkers.size === 0)
      this.log.info('All workers of the former owner are accounted for');
  }

  /**
   * Learns from the end of a run.
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
   * Lists workers that may get new tasks.
   *
   * @param service - their service
   * @param evacuated - data centres that get none
   * @returns their agents
   */
  candidates(service: string, evacuated: ReadonlySet<string>): readonly WorkerAgent[] {
    return this.usable(evacuated).filter((agent) => agent.description.service === service);
  }

  /**
   * Lists workers of all services that may get new tasks.
   *
   * @param evacuated - data centres that get none
   * @returns their agents
   */
  usable(evacuated: ReadonlySet<string>): readonly WorkerAgent[] {
    return this.all().filter(
      (agent) =>
        agent.takesWork &&
        this.rosteredIds.has(agent.id) &&
        !evacuated.has(agent.description.dataCentre),
    );
  }

  /** Drops workers that are gone, gives up waiting for those that cannot be reached, stores the roster. */
  maintain(): void {
    this.giveUpExpired();
    if (this.isDirectoryKnown) {
      this.all()
        .filter(
          (agent) => agent.isUnlisted && agent.runCount === 0 && !this.unfencedWorkers.has(agent),
        )
        .forEach((agent) => this.remove(agent));
    }
    this.storeRoster();
  }

  /** The directory is known: what drained and stays out of it has left. */
  onDirectoryRead(): void {
    this.isDirectoryKnown = true;
    const nowMs = this.clock.monotonicMs();
    this.unfencedWorkers.forEach(({ draining, expiresAtMs }, agent) => {
      // Entries that lapsed with an outage of the store come back within this time.
      const isSettled = nowMs >= expiresAtMs - MAX_FORMER_LEASE_MS;
      if (draining && agent.isUnlisted && isSettled) this.giveUp(agent, 'it drained and has left');
    });
  }

  /**
   * A former owner that reaches a worker also reaches the others of its data centre. If some of those
   * refuse it by now, it knows, and extends no lease.
   */
  private giveUpExpired(): void {
    if (this.unfencedWorkers.size === 0) return;
    const nowMs = this.clock.monotonicMs();
    const fenced = this.all().filter((agent) => agent.isFenced);
    const reached = new Set(fenced.map(({ description }) => description.dataCentre));
    this.unfencedWorkers.forEach(({ expiresAtMs, latestExpiryMs }, agent) => {
      const isReached = reached.has(agent.description.dataCentre);
      if (nowMs >= (isReached ? expiresAtMs : latestExpiryMs))
        this.giveUp(agent, 'its leases have lapsed');
    });
  }

  private giveUp(agent: WorkerAgent, reason: string): void {
    this.unfencedWorkers.delete(agent);
    this.log.warn('A worker of the former owner was not reached', { worker: agent.id, reason });
  }

  /** Ends all agents. */
  close(): void {
    this.all().forEach((agent) => agent.close());
  }

  private add(description: WorkerDescription): WorkerAgent {
    const agent = this.makeAgent(description);
    this.agents.set(description.id, agent);
    this.rosterChanged = true;
    agent.run().catch((error: unknown) => {
      this.log.error('An agent has failed', { worker: description.id, reason: String(error) });
    });
    return agent;
  }

  private remove(agent: WorkerAgent): void {
    this.log.info('A worker is dropped', { worker: agent.id });
    agent.close();
    this.agents.delete(agent.id);
    this.rosterChanged = true;
    this.health.delete(agent.id);
  }

  private storeRoster(): void {
    if (!this.rosterChanged) return;
    this.rosterChanged = false;
    const roster = this.all().map(({ description }) => ({
      id: description.id,
      address: description.address,
      service: description.service,
      dataCentre: description.dataCentre,
      draining: description.phase === 'draining',
    }));
    const text = JSON.stringify(roster);
    if (text === this.lastRosterText) return;
    this.lastRosterText = text;
    const sequence = this.journal.add({
      key: this.rosterKey,
      isUrgent: true,
      value: () => text,
    });
    const ids = new Set(roster.map(({ id }) => id));
    this.journal.waitUntilStored(sequence).then(
      (stored) => {
        if (stored) this.rosteredIds = ids;
      },
      (error: unknown) => {
        this.log.error('The roster was not stored', { reason: String(error) });
      },
    );
  }
}
