/**
 * An entry: it serves callers, follows the store, and owns all jobs while it is elected.
 */
import type { PolicyService } from '../infrastructure/policyService.js';
import type { TaskWorkerDirectory } from '../infrastructure/taskWorker.js';
import type { TransactionStore } from '../infrastructure/transactionStore.js';
import { partLog } from '../observability/log.js';
import type { Gauge } from '../observability/prometheusText.js';
import type { Recorder } from '../observability/recorder.js';
import type { Clock } from '../time/clock.js';

import type { EntryStatus } from './entryStatus.js';
import { JobCommands } from './jobCommands.js';
import type { JobExplanation } from './jobExplanation.js';
import { SHARED_PREFIX } from './jobKeys.js';
import { JobOwner } from './jobOwner.js';
import { JobQueries } from './jobQueries.js';
import { JobReplica } from './jobReplica.js';
import { OperatorFollower } from './operatorFollower.js';
import { OwnerElection } from './ownerElection.js';
import type { SiteCodec } from './siteCodec.js';
import { StoreFollower } from './storeFollower.js';

/** Silence of the store after which an entry says that it is not ready, in milliseconds. */
const NOT_READY_MS = 2_000;

/** How long changes of jobs gather at an entry that does not own them, in milliseconds. */
const GATHER_MS = 200;

const wholeMs = (durationMs: number): number | undefined =>
  Number.isFinite(durationMs) ? Math.round(durationMs) : undefined;

/** What an entry is made of. */
export interface JobEntryOptions {
  readonly store: TransactionStore;
  readonly workers: TaskWorkerDirectory;
  /** Decides which workers may run a step; undefined if the site has no such service. */
  readonly policy: PolicyService | undefined;
  readonly codec: SiteCodec;
  readonly clock: Clock;
  readonly recorder: Recorder;
  /** Name of the entry. */
  readonly entry: string;
  /** Name of the process, another one after each start. */
  readonly process: string;
  /** Longest lease that workers take, in milliseconds. */
  readonly holdLimitMs: number;
  /** How long a stopping owner goes on while the store does not take its lease back. */
  readonly handoverMs: number;
  /** Share of a core that the entry's VM has. */
  readonly processorShare: number;
}

/** What the server of callers is given. */
export interface JobEntryParts {
  readonly commands: JobCommands;
  readonly queries: JobQueries;
  readonly operator: OperatorFollower;
}

/** One entry. */
export class JobEntry {
  readonly parts: JobEntryParts;

  private readonly replica = new JobReplica();

  private readonly operator: OperatorFollower;

  private readonly jobsFollower: StoreFollower;

  private readonly operatorFollower: StoreFollower;

  private readonly election: OwnerElection;

  private readonly log = partLog('entry');

  private readonly following = new AbortController();

  private ownerHere: JobOwner | undefined;

  /**
   * @param options - outside systems, clock and name
   */
  constructor(private readonly options: JobEntryOptions) {
    const { store, clock, codec } = options;
    this.operator = new OperatorFollower(codec);
    this.jobsFollower = new StoreFollower(store, SHARED_PREFIX, this.replica, clock, {
      gatherMs: () => (this.ownerHere ? 0 : GATHER_MS),
    });
    this.operatorFollower = new StoreFollower(store, codec.operatorPrefix, this.operator, clock);
    this.election = new OwnerElection({
      store,
      replica: this.replica,
      clock,
      entry: options.entry,
      process: options.process,
      handoverMs: options.handoverMs,
      processorShare: options.processorShare,
      serve: async (term) => {
        const { replica: jobs, operator, jobsFollower } = this;
        const viewAgeMs = (): number => jobsFollower.viewAgeMs();
        this.ownerHere = new JobOwner({ ...options, replica: jobs, operator, viewAgeMs }, term);
        try {
          await this.ownerHere.serve();
        } finally {
          this.ownerHere = undefined;
        }
      },
    });
    this.replica.whenCaughtUp(() => this.election.notify());
    const { replica } = this;
    this.parts = {
      commands: new JobCommands({ store, replica, follower: this.jobsFollower, clock }),
      queries: new JobQueries({ store, replica, follower: this.jobsFollower, clock }),
      operator: this.operator,
    };
  }

  /** @returns true if callers are served well here */
  isReady(): boolean {
    return (
      this.operator.view().configuration !== undefined &&
      this.jobsFollower.silenceMs() < NOT_READY_MS &&
      this.operatorFollower.silenceMs() < NOT_READY_MS
    );
  }

  /** @returns what this entry knows of itself and the site */
  status(): EntryStatus {
    const { configuration, evacuated } = this.operator.view();
    return {
      entry: this.options.entry,
      isReady: this.isReady(),
      owner: this.replica.owner()?.entry,
      configurationVersion: configuration?.version,
      evacuatedDataCentres: [...evacuated],
      storeAgeMs: wholeMs(this.jobsFollower.viewAgeMs()),
      storeSilentMs: wholeMs(this.jobsFollower.silenceMs()),
      jobsOpen: this.replica.openJobs().length,
      queues: (configuration?.queues ?? []).map(({ name }) => ({
        queue: name,
        waiting: this.parts.queries.waiting(name),
      })),
      ...(this.ownerHere ? { term: this.ownerHere.status() } : {}),
    };
  }

  /**
   * Explains a job.
   *
   * @param jobId - the job
   * @returns why its tasks wait or where they run; undefined at entries that do not own it
   */
  explain(jobId: string): JobExplanation | undefined {
    return this.ownerHere?.explain(jobId);
  }

  /** @returns values for metrics */
  gauges(): readonly Gauge[] {
    const gauge = (name: string, value: number): Gauge => ({ name, labels: {}, value });
    return [
      gauge('is_owner', this.ownerHere ? 1 : 0),
      gauge('jobs_open', this.replica.openJobs().length),
      gauge('configuration_version', this.operator.view().configuration?.version ?? 0),
      gauge('store_age_seconds', this.jobsFollower.viewAgeMs() / 1_000),
      gauge('store_silent_seconds', this.jobsFollower.silenceMs() / 1_000),
    ];
  }

  /**
   * Serves until told to stop; gives ownership back. Callers are served beyond that.
   *
   * @param signal - ends election and ownership
   */
  async run(signal: AbortSignal): Promise<void> {
    const followers = [this.jobsFollower, this.operatorFollower];
    followers.forEach((follower) =>
      follower.run(this.following.signal).catch((error: unknown) => {
        this.log.error('Following the store has failed', { reason: String(error) });
        this.following.abort();
      }),
    );
    await this.election.run(signal);
  }

  /** Stops following the store; callers are served no more. */
  close(): void {
    this.following.abort();
  }
}
