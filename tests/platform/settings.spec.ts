/**
 * The settings file of the platform.
 */
import test from 'ava';

import { parseSettings, readSettings, SettingsError } from '../../platform/settings.js';

const makeFile = (changes: Record<string, unknown> = {}) => ({
  NodeName: 'front-1',
  Zone: 'z1',
  ListenAddrs: { Front: '10.0.0.1:8161', ReadyAddress: '10.0.0.1:8167' },
  Limits: { CpuShare: 0.27 },
  Bounds: { HoldLimitMs: 6_000, GraceS: 6 },
  platform: { Address: '10.0.0.9:8169' },
  ...changes,
});

test('should read settings and ignore unknown fields', (t) => {
  const settings = parseSettings(JSON.stringify(makeFile({ Something: { new: true } })));
  t.is(settings.entry, 'front-1');
  t.is(settings.storeAddress, '10.0.0.9:8169');
  t.is(settings.graceMs, 6_000);
  t.is(settings.policyAddress, undefined);
});

// Guards against shares for data centres that only a wrong entry of a worker names.
test('should read the data centres of the site, if the file names them', (t) => {
  const read = (changes: object) => parseSettings(JSON.stringify(makeFile({ ...changes })));
  t.deepEqual(read({ Zones: { z1: 'r', z2: 'r' } }).siteDataCentres, new Set(['z1', 'z2']));
  t.is(read({}).siteDataCentres, undefined);
});

test('should name every field that is missing or wrong', (t) => {
  const file = { ...makeFile(), NodeName: undefined, platform: { Address: 'nowhere' } };
  const error = t.throws(() => parseSettings(JSON.stringify(file)), { instanceOf: SettingsError });
  t.regex(error?.message ?? '', /NodeName/u);
  t.regex(error?.message ?? '', /platform\.Address: must be HOST:PORT/u);
});

test('should say so if the file is not JSON or not named', (t) => {
  t.throws(() => parseSettings('{'), { instanceOf: SettingsError });
  const error = t.throws(() => readSettings({}), { instanceOf: SettingsError });
  t.regex(error?.message ?? '', /SAMPHIRENOTCH_BOOT/u);
});

// Guards against fast VMs that stand for election as late as slower ones with the same share of a core.
test('should count the speed of its cores into what a VM has of a processor', (t) => {
  const read = (limits: Record<string, number>): number =>
    parseSettings(JSON.stringify(makeFile({ Limits: limits }))).processorShare;
  t.is(read({ CpuShare: 0.25, Cores: 2 }), 0.5);
  t.is(read({ CpuShare: 0.25 }), 0.25);
});
