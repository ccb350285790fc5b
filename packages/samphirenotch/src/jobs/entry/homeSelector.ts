/**
 * Selects the home share of each submitted job, from the latest state of all shares.
 */
import { SeededRandom } from '../../decisions/seededRandom.js';
import { partLog } from '../../observability/log.js';

import type { JobSpec } from '../model/jobSpec.js';
import { WHOLE_SITE_SHARE_ID, type Share } from '../model/shareLayout.js';
import {
  peakDemand,
  PowerOfTwoChoices,
  type HomeCandidate,
  type HomeChoice,
} from '../placement/homeChoice.js';
import type { JobReplica } from '../store/jobReplica.js';
import type { OperatorFollower } from '../store/operatorFollower.js';
import type { ShareCapacityCache } from '../store/shareCapacityCache.js';

/** Dependencies of a home selector. */
export interface HomeSelectorOptions {
  readonly replica: JobReplica;
  readonly rooms: ShareCapacityCache;
  readonly operator: OperatorFollower;
  readonly dataCentre: string;
  /** Brings the replica of jobs up to date. */
  readonly refreshReplica: () => Promise<void>;
  /** Name of this process; seeds the random choice, so that entries with the same view differ. */
  readonly process: string;
}

/** Age from which the rooms of the shares are read again, in milliseconds. */
const MAX_ROOMS_AGE_MS = 3_000;

const SEED_FACTOR = 31;
const SEED_BOUND = 2 ** 31;

const seedOf = (text: string): number =>
  [...text].reduce(
    (seed, character) => (seed * SEED_FACTOR + character.charCodeAt(0)) % SEED_BOUND,
    1,
  );

/** Selects homes for the jobs that one entry accepts. */
export class HomeSelector {
  private readonly log = partLog('homes');

  private readonly choice: HomeChoice;

  /** Demand of the open jobs by home share, in thousandths of a core; valid at `loadsRevision`. */
  private loadByHome: ReadonlyMap<string, number> = new Map();

  private loadsRevision = -1;

  /**
   * @param options - replica, rooms and properties of the entry
   */
  constructor(private readonly options: HomeSelectorOptions) {
    this.choice = new PowerOfTwoChoices(new SeededRandom(seedOf(options.process)));
  }

  /**
   * Selects the home of a job.
   *
   * @param job - the job
   * @returns id of the share
   */
  async choose(job: JobSpec): Promise<string> {
    const { replica } = this.options;
    const { layout } = replica.shares;
    if (!layout) return WHOLE_SITE_SHARE_ID;
    const [only] = layout.shares;
    if (layout.shares.length === 1) return only.id;
    // Other entries may have accepted jobs since the last update.
    await Promise.all([this.ensureRoomsRead(), this.options.refreshReplica()]);
    this.refreshLoads();
    const candidates = layout.shares.map((share) => this.candidate(share));
    return this.choice.choose(job, candidates);
  }

  /**
   * Refreshes the rooms of the shares. They change slowly, unlike the demand of jobs, so only jobs
   * before the first successful read wait for it.
   */
  private async ensureRoomsRead(): Promise<void> {
    const { rooms } = this.options;
    const reading = rooms.refresh(MAX_ROOMS_AGE_MS);
    if (rooms.ageMs() === Number.POSITIVE_INFINITY) {
      await reading;
      return;
    }
    reading.catch((error: unknown) => {
      this.log.error('Cannot read the rooms of the shares', { reason: String(error) });
    });
  }

  private candidate(share: Share): HomeCandidate {
    const { replica, rooms, operator, dataCentre } = this.options;
    const { evacuated } = operator.view();
    return {
      share: share.id,
      isOwned: replica.shares.owner(share.id) !== undefined,
      isLocal: share.dataCentres.includes(dataCentre),
      room: rooms.capacityOf(share.id),
      isEvacuated: share.dataCentres.every((name) => evacuated.has(name)),
      load: this.loadByHome.get(share.id) ?? 0,
    };
  }

  /** Recomputes the demand by home only if the replica has changed: many jobs arrive in between. */
  private refreshLoads(): void {
    const { replica } = this.options;
    if (replica.revision() === this.loadsRevision) return;
    this.loadsRevision = replica.revision();
    const loadByHome = new Map<string, number>();
    replica.openJobs().forEach((job) => {
      if (replica.isCancelled(job.accepted.id)) return;
      const home = replica.homeOf(job);
      loadByHome.set(home, (loadByHome.get(home) ?? 0) + peakDemand(job.accepted.job));
    });
    this.loadByHome = loadByHome;
  }
}
