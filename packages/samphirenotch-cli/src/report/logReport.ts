/**
 * Sums up what entries have logged: who waited and for what, who was refused, where work went.
 */
import type { JobHistory, LogHistory, RunHistory } from './jobHistory.js';
import { longestDelay, phasesOf, type JobPhases, type PhasedJob } from './jobPhases.js';
import { RoomTimeline, type RoomSecond } from './roomTimeline.js';
import { spreadOf, type Spread } from './spread.js';

/** Answers to callers of one second, queue and data centre. */
export interface AnswerRow {
  readonly second: number;
  readonly queue: string;
  readonly dataCentre: string;
  readonly accepted: number;
  readonly refused: number;
  /** Of them, while more was free in the site than what jobs that could be in time waited for. */
  readonly refusedWithRoom: number;
  readonly unclear: number;
}

/** How jobs of a queue ended. */
export interface OutcomeRow {
  readonly queue: string;
  readonly accepted: number;
  readonly completed: number;
  readonly failed: number;
  readonly cancelled: number;
  /** Accepted, and neither completed nor failed nor cancelled by the last line. */
  readonly open: number;
  /** Of the completed ones whose objective is known. */
  readonly inTime: number;
  readonly late: number;
  /** Late jobs by the phase that delayed them most. */
  readonly delayedBy: Readonly<Partial<Record<keyof JobPhases, number>>>;
}

/** How long jobs of a queue spent in one phase. */
export interface WaitRow extends Spread {
  readonly queue: string;
  readonly phase: string;
}

/** Runs of a queue that ended in one way. */
export interface RunRow {
  readonly queue: string;
  readonly kind: string;
  readonly runs: number;
  readonly coreSeconds: number;
  /** Of them, in runs that were not done and left nothing saved. */
  readonly thrownAway: number;
  readonly medianOrderMs: number | undefined;
  /** From the worker's start to the report of the end. */
  readonly medianWorkedMs: number | undefined;
  /** What the owner saw beyond that. */
  readonly medianOverheadMs: number | undefined;
  readonly p95OverheadMs: number | undefined;
}

/** Starts of a queue in a data centre. */
export interface PlaceRow {
  readonly queue: string;
  readonly dataCentre: string;
  readonly starts: number;
  /** By another share than the job's home. */
  readonly delegated: number;
  readonly nearData: number;
  readonly offData: number;
  /** When by its estimates the job could not be in time any more. */
  readonly tooLate: number;
}

/** A job that took long. */
export interface SlowJob extends JobPhases {
  readonly jobId: string;
  readonly queue: string;
  readonly atMs: number;
  readonly tookMs: number;
  readonly objectiveMs: number | undefined;
  readonly longest: string;
}

/** The whole report; times in milliseconds as in the lines. */
export interface LogReport {
  readonly fromMs: number;
  readonly toMs: number;
  readonly delegatedTasks: number;
  readonly outcomes: readonly OutcomeRow[];
  readonly waits: readonly WaitRow[];
  readonly runs: readonly RunRow[];
  readonly places: readonly PlaceRow[];
  readonly rooms: readonly RoomSecond[];
  readonly answers: readonly AnswerRow[];
  readonly slowest: readonly SlowJob[];
}

const MS_PER_S = 1_000;
const MILLI = 1_000;
const UNKNOWN = 'unknown';

/** Ends by which work is lost unless it was saved. */
const WASTING = new Set(['stopped', 'lapsed', 'gang-broken', 'gang-alone', 'gone']);

/** Groups items by the text of a key. */
const groupBy = <T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> => {
  const groups = new Map<string, T[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  });
  return groups;
};

const sorted = <T>(groups: ReadonlyMap<string, T>): readonly (readonly [string, T])[] =>
  [...groups].sort(([one], [other]) => one.localeCompare(other, 'en', { numeric: true }));

const count = <T>(items: readonly T[], isCounted: (item: T) => boolean): number =>
  items.reduce((sum, item) => sum + (isCounted(item) ? 1 : 0), 0);

const queueOf = ({ queue }: JobHistory): string => queue ?? UNKNOWN;

const answerRows = (history: LogHistory, rooms: RoomTimeline): readonly AnswerRow[] => {
  const groups = groupBy(history.answers(), ({ atMs, queue, dataCentre }) =>
    [Math.floor(atMs / MS_PER_S), queue, dataCentre].join(' '),
  );
  const rows = [...groups.values()].flatMap((group) => {
    const [first] = group;
    if (!first) return [];
    const refused = group.filter(({ outcome }) => outcome === 'refused');
    return [
      {
        second: Math.floor(first.atMs / MS_PER_S),
        queue: first.queue,
        dataCentre: first.dataCentre,
        accepted: count(group, ({ outcome }) => outcome === 'done'),
        refused: refused.length,
        refusedWithRoom: count(refused, ({ atMs }) => rooms.hadRoom(atMs) === true),
        unclear: count(group, ({ outcome }) => outcome === 'unknown'),
      },
    ];
  });
  return rows.sort(
    (one, other) =>
      one.second - other.second ||
      one.queue.localeCompare(other.queue) ||
      one.dataCentre.localeCompare(other.dataCentre),
  );
};

const outcomeRow = (
  queue: string,
  jobs: readonly JobHistory[],
  phased: readonly PhasedJob[],
): OutcomeRow => {
  const judged = phased.filter(({ objectiveMs }) => objectiveMs !== undefined);
  const late = judged.filter(({ tookMs, objectiveMs = 0 }) => tookMs > objectiveMs);
  const delayedBy: Partial<Record<keyof JobPhases, number>> = {};
  late.forEach(({ phases }) => {
    const phase = longestDelay(phases);
    delayedBy[phase] = (delayedBy[phase] ?? 0) + 1;
  });
  const isCancelled = (job: JobHistory): boolean =>
    job.cancelledMs !== undefined && job.state === undefined;
  return {
    queue,
    accepted: jobs.length,
    completed: count(jobs, ({ state }) => state === 'completed'),
    failed: count(jobs, ({ state }) => state === 'failed'),
    cancelled: count(jobs, isCancelled),
    open: count(jobs, (job) => job.state === undefined && !isCancelled(job)),
    inTime: judged.length - late.length,
    late: late.length,
    delayedBy,
  };
};

