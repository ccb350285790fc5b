/**
 * An entry: serves callers, keeps a replica of the jobs in the store and schedules the jobs of the
 * shares that it is elected to own.
 */
import type { PolicyService } from '../../infrastructure/policyService.js';
import type { TaskWorkerDirectory } from '../../infrastructure/taskWorker.js';
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import type { Gauge } from '../../observability/prometheusText.js';
import type { Recorder } from '../../observability/recorder.js';
import type { Clock } from '../../time/clock.js';

import { OpenTaskLimit } from '../admission/openTaskLimit.js';
import type { JobSettings } from '../model/jobSettings.js';
import type { SiteCodec } from '../model/siteCodec.js';
import type { JobSpec } from '../model/jobSpec.js';
import type { EntryStatus, ShareJobExplanation, ShareStatus } from '../ownership/entryStatus.js';
import { ProcessRegistration } from '../ownership/processRegistration.js';
import { ShareOwners } from '../ownership/shareOwners.js';
import { SHARED_PREFIX } from '../store/jobKeys.js';
import { JobReplica } from '../store/jobReplica.js';
import { OperatorFollower } from '../store/operatorFollower.js';
import { ShareCapacityCache } from '../store/shareCapacityCache.js';
import { StoreFollower } from '../store/storeFollower.js';
import { JobCommands } from './jobCommands.js';
import { HomeSelector } from './homeSelector.js';
import { JobQueries } from './jobQueries.js';

/** Time without an answer of the store after which an entry reports not ready, in milliseconds. */
const MAX_STORE_SILENCE_MS = 2_000;

/** Time for which changes of jobs are batched at an entry without shares, in milliseconds. */
const BATCH_INTERVAL_MS = 200;

/**
 * Time for which changes of jobs are batched at an owner, in milliseconds; each answer of the store
 * costs it as much work as a start.
 */
const OWNER_BATCH_INTERVAL_MS = 30;

/** Age from which a status request reads the rooms of the shares again, in milliseconds. */
const MAX_STATUS_ROOMS_AGE_MS = 1_000;

const roundMs = (durationMs: number): number | undefined =>
  Number.isFinite(durationMs) ? Math.round(durationMs) : undefined;

/** Dependencies and settings of an entry. */
export interface JobEntryOptions {
  readonly store: TransactionStore;
  readonly workers: TaskWorkerDirectory;
  /** Decides which workers may run a step; undefined if the site has no policy service. */
  readonly policy: PolicyService | undefined;
  readonly codec: SiteCodec;
  readonly clock: Clock;
  readonly recorder: Recorder;
  /** Name of the entry. */
  readonly entry: string;
  /** Name of the process, as `processNameOf` makes it. */
  readonly process: string;
  /** Monotonic time by which this process had started, in milliseconds. */
  readonly processStartedMs: number;
  /** Longest lease that workers accept, in milliseconds. */
  readonly holdLimitMs: number;
  /**
   * How long a stopping owner keeps working while the store does not confirm the release of its
   * lease, in milliseconds.
   */
  readonly handoverMs: number;
  /** Processors of the entry's VM, as a fraction of a core. */
  readonly processorShare: number;
  readonly dataCentre: string;
  /** All data centres of the site; undefined if they are not known. */
  readonly siteDataCentres?: ReadonlySet<string> | undefined;
  /**
   * Time for workers to register before the site is divided into shares for the first time, in
   * milliseconds.
   */
  readonly layoutSettleMs: number;
  /** Optional features that the site enables. */
  readonly settings: JobSettings;
}

/** The interface of an entry to the server that receives requests of callers. */
export interface CallerApi {
  readonly commands: JobCommands;
  readonly queries: JobQueries;
  readonly operator: OperatorFollower;
}

/** One entry of a site. */
export class JobEntry {
  readonly callerApi: CallerApi;

  private readonly replica: JobReplica;

  private readonly operator: OperatorFollower;

  private readonly jobsFollower: StoreFollower;

  private readonly operatorFollower: StoreFollower;

  private readonly rooms: ShareCapacityCache;

  private readonly shareOwners: ShareOwners;

  private readonly registration: ProcessRegistration;

  private readonly log = partLog('entry');

  private readonly followersAbort = new AbortController();

  /**
   * @param options - external systems, clock, names and settings
   */
  constructor(private readonly options: JobEntryOptions) {
    const { store, clock, codec } = options;
    this.replica = new JobReplica(clock);
    this.operator = new OperatorFollower(codec);
    this.jobsFollower = new StoreFollower(store, SHARED_PREFIX, this.replica, clock, {
      pollDelayMs: () =>
        this.shareOwners.all().length > 0 ? OWNER_BATCH_INTERVAL_MS : BATCH_INTERVAL_MS,
    });
    this.operatorFollower = new StoreFollower(store, codec.operatorPrefix, this.operator, clock);
    this.rooms = new ShareCapacityCache(store, clock);
    const { replica, rooms, operator, jobsFollower } = this;
    const refresh = (): Promise<void> => jobsFollower.refresh();
    this.shareOwners = new ShareOwners({
      ...options,
      replica,
      rooms,
      operator,
      viewAgeMs: () => jobsFollower.viewAgeMs(),
      refreshReplica: refresh,
    });
    this.registration = new ProcessRegistration({ ...options, replica });
    replica.whenCaughtUp(() => {
      this.registration.notify();
      this.shareOwners.notify();
    });
    const homeSelector = new HomeSelector({
      ...options,
      replica,
      rooms,
      operator,
      refreshReplica: refresh,
    });
    const chooseHome = (job: JobSpec): Promise<string> => homeSelector.choose(job);
    this.callerApi = {
      commands: new JobCommands({
        store,
        replica,
        follower: jobsFollower,
        clock,
        rules: [new OpenTaskLimit({ replica, clock })],
        chooseHome,
      }),
      queries: new JobQueries({ store, replica, follower: this.jobsFollower, clock }),
      operator: this.operator,
    };
  }

