/**
 * Settings of the scheduler of jobs.
 */
import test from 'ava';
import { describeProblem } from 'samphirenotch/config/configurationProblem.js';
import { DEFAULT_SETTINGS } from 'samphirenotch/jobs/model/jobSettings.js';
import { readJobSettings } from 'samphirenotch/settings/jobSettings.js';

const problemsOf = (text: string): readonly string[] => {
  const read = readJobSettings('entry.ini', text);
  return read.ok ? [] : read.val.map(describeProblem);
};

test('should leave every part off that has no section', (t) => {
  t.deepEqual(readJobSettings('entry.ini', '').unwrap(), DEFAULT_SETTINGS);
});

test('should switch a part on by its section', (t) => {
  const settings = readJobSettings('entry.ini', '[admission]\nnewsAge = 3 s\n').unwrap();

  t.deepEqual(settings.admission, { maximumCapacityAgeMs: 3_000 });
});

test('should report every problem at once', (t) => {
  t.deepEqual(problemsOf('[admision]\n[admission]\nnewsAge = soon\nnewAge = 1 s\n'), [
    'entry.ini:1 [admision]: unknown section, did you mean [admission]?; accepted: [admission]',
    'entry.ini:3 [admission] newsAge: cannot read "soon"; accepted: a duration such as 250 ms, 8 s or 5 min',
    'entry.ini:4 [admission] newAge: unknown key, did you mean newsAge?; accepted: newsAge',
  ]);
});