const waitRows = (queue: string, phased: readonly PhasedJob[]): readonly WaitRow[] => {
  const spreads: Readonly<Record<string, readonly number[]>> = {
    'to the first start': phased.map(({ firstStartMs }) => firstStartMs),
    'between steps': phased.flatMap(({ betweenStepsMs }) => betweenStepsMs),
    'to the end': phased.map(({ tookMs }) => tookMs),
    accepting: phased.map(({ phases }) => phases.accepting),
    waiting: phased.map(({ phases }) => phases.waiting),
    repeating: phased.map(({ phases }) => phases.repeating),
    working: phased.map(({ phases }) => phases.working),
    lagging: phased.map(({ phases }) => phases.lagging),
    closing: phased.map(({ phases }) => phases.closing),
  };
  return Object.entries(spreads).map(([phase, values]) => ({ queue, phase, ...spreadOf(values) }));
};

const coreSecondsOf = ({ startedMs, endedMs, milliCores = 0 }: RunHistory): number =>
  endedMs === undefined ? 0 : ((endedMs - startedMs) / MS_PER_S) * (milliCores / MILLI);

const overheadOf = ({ startedMs, endedMs, workedMs }: RunHistory): readonly number[] =>
  endedMs === undefined || workedMs === undefined ? [] : [endedMs - startedMs - workedMs];

const runRow = (queue: string, kind: string, runs: readonly RunHistory[]): RunRow => {
  const wasted = WASTING.has(kind) ? runs.filter(({ isSaved }) => !isSaved) : [];
  const sum = (some: readonly RunHistory[]): number =>
    Math.round(some.reduce((total, run) => total + coreSecondsOf(run), 0));
  const overhead = spreadOf(runs.flatMap(overheadOf));
  return {
    queue,
    kind,
    runs: runs.length,
    coreSeconds: sum(runs),
    thrownAway: sum(wasted),
    medianOrderMs: spreadOf(runs.flatMap(({ orderMs }) => orderMs ?? [])).medianMs,
    medianWorkedMs: spreadOf(runs.flatMap(({ workedMs }) => workedMs ?? [])).medianMs,
    medianOverheadMs: overhead.medianMs,
    p95OverheadMs: overhead.p95Ms,
  };
};

const placeRow = (queue: string, dataCentre: string, runs: readonly RunHistory[]): PlaceRow => ({
  queue,
  dataCentre,
  starts: runs.length,
  delegated: count(runs, ({ isGuest }) => isGuest),
  nearData: count(runs, ({ isNear }) => isNear === true),
  offData: count(runs, ({ isNear }) => isNear === false),
  tooLate: count(runs, ({ slackMs = 0 }) => slackMs < 0),
});

const slowJob = ({ job, phases, tookMs, objectiveMs }: PhasedJob): SlowJob => ({
  jobId: job.id,
  queue: queueOf(job),
  atMs: Math.round(job.acceptedMs ?? 0),
  tookMs: Math.round(tookMs),
  objectiveMs: objectiveMs === undefined ? undefined : Math.round(objectiveMs),
  longest: longestDelay(phases),
  accepting: Math.round(phases.accepting),
  waiting: Math.round(phases.waiting),
  repeating: Math.round(phases.repeating),
  working: Math.round(phases.working),
  lagging: Math.round(phases.lagging),
  closing: Math.round(phases.closing),
});

const lateness = ({ tookMs, objectiveMs = 0 }: PhasedJob): number => tookMs - objectiveMs;

/**
 * Sums up what happened.
 *
 * @param history - what was read from lines
 * @param slowest - how many of the slowest jobs to list
 * @returns the report
 */
export const reportOf = (history: LogHistory, slowest: number): LogReport => {
  const rooms = new RoomTimeline(history.rooms());
  const accepted = history.jobs().filter(({ acceptedMs }) => acceptedMs !== undefined);
  const queues = sorted(groupBy(accepted, queueOf)).map(([queue, jobs]) => ({
    queue,
    jobs,
    phased: jobs.flatMap((job) => phasesOf(job) ?? []),
  }));
  const runs = sorted(groupBy(history.jobs(), queueOf)).map(([queue, jobs]) => ({
    queue,
    runs: jobs.flatMap(({ tasks }) => [...tasks.values()].flat()),
  }));
  return {
    ...history.span(),
    delegatedTasks: history.delegatedTasks,
    outcomes: queues.map(({ queue, jobs, phased }) => outcomeRow(queue, jobs, phased)),
    waits: queues.flatMap(({ queue, phased }) => waitRows(queue, phased)),
    runs: runs.flatMap(({ queue, runs: all }) =>
      sorted(groupBy(all, ({ kind }) => kind ?? 'open')).map(([kind, some]) =>
        runRow(queue, kind, some),
      ),
    ),
    places: runs.flatMap(({ queue, runs: all }) =>
      sorted(groupBy(all, ({ dataCentre }) => dataCentre)).map(([place, some]) =>
        placeRow(queue, place, some),
      ),
    ),
    rooms: rooms.bySecond(),
    answers: answerRows(history, rooms),
    slowest: queues
      .flatMap(({ phased }) => phased)
      .sort((one, other) => lateness(other) - lateness(one))
      .slice(0, slowest)
      .map(slowJob),
  };
};
