/**
 * Brings serving tasks of one kind together, so that fillers find workers that bear them.
 *
 * Answers the pattern of fillers that wait although processors are left over: a few tasks of an image
 * that bears them badly, spread over many workers, close all of these. Such tasks move to workers
 * where their image serves already, as long as a move opens clearly more than the tasks' absence
 * costs.
 */
import { fitsIn, minusSize } from '../../infrastructure/sizes.js';
import type { Size } from '../../infrastructure/worker.js';
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import { FULL_PERCENT, type OwnedRun, type OwnedStep } from '../model/ownedJob.js';
import {
  distinctImages,
  type FillerHeadroom,
  type ServingImage,
} from '../pacing/fillerHeadroom.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { TaskPlacement } from './taskPlacement.js';

/** Time between two looks for moves, in milliseconds: a move takes about as long. */
const CHECK_GAP_MS = 500;

/** Processors that a move of one task must open to fillers, in thousandths of a core. */
const LEAST_GAIN = 1_000;

/** Tasks that a look moves at most. */
const MOST_MOVES = 4;

/** Time that a task stays where it is after its start, in milliseconds: it has just been away. */
const SETTLED_MS = 6_000;

const servedOf = ({ task }: OwnedRun): ServingImage => task.step.spec;

interface Group {
  readonly agent: WorkerAgent;
  readonly image: string;
  readonly runs: readonly OwnedRun[];
  /** Processors that its departure opens, for each task that has to move. */
  readonly gain: number;
}

interface Move {
  readonly run: OwnedRun;
  readonly to: WorkerAgent;
}

/** Tells whether every task of a step is at work. */
const isWhole = ({ tasks }: OwnedStep): boolean =>
  tasks.every(({ runs }) =>
    runs.some(({ phase, percent }) => phase === 'running' && percent === FULL_PERCENT),
  );

/** Moves serving tasks. */
export class ServingMoves {
  private readonly log = partLog('moves');

  private checkedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param room - judges sets of images
   * @param placement - tells where tasks may go
   * @param clock - time
   */
  constructor(
    private readonly room: FillerHeadroom,
    private readonly placement: TaskPlacement,
    private readonly clock: Clock,
  ) {}

  /**
   * Moves some tasks, if that pays.
   *
   * @param agents - workers that take work
   * @param isFree - tells whether tasks of a step may be moved
   */
  check(agents: readonly WorkerAgent[], isFree: (step: OwnedStep) => boolean): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.checkedMs + CHECK_GAP_MS) return;
    this.checkedMs = nowMs;
    const groups = agents
      .flatMap((agent) => this.groupsOf(agent, nowMs))
      .filter(({ gain, runs }) => gain >= LEAST_GAIN && runs.every((run) => isFree(run.task.step)))
      .sort((left, right) => right.gain - left.gain);
    const away = new Set<OwnedStep>();
    let left = MOST_MOVES;
    groups.forEach((group) => {
      if (group.runs.length > left) return;
      const moves = this.plan(group, agents, away);
      if (!moves) return;
      left -= moves.length;
      moves.forEach((move) => {
        away.add(move.run.task.step);
        this.start(move, group.gain);
      });
    });
  }

  /** Groups of runs that could leave a worker where several images serve. */
  private groupsOf(agent: WorkerAgent, nowMs: number): readonly Group[] {
    const serving = agent.servingRuns();
    const images = distinctImages(serving.map(servedOf));
    if (images.length < 2) return [];
    const { milliCores } = agent.description.capacity;
    const now = this.room.usableFraction(images);
    return images.flatMap(({ image }) => {
      const runs = serving.filter(({ task }) => task.step.spec.image === image);
      const settled = runs.every(
        ({ phase, percent, confirmedMs }) =>
          phase === 'running' &&
          percent === FULL_PERCENT &&
          confirmedMs !== undefined &&
          nowMs - confirmedMs >= SETTLED_MS,
      );
      if (!settled) return [];
      const without = this.room.usableFraction(images.filter((each) => each.image !== image));
      return [{ agent, image, runs, gain: ((without - now) * milliCores) / runs.length }];
    });
  }

  /** Finds a place for every run of a group; undefined if one has none. */
  private plan(
    group: Group,
    agents: readonly WorkerAgent[],
    away: ReadonlySet<OwnedStep>,
  ): readonly Move[] | undefined {
    const taken = new Map<WorkerAgent, Size>();
    const steps = new Set(away);
    const moves: Move[] = [];
    for (const run of group.runs) {
      const { step } = run.task;
      // One task of a step at a time.
      if (steps.has(step) || !isWhole(step)) return undefined;
      steps.add(step);
      const to = agents.find((agent) => {
        if (agent === group.agent || !this.placement.permits(agent, run.task)) return false;
        if (agent.description.service !== step.occurrence.job.queue.service) return false;
        const free = taken.get(agent) ?? agent.free();
        return fitsIn(run.size, free) && this.loss(agent, run) === 0;
      });
      if (!to) return undefined;
      taken.set(to, minusSize(taken.get(to) ?? to.free(), run.size));
      moves.push({ run, to });
    }
    return moves;
  }

  /** What a task would close on another worker, as a share of it. */
  private loss(agent: WorkerAgent, run: OwnedRun): number {
    const images = distinctImages(agent.servingRuns().map(servedOf));
    if (images.some(({ image }) => image === run.task.step.spec.image)) return 0;
    return this.room.usableFraction(images) - this.room.usableFraction([...images, servedOf(run)]);
  }

  private start({ run, to }: Move, gain: number): void {
    this.log.info('Moving a serving task to where its like serve', {
      taskId: run.task.id,
      from: run.agent.id,
      to: to.id,
      openedMilliCores: Math.round(gain),
    });
    run.agent.stop(run, 'it closes its worker to fillers');
  }
}
