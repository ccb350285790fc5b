/**
 * Scenes: faults that strike one after the other while owners change, each of which needs the one before.
 */
import type { EntryProcess } from './entryProcess.js';
import type { FaultProxy } from './faultProxy.js';
import type { ShareOwners } from './shareOwners.js';
import type { Fault } from './soakFaults.js';
import type { StoreStandIn } from './storeStandIn.js';
import type { WorkerStandIn } from './workerStandIn.js';

/** Time in which a worker still answers when its data centre is parted, in milliseconds. */
const LAST_ANSWER_MS = 50;

/** Time for which a worker says that it drains, longer than a scene, in milliseconds. */
const LONG_DRAIN_MS = 30_000;

/** A successor that is parted still reaches one worker of so many in a data centre, until it loses the store. */
const REACHED_EVERY = 3;

/** Workers that are replaced while owners are killed, one after the other. */
const REPLACED = 4;

/** The site as scenes need it. */
export interface SceneSite {
  readonly store: Pick<StoreStandIn, 'lapseLeases'>;
  readonly entries: readonly { readonly entry: EntryProcess; readonly link: FaultProxy }[];
  readonly workers: readonly { readonly end: WorkerStandIn }[];
  readonly owners: ShareOwners;
  nowMs(): number;
  zoneAt(index: number): string;
  ownerOf(target: number): EntryProcess | undefined;
  zoneOf(token: number): string | undefined;
  drain(worker: WorkerStandIn, forMs: number): void;
  unlist(zone: string): () => void;
  addWorker(zone: string): Promise<void>;
  replaceWorker(worker: WorkerStandIn): Promise<void>;
}

/** Tells whether owners in other data centres reach a worker of a data centre that is parted. */
type Reach = (worker: WorkerStandIn) => boolean;

const reachNone: Reach = () => false;

/** What ends a scene. */
class SceneEnd {
  private readonly ends: (() => void)[] = [];

  add(end: () => void): void {
    this.ends.push(end);
  }

  /** Does something later, unless the scene has ended; what it returns undoes it. */
  later(act: () => unknown, delayMs: number): void {
    const timer = setTimeout(() => {
      const end = act();
      if (typeof end === 'function') this.add(() => end());
    }, delayMs);
    this.add(() => clearTimeout(timer));
  }

  run(): void {
    this.ends.forEach((end) => end());
  }
}

/** Lets scenes strike. */
export class SoakScenes {
  /**
   * @param site - what they strike
   */
  constructor(private readonly site: SceneSite) {}

  /**
   * Lets a scene begin.
   *
   * @param scene - the scene
   * @returns what ends it; undefined if it is none
   */
  strike({ kind, target, followUpsMs }: Fault): (() => void) | undefined {
    const zone = this.site.ownerOf(target)?.options.zone ?? this.site.zoneAt(target);
    const [delayMs = 0, gapMs = 0] = followUpsMs;
    const end = new SceneEnd();
    const part = (reach: Reach, afterMs = 0): void =>
      end.later(() => this.part(zone, reach), afterMs);
    if (kind === 'owner-part') return this.part(zone, this.reachOnce('idle'));
    if (kind === 'owner-part-draining') {
      this.drain(zone, 1);
      part(this.reachOnce('draining'), delayMs);
    } else if (kind === 'owner-part-drained') {
      this.drain(zone, this.workersOf(zone).length / 2);
      part(reachNone, delayMs);
      end.later(() => this.site.unlist(zone), delayMs);
    } else if (kind === 'owner-part-new-worker') {
      part(reachNone);
      end.later(() => this.site.addWorker(zone), delayMs);
    } else if (kind === 'owner-part-replaced-worker') {
      part(reachNone);
      end.later(() => this.replace(this.workersOf(zone), target), delayMs);
    } else if (kind === 'owner-part-restarted-worker') {
      part(this.reachOnce('restarted'));
    } else if (kind === 'owner-part-long') {
      part(this.reachInTurn(zone, delayMs, gapMs));
    } else if (kind === 'successor-part' || kind === 'successor-lapse') {
      this.partSuccessor(end, target, delayMs, kind === 'successor-lapse');
    } else if (kind === 'owners-kill-replaced-workers') {
      this.killWhileReplaced(end, target, followUpsMs);
    } else return undefined;
    return () => end.run();
  }

  private workersOf(zone: string): readonly WorkerStandIn[] {
    return this.site.workers
      .map(({ end }) => end)
      .filter(({ options }) => options.dataCentre === zone);
  }

  private replace(workers: readonly WorkerStandIn[], target: number): Promise<void> | undefined {
    const worker = workers[target % workers.length];
    return worker && this.site.replaceWorker(worker);
  }

