/**
 * The reference page against the code.
 */
import { readFile } from 'node:fs/promises';

import test from 'ava';
import type { ConfigurationProblem } from 'samphirenotch/config/configurationProblem.js';
import { readDraftFile } from 'samphirenotch/config/draft.js';
import { OBJECT_KINDS } from 'samphirenotch/config/objectKind.js';
import { readEntrySettings } from 'samphirenotch/settings/entrySettings.js';

type Row = readonly [key: string, required: string, accepted: string];
type Check = (text: string) => readonly ConfigurationProblem[];

const UNKNOWN_KEY = 'no-such-key';

/** What the code reads below a heading, from the problems that it reports. */
const rowsOfCode = (heading: string, check: Check): readonly Row[] => {
  const none = check(`[${heading}]\n${UNKNOWN_KEY} = 1\n`);
  const missing = none.filter(({ message }) => message === 'missing key').map(({ key }) => key);
  const keys = none.find(({ key }) => key === UNKNOWN_KEY)?.accepted.split(', ') ?? [];
  const empty = check(`[${heading}]\n${keys.map((key) => `${key} =\n`).join('')}`);
  return keys.map((key) => [
    key,
    missing.includes(key) ? 'yes' : 'no',
    empty.find((problem) => problem.key === key)?.accepted ?? '',
  ]);
};

const rowsOfPage = (page: string, heading: string): readonly Row[] => {
  const start = page.indexOf(`### ${heading}\n`);
  const section =
    page
      .slice(start + 4)
      .split('\n## ')[0]
      ?.split('\n### ')[0] ?? '';
  return section
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .map((line) => line.split('|').map((cell) => cell.trim()))
    .map(([, key = '', required = '', accepted = '']) => [key.slice(1, -1), required, accepted]);
};

test('should describe every key of every object as the code reads it', async (t) => {
  const page = await readFile('docs/reference.md', 'utf8');
  for (const kind of OBJECT_KINDS) {
    const check: Check = (text) => readDraftFile('file.ini', text).problems;
    t.deepEqual(rowsOfPage(page, kind), rowsOfCode(`${kind} name`, check), kind);
  }
});

test('should describe every setting as the code reads it', async (t) => {
  const page = await readFile('docs/reference.md', 'utf8');
  for (const section of ['entry', 'platform', 'log']) {
    const check: Check = (text) => {
      const read = readEntrySettings('entry.ini', text);
      return read.ok ? [] : read.val.filter((problem) => problem.section === section);
    };
    t.deepEqual(rowsOfPage(page, `[${section}]`), rowsOfCode(section, check), section);
  }
});
