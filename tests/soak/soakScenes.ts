/**
 * Scenes: faults that strike one after the other while owners change, each of which needs the one before.
 */
import type { Fault } from './soakFaults.js';
import type { SoakSite } from './soakSite.js';
import type { WorkerStandIn } from './workerStandIn.js';

/** Time in which a worker still answers when its data centre is parted, in milliseconds. */
const LAST_ANSWER_MS = 50;

/** Time for which a worker says that it drains, longer than such a scene, in milliseconds. */
const LONG_DRAIN_MS = 20_000;

/** A successor that is parted still reaches one worker of so many in a data centre, until it loses the store. */
const REACHED_EVERY = 3;

/** Workers that are replaced while owners are killed, one after the other. */
const REPLACED = 4;

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
  constructor(private readonly site: SoakSite) {}

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
      this.drain(zone, this.site.workersOf(zone).length);
      part(reachNone, delayMs);
      end.later(() => this.site.unlist(zone), delayMs);
    } else if (kind === 'owner-part-new-worker') {
      part(reachNone);
      end.later(() => this.site.addWorker(this.site.workers.length, zone), delayMs);
    } else if (kind === 'owner-part-replaced-worker') {
      part(reachNone);
      end.later(() => this.replace(this.site.workersOf(zone), target), delayMs);
    } else if (kind === 'owner-part-restarted-worker') {
      part(this.reachOnce('restarted'));
    } else if (kind === 'owner-part-long') {
      part(this.reachInTurn(zone, delayMs, gapMs));
    } else if (kind === 'successor-part' || kind === 'successor-lapse') {
      this.partSuccessor(end, target, followUpsMs, kind === 'successor-lapse');
    } else if (kind === 'takeover-part') {
      this.partAtTakeover(end, target, followUpsMs);
    } else if (kind === 'owners-kill-replaced-workers') {
      this.killWhileReplaced(end, target, followUpsMs);
    } else return undefined;
    return () => end.run();
  }

  private replace(workers: readonly WorkerStandIn[], target: number): void {
    const worker = workers[target % workers.length];
    if (worker) this.site.replaceWorker(worker);
  }

  /** Lets the workers with the least to do drain. */
  private drain(zone: string, count: number): void {
    [...this.site.workersOf(zone)]
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
      return which === 'restarted' ? !worker.isIdle : worker.drainingSinceMs !== undefined;
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
    const workers = this.site.workersOf(zone);
    const startMs = this.site.nowMs() + firstMs;
    return (worker) => this.site.nowMs() >= startMs + gapMs * workers.indexOf(worker);
  }

  /** A data centre loses the store and the other ones. */
  private part(zone: string, reach: Reach): () => void {
    const ends = [
      this.site.cutStore(zone),
      this.site.cutWorkers((worker, token) => {
        const isOutside = this.site.zoneOf(token) !== zone;
        return worker.options.dataCentre === zone ? isOutside && !reach(worker) : !isOutside;
      }),
    ];
    return () => ends.forEach((end) => end());
  }

  /**
   * Kills an owner and soon parts two data centres. The data centre of its successor loses the store some
   * time after the takeover.
   */
  private partAtTakeover(
    end: SceneEnd,
    target: number,
    [partMs = 0, storeCutMs = 0]: readonly number[],
  ): void {
    const { site } = this;
    this.atTakeover(end, (zone) => end.later(() => site.cutStore(zone), storeCutMs));
    end.later(() => site.part(site.zoneAt(target), site.zoneAt(target + 1)), partMs);
    site.ownerOf(target)?.signal('SIGKILL');
  }

  private atTakeover(end: SceneEnd, act: (zone: string) => void): void {
    const { owners } = this.site;
    const stop = owners.listen((_share, name) => {
      stop();
      act(this.site.entryNamed(name)?.options.zone ?? '');
    });
    end.add(stop);
  }

  /**
   * Workers are silent while an owner ends and its successor takes over, whose data centre is then alone:
   * it loses the store, and the rest of the others. The next owner reaches all workers of the others.
   */
  private partSuccessor(
    end: SceneEnd,
    target: number,
    [silentMs = 0, delayMs = 0]: readonly number[],
    lapses: boolean,
  ): void {
    const { site } = this;
    const formerToken = Math.max(...site.workers.map(({ end: worker }) => worker.highestToken));
    const isSpared = (worker: WorkerStandIn): boolean => {
      const index = site.workersOf(worker.options.dataCentre).indexOf(worker);
      // The records of a few workers run out while the successor takes its lease for its own.
      return lapses ? index !== 1 : index % REACHED_EVERY === 0;
    };
    let successor: string | undefined;
    let isAlone = false;
    end.add(
      site.cutWorkers((worker, token) => {
        if (token <= formerToken) return !isSpared(worker);
        const zone = site.zoneOf(token);
        successor ??= zone;
        const { dataCentre } = worker.options;
        if (zone !== successor) return isAlone && dataCentre === successor;
        return dataCentre !== successor && (isAlone || !isSpared(worker));
      }),
    );
    this.atTakeover(end, (zone) =>
      end.later(() => {
        isAlone = true;
        const restore = site.cutStore(zone);
        if (lapses) site.store.lapseLeases();
        return restore;
      }, delayMs),
    );
    end.later(() => site.ownerOf(target)?.signal('SIGTERM'), silentMs);
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