  /** Lets the workers with the least to do drain. */
  private drain(zone: string, count: number): void {
    [...this.workersOf(zone)]
      .sort((one, other) => Number(other.isIdle) - Number(one.isIdle))
      .slice(0, count)
      .forEach((worker) => this.site.drain(worker, LONG_DRAIN_MS));
  }

  /** One worker still answers others for a moment; it may start again then. */
  private reachOnce(which: 'idle' | 'draining' | 'restarted'): Reach {
    const nowMs = (): number => this.site.nowMs();
    let reached: { readonly worker: WorkerStandIn; readonly untilMs: number } | undefined;
    const isChosen = (worker: WorkerStandIn): boolean => {
      if (which === 'idle') return worker.isIdle;
      return which === 'restarted' || worker.drainingSinceMs !== undefined;
    };
    return (worker) => {
      if (!reached && isChosen(worker)) {
        reached = { worker, untilMs: nowMs() + LAST_ANSWER_MS };
        if (which === 'restarted') setTimeout(() => worker.crash(), LAST_ANSWER_MS);
      }
      return reached?.worker === worker && nowMs() < reached.untilMs;
    };
  }

  /** Workers answer others one by one. */
  private reachInTurn(zone: string, firstMs: number, gapMs: number): Reach {
    const workers = this.workersOf(zone);
    const startMs = this.site.nowMs() + firstMs;
    return (worker) => this.site.nowMs() >= startMs + gapMs * workers.indexOf(worker);
  }

  private cutStore(zone: string): () => void {
    const links = this.site.entries
      .filter(({ entry }) => entry.options.zone === zone)
      .map(({ link }) => link);
    links.forEach((link) => link.set('cut'));
    return () => links.forEach((link) => link.set('none'));
  }

  private cutWorkers(isCut: (worker: WorkerStandIn, token: number) => boolean): () => void {
    const ends = this.site.workers.map(({ end: worker }) => {
      const cut = (token: number): boolean => isCut(worker, token);
      worker.cuts.add(cut);
      return () => worker.cuts.delete(cut);
    });
    return () => ends.forEach((end) => end());
  }

  /** A data centre loses the store and the other ones. */
  private part(zone: string, reach: Reach): () => void {
    const ends = [
      this.cutStore(zone),
      this.cutWorkers((worker, token) => {
        const isOutside = this.site.zoneOf(token) !== zone;
        return worker.options.dataCentre === zone ? isOutside && !reach(worker) : !isOutside;
      }),
    ];
    return () => ends.forEach((end) => end());
  }

  /**
   * Kills an owner. The data centre of its successor is parted from most workers of the others, and loses the
   * store and the rest of them some time after the takeover.
   */
  private partSuccessor(end: SceneEnd, target: number, delayMs: number, lapses: boolean): void {
    const { owners, store } = this.site;
    const zoneOf = (token: number): string | undefined => this.site.zoneOf(token);
    const formerToken = Math.max(
      ...this.site.workers.map(({ end: worker }) => worker.highestToken),
    );
    const isSpared = (worker: WorkerStandIn): boolean =>
      this.workersOf(worker.options.dataCentre).indexOf(worker) % REACHED_EVERY === 0;
    let successor: string | undefined;
    let isAlone = false;
    end.add(
      this.cutWorkers((worker, token) => {
        if (token <= formerToken) return false;
        successor ??= zoneOf(token);
        const { dataCentre } = worker.options;
        if (zoneOf(token) !== successor) return isAlone && dataCentre === successor;
        return dataCentre !== successor && (isAlone || !isSpared(worker));
      }),
    );
    const stop = owners.listen((_share, name) => {
      stop();
      const zone = this.site.entries.find(({ entry }) => entry.options.name === name)?.entry.options
        .zone;
      successor = zone;
      end.later(() => {
        isAlone = true;
        const restore = this.cutStore(zone ?? '');
        if (lapses) store.lapseLeases();
        return restore;
      }, delayMs);
    });
    end.add(stop);
    this.site.ownerOf(target)?.signal('SIGKILL');
  }

  /** Kills an owner and its successor, while workers are replaced at their addresses. */
  private killWhileReplaced(
    end: SceneEnd,
    target: number,
    [killMs = 0, gapMs = 0]: readonly number[],
  ): void {
    const stop = this.site.owners.listen(() => {
      stop();
      end.later(() => this.site.ownerOf(target)?.signal('SIGKILL'), killMs);
    });
    end.add(stop);
    for (let turn = 0; turn < REPLACED; turn += 1) {
      end.later(
        () =>
          this.replace(
            this.site.workers.map(({ end: worker }) => worker),
            target + turn,
          ),
        gapMs * turn,
      );
    }
    this.site.ownerOf(target)?.signal('SIGKILL');
  }
}
