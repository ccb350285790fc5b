/**
 * The report that sums up logs of entries.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { tmpdir } from 'node:os';

import test from 'ava';
import { EXIT_CODES } from 'samphirenotch-cli/exitCode.js';
import { phasesOf } from 'samphirenotch-cli/report/jobPhases.js';
import { readLogLine } from 'samphirenotch-cli/report/logLine.js';
import { reportOf, type LogReport } from 'samphirenotch-cli/report/logReport.js';

import { runCli } from '../fixtures/commandLine.js';
import {
  ended,
  historyOf,
  logged,
  ranTask,
  takenIn,
  type LoggedFields,
} from '../fixtures/loggedJobs.js';

const reportOn = (lines: readonly string[]): LogReport => reportOf(historyOf(lines), 5);

const refused = (atMs: number, source: string): string =>
  logged(
    atMs,
    'A command was answered',
    { command: 'submit', jobId: `refused-${atMs}`, queue: 'plates', outcome: 'refused' },
    source,
  );

const roomOf = (atMs: number, share: string, free: number, waitingInTime = 0): string =>
  logged(atMs, 'The room of a share', { share, capacity: 10_000, free, waitingInTime });

test('should read lines with and without what was put in front of them', (t) => {
  const bare = '{"time":"2026-01-01T00:00:01.500Z","level":"info","message":"Elected","share":"a"}';
  t.deepEqual(readLogLine(bare, 'entry-1.log'), {
    atMs: Date.parse('2026-01-01T00:00:01.500Z'),
    source: 'entry-1.log',
    message: 'Elected',
    fields: JSON.parse(bare),
  });
  const prefixed = readLogLine(` -15.8979 front-2 ${bare}`, 'all.log');
  t.is(prefixed?.atMs, -15_897.9);
  t.is(prefixed?.source, 'front-2');
  ['', 'built in 2.4 s', '{"half":', '{"message":"no time"}', ' 1.0 front-2 text'].forEach((line) =>
    t.is(readLogLine(line, 'all.log'), undefined, line),
  );
});

test('should split the time of a job along the tasks that it waited for last', (t) => {
  const lines = [
    ...takenIn({ jobId: 'j', acceptedMs: 1_000, takenInAfterMs: 40 }),
    ...ranTask('j.0.0.0', 1, 1_050, 1_550),
    // Waits for room, fails, and runs again.
    ...ranTask('j.0.0.1', 1, 1_240, 1_500, { kind: 'failed' }),
    ...ranTask('j.0.0.1', 2, 1_600, 2_300),
    ...ranTask('j.0.1.0', 1, 2_320, 2_820),
    ended('j', 2_825),
  ];
  const [job] = historyOf(lines).jobs();
  const phased = job && phasesOf(job);
  t.deepEqual(phased?.phases, {
    accepting: 40,
    waiting: 220,
    repeating: 360,
    working: 1_200,
    lagging: 0,
    closing: 5,
  });
  t.is(phased?.tookMs, 1_825);
  t.is(phased?.firstStartMs, 50);
  t.deepEqual(phased?.betweenStepsMs, [20]);
  t.is(phased?.objectiveMs, 1.5 * (700 + 500) + 250);
});

test('should tell a task that lags behind its step from the usual work', (t) => {
  const lines = [
    ...takenIn({ jobId: 'j', acceptedMs: 0, takenInAfterMs: 0 }),
    ...ranTask('j.0.0.0', 1, 0, 500),
    ...ranTask('j.0.0.1', 1, 0, 500),
    ...ranTask('j.0.0.2', 1, 0, 3_500),
    ended('j', 3_500),
  ];
  const [job] = historyOf(lines).jobs();
  const phases = job && phasesOf(job)?.phases;
  t.is(phases?.working, 500);
  t.is(phases?.lagging, 3_000);
});

test('should leave out of the phases what was not seen whole, and jobs with times', (t) => {
  const cases = [
    [...takenIn({ jobId: 'open', acceptedMs: 0 }), ...ranTask('open.0.0.0', 1, 20, 30)],
    [...ranTask('former.0.0.0', 1, 20, 30), ended('former', 30)],
    [
      ...takenIn({ jobId: 'timed', acceptedMs: 0 }),
      ...ranTask('timed.1.0.0', 1, 20, 30),
      ended('timed', 30),
    ],
    [
      ...takenIn({ jobId: 'failed', acceptedMs: 0 }),
      ...ranTask('failed.0.0.0', 1, 20, 30, { kind: 'failed' }),
      ended('failed', 30, 'failed'),
    ],
  ];
  cases.forEach((lines) => {
    const [job] = historyOf(lines).jobs();
    t.truthy(job);
    t.is(job && phasesOf(job), undefined);
  });
});

test('should count who was in time, who was late and by what', (t) => {
  const late = (jobId: string, acceptedMs: number): readonly string[] => [
    ...takenIn({ jobId, acceptedMs }),
    ...ranTask(`${jobId}.0.0.0`, 1, acceptedMs + 2_000, acceptedMs + 2_500),
    ended(jobId, acceptedMs + 2_500),
  ];
  const { outcomes } = reportOn([
    ...takenIn({ jobId: 'quick', acceptedMs: 0 }),
    ...ranTask('quick.0.0.0', 1, 20, 520),
    ended('quick', 520),
    ...late('late-1', 1_000),
    ...late('late-2', 2_000),
    ...takenIn({ jobId: 'open', acceptedMs: 3_000 }),
    ...takenIn({ jobId: 'gone', acceptedMs: 3_000 }),
    logged(3_500, 'A job is cancelled', { jobId: 'gone' }),
  ]);
  t.deepEqual(outcomes, [
    {
      queue: 'plates',
      accepted: 5,
      completed: 3,
      failed: 0,
      cancelled: 1,
      open: 1,
      inTime: 1,
      late: 2,
      delayedBy: { waiting: 2 },
    },
  ]);
});

test('should judge lateness by the work that workers tell of', (t) => {
  const lines = [
    ...takenIn({ jobId: 'j', acceptedMs: 0, takenInAfterMs: 0 }),
    // The worker took 300 ms, the owner heard of it after 900 ms.
    ...ranTask('j.0.0.0', 1, 0, 900, { orderMs: 20, workedMs: 300 }),
    ended('j', 900),
  ];
  const { outcomes, runs } = reportOn(lines);
  t.is(outcomes[0]?.late, 1);
  t.is(runs[0]?.medianWorkedMs, 300);
  t.is(runs[0]?.medianOverheadMs, 600);
});

test('should tell refusals with room from others, by second, queue and data centre', (t) => {
  const { answers } = reportOn([
    logged(0, 'Started', { dataCentre: 'Timaru' }, 'entry-1'),
    logged(0, 'Started', { dataCentre: 'Rakaia' }, 'entry-2'),
    refused(100, 'entry-1'),
    roomOf(1_000, 'a', 4_000, 1_000),
    roomOf(1_000, 'b', 0, 2_000),
    refused(1_100, 'entry-1'),
    refused(1_200, 'entry-2'),
    // Now more waits than is free; what waits and is late does not count.
    logged(2_000, 'The room of a share', { share: 'b', free: 500, waitingLate: 9_000 }),
    roomOf(2_000, 'a', 1_000, 1_500),
    refused(2_100, 'entry-1'),
    // What was told is too old by now.
    refused(9_000, 'entry-1'),
  ]);
  const row = (second: number, dataCentre: string, refusedWithRoom: number) => ({
    second,
    queue: 'plates',
    dataCentre,
    accepted: 0,
    refused: 1,
    refusedWithRoom,
    unclear: 0,
  });
  t.deepEqual(answers, [
    row(0, 'Timaru', 0),
    row(1, 'Rakaia', 1),
    row(1, 'Timaru', 1),
    row(2, 'Timaru', 0),
    row(9, 'Timaru', 0),
  ]);
});

test('should add up work that was thrown away, and not what was saved', (t) => {
  const { runs } = reportOn([
    ...takenIn({ jobId: 'j', acceptedMs: 0 }),
    ...ranTask('j.0.0.0', 1, 0, 1_000, { kind: 'stopped' }),
    ...ranTask('j.0.0.1', 1, 0, 3_000, { kind: 'stopped', isSaved: true }),
    ...ranTask('j.0.0.2', 1, 0, 500),
    logged(0, 'Starting a task', { taskId: 'j.0.0.3', run: 1, milliCores: 2_000 }),
    logged(2_000, 'A task goes back to waiting', { taskId: 'j.0.0.3', run: 1, reason: 'lapsed' }),
  ]);
  const wasted = runs.map(({ kind, runs: number, coreSeconds, thrownAway }) => [
    kind,
    number,
    coreSeconds,
    thrownAway,
  ]);
  t.deepEqual(wasted, [
    ['done', 1, 1, 0],
    ['gone', 1, 4, 4],
    ['stopped', 2, 8, 2],
  ]);
});

// Guards against work of members of gangs that is thrown away unseen.
test('should add up work of members of gangs whose other members ended or did not start', (t) => {
  const { runs } = reportOn([
    ...takenIn({ jobId: 'j', acceptedMs: 0 }),
    ...ranTask('j.0.0.0', 1, 0, 1_000, { kind: 'gang-broken' }),
    ...ranTask('j.0.0.1', 1, 0, 2_000, { kind: 'gang-alone' }),
  ]);
  t.deepEqual(
    runs.map(({ kind, thrownAway }) => [kind, thrownAway]),
    [
      ['gang-alone', 4],
      ['gang-broken', 2],
    ],
  );
});

test('should count each run once, however often its end is listed', (t) => {
  const end = logged(900, 'A run has ended', { taskId: 'j.0.0.0', run: 1, kind: 'done' });
  const { runs } = reportOn([
    ...takenIn({ jobId: 'j', acceptedMs: 0 }),
    ...ranTask('j.0.0.0', 1, 0, 500),
    end,
  ]);
  t.is(runs.length, 1);
  t.is(runs[0]?.coreSeconds, 1);
});

// Guards against runs that stay open in the report because their ends are read before their starts.
test('should report the same whichever entry is read first', (t) => {
  const former = [
    ...takenIn({ jobId: 'j', acceptedMs: 0 }),
    logged(20, 'Starting a task', { taskId: 'j.0.0.0', run: 1, milliCores: 2_000 }),
    logged(30, 'Starting a task', { taskId: 'j.0.0.1', run: 1, milliCores: 2_000 }),
    logged(40, 'Fillers were started', {
      step: 'j.0.1',
      indexes: '0',
      runs: '1',
      workers: 'w1',
      agoMs: '5',
      milliCores: 2_000,
    }),
    logged(700, 'A run has ended', { taskId: 'j.0.0.1', run: 1, kind: 'done' }),
  ];
  const successor = [
    logged(800, 'A task goes back to waiting', { taskId: 'j.0.0.0', run: 1 }),
    // Listed again, since the former owner has not acknowledged it.
    logged(800, 'A run has ended', { taskId: 'j.0.0.1', run: 1, kind: 'done' }),
    logged(900, 'Runs of fillers have ended', {
      step: 'j.0.1',
      kind: 'done',
      indexes: '0',
      runs: '1',
      workers: 'w1',
      agoMs: '10',
    }),
    ended('j', 1_000),
  ];
  const report = reportOn([...former, ...successor]);
  t.deepEqual(reportOn([...successor, ...former]), report);
  t.deepEqual(
    report.runs.map(({ kind, runs }) => [kind, runs]),
    [
      ['done', 2],
      ['gone', 1],
    ],
  );
});

test('should tell where work went, and which starts came too late', (t) => {
  const { places, delegatedTasks } = reportOn([
    ...takenIn({ jobId: 'j', acceptedMs: 0 }),
    ...ranTask('j.0.0.0', 1, 0, 500, { isNear: true }),
    ...ranTask('j.0.0.1', 1, 0, 500, { isNear: false, slackMs: -20 }),
    ...ranTask('j.0.0.2', 1, 0, 500, { dataCentre: 'Rakaia', isGuest: true }),
    logged(0, 'Tasks are handed to another share', { jobId: 'j', tasks: 1 }),
  ]);
  t.is(delegatedTasks, 1);
  t.deepEqual(places, [
    {
      queue: 'plates',
      dataCentre: 'Rakaia',
      starts: 1,
      delegated: 1,
      nearData: 0,
      offData: 0,
      tooLate: 0,
    },
    {
      queue: 'plates',
      dataCentre: 'Timaru',
      starts: 2,
      delegated: 0,
      nearData: 1,
      offData: 1,
      tooLate: 1,
    },
  ]);
});

// Guards against figures that depend on whether runs were logged one by one or together.
test('should report runs that were logged together like those that were logged one by one', (t) => {
  const step = { step: 'j.0.0', milliCores: 2_000, isGuest: false };
  const job = takenIn({ jobId: 'j', acceptedMs: 0 });
  const started = (atMs: number, fields: LoggedFields): string =>
    logged(atMs, 'Fillers were started', {
      ...step,
      dataCentre: 'Timaru',
      slackMs: 100,
      ...fields,
    });
  const together = [
    ...job,
    // The second run of the first task is logged before its first one.
    started(1_900, { indexes: '0', runs: '2', workers: 'w1', agoMs: '1000', slackMs: -1 }),
    started(1_900, {
      indexes: '0 1 2',
      runs: '1 1 1',
      workers: 'w1 w2 w1',
      agoMs: '1880 1870 1860',
    }),
    logged(1_900, 'Runs of fillers have ended', {
      ...step,
      kind: 'stopped',
      indexes: '0',
      runs: '1',
      workers: 'w1',
      agoMs: '1100',
      orderMs: '-',
      workedMs: '-',
      afterMs: '780',
      isSaved: true,
    }),
    logged(2_100, 'Runs of fillers have ended', {
      ...step,
      kind: 'done',
      indexes: '0 1',
      runs: '2 1',
      workers: 'w1 w2',
      agoMs: '400 300',
      orderMs: '10 -',
      workedMs: '750 -',
      afterMs: '800 1770',
      isSaved: false,
    }),
    logged(2_100, 'Runs of fillers have ended', {
      ...step,
      kind: 'done',
      known: false,
      indexes: '2',
      runs: '1',
      workers: 'w1',
      agoMs: '250',
      isSaved: false,
    }),
    ended('j', 2_200),
  ];
  const apart = [
    ...job,
    ...ranTask('j.0.0.0', 1, 20, 800, { kind: 'stopped', isSaved: true }),
    ...ranTask('j.0.0.0', 2, 900, 1_700, { orderMs: 10, workedMs: 750, slackMs: -1 }),
    ...ranTask('j.0.0.1', 1, 30, 1_800),
    ...ranTask('j.0.0.2', 1, 40, 1_850),
    ended('j', 2_200),
  ];
  const report = reportOn(together);
  t.deepEqual(report, reportOn(apart));
  t.is(report.places[0]?.starts, 4);
});

// Guards against a report that fails over half a line.
test('should pass over runs of which a line does not tell', (t) => {
  const { runs } = reportOn([
    ...takenIn({ jobId: 'j', acceptedMs: 0 }),
    logged(500, 'Fillers were started', { step: 'j.0.0', indexes: '0 1', runs: '1 1', agoMs: '5' }),
    logged(500, 'Fillers were started', {}),
    logged(500, 'Runs of fillers have ended', { step: 'j.0.0', indexes: '0 7', runs: '1 1' }),
  ]);
  t.deepEqual(
    runs.map(({ kind, runs: number }) => [kind, number]),
    [['open', 1]],
  );
});

test('should list the jobs furthest beyond their objective first', (t) => {
  const took = (jobId: string, tookMs: number): readonly string[] => [
    ...takenIn({ jobId, acceptedMs: 0 }),
    ...ranTask(`${jobId}.0.0.0`, 1, tookMs - 100, tookMs),
    ended(jobId, tookMs),
  ];
  const lines = [took('a', 900), took('b', 4_000), took('c', 200)].flat();
  const { slowest } = reportOf(historyOf(lines), 2);
  t.deepEqual(
    slowest.map(({ jobId, longest }) => [jobId, longest]),
    [
      ['b', 'waiting'],
      ['a', 'waiting'],
    ],
  );
});

test('should report from files, as text and as JSON', async (t) => {
  const directory = await mkdtemp(path.join(tmpdir(), 'samphirenotch-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const file = path.join(directory, 'entry-1.log');
  const lines = [
    ...takenIn({ jobId: 'j', acceptedMs: 0 }),
    'a line of another program',
    ...ranTask('j.0.0.0', 1, 20, 520),
    ended('j', 520),
  ];
  await writeFile(file, lines.join('\n'));

  const shown = await runCli(['report', file]);
  t.is(shown.exitCode, EXIT_CODES.ok, shown.err);
  t.regex(shown.out, /jobs:\n\s+queue +accepted/u);
  t.regex(shown.out, /plates +to the first start +1 +20/u);
  const json = await runCli(['report', '--json', file]);
  t.is(JSON.parse(json.out).outcomes[0].inTime, 1);
});

test('should say what is wrong with what it was given', async (t) => {
  const cases: readonly (readonly [readonly string[], number])[] = [
    [['report', 'no/such/file'], EXIT_CODES.usage],
    [['report', 'package.json'], EXIT_CODES.refused],
    [['report', '--slowest', 'many', 'package.json'], EXIT_CODES.usage],
  ];
  for (const [input, exitCode] of cases) {
    const run = await runCli(input);
    t.is(run.exitCode, exitCode, input.join(' '));
    t.not(run.err, '');
  }
});