  /** @returns true if the configuration is known and the store answers */
  isReady(): boolean {
    return (
      this.operator.view().configuration !== undefined &&
      this.jobsFollower.silenceMs() < MAX_STORE_SILENCE_MS &&
      this.operatorFollower.silenceMs() < MAX_STORE_SILENCE_MS
    );
  }

  /** @returns state of this entry and of the site as it sees it; also refreshes the rooms */
  status(): EntryStatus {
    this.refreshRooms();
    const { configuration, evacuated } = this.operator.view();
    return {
      entry: this.options.entry,
      isReady: this.isReady(),
      shares: this.shareStatuses(),
      roomAgeMs: roundMs(this.rooms.ageMs()),
      configurationVersion: configuration?.version,
      evacuatedDataCentres: [...evacuated],
      storeAgeMs: roundMs(this.jobsFollower.viewAgeMs()),
      storeSilentMs: roundMs(this.jobsFollower.silenceMs()),
      jobsOpen: this.replica.openJobs().length,
      queues: (configuration?.queues ?? []).map(({ name }) => ({
        queue: name,
        waiting: this.callerApi.queries.countWaiting(name),
      })),
      terms: this.shareOwners.all().map((owner) => owner.status()),
      workers: this.shareOwners.all().flatMap((owner) => owner.workers()),
    };
  }

  /**
   * Explains where the tasks of a job run and why others wait.
   *
   * @param jobId - the job
   * @returns explanation by its home, or else by a share it is delegated to; undefined at entries
   *   that own neither
   */
  explain(jobId: string): ShareJobExplanation | undefined {
    const found = this.shareOwners.all().flatMap((owner) => owner.explain(jobId) ?? []);
    return found.find(({ share, home }) => share === home) ?? found[0];
  }

  /**
   * Looks up the home share of a job and the owner of that share.
   *
   * @param jobId - the job
   * @returns the home and the entry that owns it, if any; undefined if no job of that id is open
   */
  homeOf(
    jobId: string,
  ): { readonly share: string; readonly owner: string | undefined } | undefined {
    const { replica } = this;
    const job = replica.find(jobId);
    if (!job || replica.isTerminal(jobId)) return undefined;
    const share = replica.homeOf(job);
    return { share, owner: replica.shares.owner(share)?.entry };
  }

  /** @returns current values of the metrics */
  gauges(): readonly Gauge[] {
    const gauge = (name: string, value: number): Gauge => ({ name, labels: {}, value });
    const terms = this.shareOwners.all().map((owner) => owner.status());
    return [
      gauge('shares_owned', terms.length),
      gauge(
        'delegations_away',
        terms.reduce((sum, { delegationsAway }) => sum + delegationsAway, 0),
      ),
      gauge(
        'delegations_taken',
        terms.reduce((sum, { delegationsTaken }) => sum + delegationsTaken, 0),
      ),
      gauge('jobs_open', this.replica.openJobs().length),
      gauge('configuration_version', this.operator.view().configuration?.version ?? 0),
      gauge('store_age_seconds', this.jobsFollower.viewAgeMs() / 1_000),
      gauge('store_silent_seconds', this.jobsFollower.silenceMs() / 1_000),
    ];
  }

  /**
   * Takes part in elections and owns shares until the signal, then releases ownership. Callers are
   * still served afterwards, until `close`.
   *
   * @param signal - ends elections and ownership
   */
  async run(signal: AbortSignal): Promise<void> {
    const followers = [this.jobsFollower, this.operatorFollower];
    followers.forEach((follower) =>
      follower.run(this.followersAbort.signal).catch((error: unknown) => {
        this.log.error('The store follower failed', { reason: String(error) });
        this.followersAbort.abort();
      }),
    );
    await Promise.all([this.registration.run(signal), this.shareOwners.run(signal)]);
  }

  /** Refreshes the rooms in the background; the next status shows the result. */
  private refreshRooms(): void {
    this.rooms.refresh(MAX_STATUS_ROOMS_AGE_MS).catch((error: unknown) => {
      this.log.error('Cannot read the rooms of the shares', { reason: String(error) });
    });
  }

  private shareStatuses(): readonly ShareStatus[] {
    const { replica, rooms } = this;
    const { layout } = replica.shares;
    const homeSelector = replica.openJobs().map((job) => replica.homeOf(job));
    return (layout?.shares ?? []).map(({ id }) => {
      const room = rooms.capacityOf(id);
      const owner = replica.shares.owner(id);
      return {
        share: id,
        owner: owner?.entry,
        ownerDataCentre: owner?.dataCentre,
        ownerProcessorShare: owner?.processorShare,
        fencingToken: owner?.revision,
        capacityMilliCores: room.capacity,
        unusedMilliCores: room.unused,
        waitingMilliCores: room.waiting,
        jobsOpen: homeSelector.filter((home) => home === id).length,
      };
    });
  }

  /** Stops following the store, after which callers can no longer be served. */
  close(): void {
    this.followersAbort.abort();
  }
}
