/**
 * Settings of an entry.
 */
import test from 'ava';
import { describeProblem } from 'samphirenotch/config/configurationProblem.js';
import { readEntrySettings } from 'samphirenotch/settings/entrySettings.js';

const GOOD = `
[entry]
id = entry-1
dataCentre = Timaru
grpcAddress = 10.0.0.1:7000
httpAddress = [fd00::1]:8000
seedPeers = 10.0.0.2:7000, 10.0.0.3:7000

[platform]
address = 10.0.0.9:9000
`;

const problemsOf = (text: string): readonly string[] => {
  const read = readEntrySettings('entry.ini', text);
  return read.ok ? [] : read.val.map(describeProblem);
};

test('should read settings', (t) => {
  const settings = readEntrySettings('entry.ini', GOOD).unwrap();

  t.like(settings, { id: 'entry-1', dataCentre: 'Timaru', httpAddress: '[fd00::1]:8000' });
  t.deepEqual(settings.seedPeers, ['10.0.0.2:7000', '10.0.0.3:7000']);
  t.deepEqual(settings.log, { format: 'json', level: 'info' });
});

test('should make a new id at each start if none is set', (t) => {
  const text = GOOD.replace('id = entry-1', '');
  const ids = [1, 2].map(() => readEntrySettings('entry.ini', text).unwrap().id);

  t.not(ids[0], ids[1]);
});

test('should report every problem at once', (t) => {
  const problems = problemsOf(`
[entry]
dataCentre = Timaru
grpcAddress = host:7000
seedPeer = 10.0.0.2:7000
[log]
level = loud
[platfrom]
[log]
`);

  const expected = [
    /entry\.ini:4 \[entry\] grpcAddress: cannot read "host:7000"; accepted: an IP address and port/u,
    /\[entry\] httpAddress: missing key/u,
    /\[entry\] seedPeer: unknown key, did you mean seedPeers\?/u,
    /\[platform\] address: missing key/u,
    /\[log\] level: cannot read "loud"; accepted: one of: debug, info, warn, error/u,
    /\[platfrom\]: unknown section, did you mean \[platform\]\?/u,
    /entry\.ini:9 \[log\]: section written twice/u,
  ];
  expected.forEach((each) =>
    t.true(
      problems.some((problem) => each.test(problem)),
      String(each),
    ),
  );
  t.is(problems.length, expected.length);
});
