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
const CHECK_INTERVAL_MS = 500;

/** Processors that a move of one task must open to fillers, in thousandths of a core. */
const MINIMUM_GAIN_MILLI_CORES = 1_000;

/** Tasks that a look moves at most. */
const MAXIMUM_MOVES_PER_CHECK = 4;

/** Time that a task stays where it is after its start, in milliseconds: it has just been away. */
const MINIMUM_STAY_MS = 6_000;

const servedImageOf = ({ task }: OwnedRun): ServingImage => task.step.spec;

interface ImageGroup {
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
const isFullyRunning = ({ tasks }: OwnedStep): boolean =>
  tasks.every(({ runs }) =>
    runs.some(({ phase, percent }) => phase === 'running' && percent === FULL_PERCENT),
  );

/** Moves serving tasks. */
export class ServingMoves {
  private readonly log = partLog('moves');

  private checkedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param fillerRoom - judges sets of images
   * @param placement - tells where tasks may go
   * @param clock - time
   */
  constructor(
    private readonly fillerRoom: FillerHeadroom,
    private readonly placement: TaskPlacement,
    private readonly clock: Clock,
  ) {}

  /**
   * Moves some tasks, if that pays.
   *
   * @param agents - workers that take work
   * @param isMovable - tells whether tasks of a step may be moved
   */
  check(agents: readonly WorkerAgent[], isMovable: (step: OwnedStep) => boolean): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < this.checkedMs + CHECK_INTERVAL_MS) return;
    this.checkedMs = nowMs;
    const groups = agents
      .flatMap((agent) => this.groupsOf(agent, nowMs))
      .filter(
        ({ gain, runs }) =>
          gain >= MINIMUM_GAIN_MILLI_CORES && runs.every((run) => isMovable(run.task.step)),
      )
      .sort((left, right) => right.gain - left.gain);
    const movedSteps = new Set<OwnedStep>();
    let left = MAXIMUM_MOVES_PER_CHECK;
    groups.forEach((group) => {
      if (group.runs.length > left) return;
      const moves = this.plan(group, agents, movedSteps);
      if (!moves) return;
      left -= moves.length;
      moves.forEach((move) => {
        movedSteps.add(move.run.task.step);
        this.startMove(move, group.gain);
      });
    });
  }

  /** Groups of runs that could leave a worker where several images serve. */
  private groupsOf(agent: WorkerAgent, nowMs: number): readonly ImageGroup[] {
    const serving = agent.servingRuns();
    const images = distinctImages(serving.map(servedImageOf));
    if (images.length < 2) return [];
    const { milliCores } = agent.description.capacity;
    const currentShare = this.fillerRoom.usableFraction(images);
    return images.flatMap(({ image }) => {
      const runs = serving.filter(({ task }) => task.step.spec.image === image);
      const settled = runs.every(
        ({ phase, percent, confirmedMs }) =>
          phase === 'running' &&
          percent === FULL_PERCENT &&
          confirmedMs !== undefined &&
          nowMs - confirmedMs >= MINIMUM_STAY_MS,
      );
      if (!settled) return [];
      const shareWithout = this.fillerRoom.usableFraction(
        images.filter((each) => each.image !== image),
      );
      return [
        { agent, image, runs, gain: ((shareWithout - currentShare) * milliCores) / runs.length },
      ];
    });
  }

  /** Finds a place for every run of a group; undefined if one has none. */
  private plan(
    group: ImageGroup,
    agents: readonly WorkerAgent[],
    movedSteps: ReadonlySet<OwnedStep>,
  ): readonly Move[] | undefined {
    const freeAfterMoves = new Map<WorkerAgent, Size>();
    const steps = new Set(movedSteps);
    const moves: Move[] = [];
    for (const run of group.runs) {
      const { step } = run.task;
      // One task of a step at a time.
      if (steps.has(step) || !isFullyRunning(step)) return undefined;
      steps.add(step);
      const to = agents.find((agent) => {
        if (agent === group.agent || !this.placement.permits(agent, run.task)) return false;
        if (agent.description.service !== step.occurrence.job.queue.service) return false;
        const free = freeAfterMoves.get(agent) ?? agent.free();
        return fitsIn(run.size, free) && this.closedShare(agent, run) === 0;
      });
      if (!to) return undefined;
      freeAfterMoves.set(to, minusSize(freeAfterMoves.get(to) ?? to.free(), run.size));
      moves.push({ run, to });
    }
    return moves;
  }

  /** What a task would close on another worker, as a share of it. */
  private closedShare(agent: WorkerAgent, run: OwnedRun): number {
    const images = distinctImages(agent.servingRuns().map(servedImageOf));
    if (images.some(({ image }) => image === run.task.step.spec.image)) return 0;
    return (
      this.fillerRoom.usableFraction(images) -
      this.fillerRoom.usableFraction([...images, servedImageOf(run)])
    );
  }

  private startMove({ run, to }: Move, gain: number): void {
    this.log.info('Moving a serving task to where its like serve', {
      taskId: run.task.id,
      from: run.agent.id,
      to: to.id,
      openedMilliCores: Math.round(gain),
    });
    run.agent.stop(run, 'it closes its worker to fillers');
  }
}
