/**
 * Moves serving tasks of one image together, so that other workers can take fillers.
 *
 * Fillers can wait although processors are unused: a few serving tasks that are sensitive to
 * fillers, spread over many workers, keep fillers off all of them. Such tasks move to workers that
 * already serve their image, if a move opens clearly more processors to fillers than the
 * interruption costs.
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

/** Time between two checks for moves, in milliseconds; a move takes about as long. */
const CHECK_INTERVAL_MS = 500;

/** Processors that the move of one task must open to fillers, in thousandths of a core. */
const MINIMUM_GAIN_MILLI_CORES = 1_000;

/** Highest number of tasks moved by one check. */
const MAXIMUM_MOVES_PER_CHECK = 4;

/** Time for which a task is not moved after its start, in milliseconds: it was just interrupted. */
const MINIMUM_STAY_MS = 6_000;

const servedImageOf = ({ task }: OwnedRun): ServingImage => task.step.spec;

interface ImageGroup {
  readonly agent: WorkerAgent;
  readonly image: string;
  readonly runs: readonly OwnedRun[];
  /** Thousandths of a core that open to fillers if the whole group moves, per moved task. */
  readonly gain: number;
}

interface Move {
  readonly run: OwnedRun;
  readonly to: WorkerAgent;
}

/**
 * Tells whether every task of a step has a fully started run, so that a moved task is the only one
 * that is missing.
 */
const isFullyRunning = ({ tasks }: OwnedStep): boolean =>
  tasks.every(({ runs }) =>
    runs.some(({ phase, percent }) => phase === 'running' && percent === FULL_PERCENT),
  );

/** Moves serving tasks between workers. */
export class ServingMoves {
  private readonly log = partLog('moves');

  private checkedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param fillerRoom - estimates the room for fillers beside sets of serving images
   * @param placement - tells which workers may run a task
   * @param clock - time
   */
  constructor(
    private readonly fillerRoom: FillerHeadroom,
    private readonly placement: TaskPlacement,
    private readonly clock: Clock,
  ) {}

  /** @returns true once the last check was a check interval ago */
  get isDue(): boolean {
    return this.clock.monotonicMs() >= this.checkedMs + CHECK_INTERVAL_MS;
  }

  /**
   * Moves some tasks if that opens enough processors to fillers. Does nothing if the last check was
   * less than the check interval ago.
   *
   * @param agents - workers that accept tasks
   * @param isMovable - returns true if tasks of a step may be moved
   */
  check(agents: readonly WorkerAgent[], isMovable: (step: OwnedStep) => boolean): void {
    if (!this.isDue) return;
    const nowMs = this.clock.monotonicMs();
    this.checkedMs = nowMs;
    const groups = agents
      .flatMap((agent) => this.groupsOf(agent, nowMs))
      .filter(
        ({ gain, runs }) =>
          gain >= MINIMUM_GAIN_MILLI_CORES && runs.every((run) => isMovable(run.task.step)),
      )
      .sort((left, right) => right.gain - left.gain);
    const movedSteps = new Set<OwnedStep>();
    let movesLeft = MAXIMUM_MOVES_PER_CHECK;
    groups.forEach((group) => {
      if (group.runs.length > movesLeft) return;
      const moves = this.plan(group, agents, movedSteps);
      if (!moves) return;
      movesLeft -= moves.length;
      moves.forEach((move) => {
        movedSteps.add(move.run.task.step);
        this.startMove(move, group.gain);
      });
    });
  }

  /** Groups the runs of a worker that serves several images by image; leaves out recent starts. */
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

  /** Plans a move for every run of a group; undefined if one of them cannot move. */
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
      // At most one task of a step is moved at a time.
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

  /** Returns the fraction of another worker that fillers could no longer use beside a task. */
  private closedShare(agent: WorkerAgent, run: OwnedRun): number {
    const images = distinctImages(agent.servingRuns().map(servedImageOf));
    if (images.some(({ image }) => image === run.task.step.spec.image)) return 0;
    return (
      this.fillerRoom.usableFraction(images) -
      this.fillerRoom.usableFraction([...images, servedImageOf(run)])
    );
  }

  private startMove({ run, to }: Move, gain: number): void {
    this.log.info('Moving a serving task to a worker that serves its image', {
      taskId: run.task.id,
      from: run.agent.id,
      to: to.id,
      openedMilliCores: Math.round(gain),
    });
    run.agent.stop(run, 'it closes its worker to fillers');
  }
}
