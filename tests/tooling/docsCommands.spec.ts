/**
 * Commands that the README and the docs show exist as they are shown.
 */
import { existsSync } from 'node:fs';
import { readdir, readFile } from 'node:fs/promises';
import path from 'node:path';

import test from 'ava';
import { Cli } from 'clipanion';
import { COMMAND_CLASSES } from 'samphirenotch-cli/commandLine.js';

const CLI_WORDS = /samphirenotch ((?:config|task|outage|request|status|histograms)\b[^`\n]*)/gu;
const SCRIPT_WORDS = /npm run ([a-z:]+)/gu;
const FILE_WORDS = /(?:node|npx ava) '?((?:\.build|packages|utils|platform)\/[^\s'`]+\.js)/gu;

/** Words in capitals stand for what a reader puts in. */
const PLACEHOLDER = /\/[A-Z]+\b/u;

interface ShownCommand {
  readonly file: string;
  readonly text: string;
}

const pages = async (): Promise<readonly string[]> => {
  const found = await readdir('docs', { recursive: true });
  return [
    'README.md',
    ...found.filter((name) => name.endsWith('.md')).map((name) => `docs/${name}`),
  ];
};

const shown = async (pattern: RegExp): Promise<readonly ShownCommand[]> => {
  const lists = await Promise.all(
    (await pages()).map(async (file) => {
      const text = await readFile(file, 'utf8');
      return [...text.matchAll(pattern)].map((match) => ({ file, text: match[1] ?? '' }));
    }),
  );
  return lists.flat();
};

/** Optional parts are taken in, of alternatives the first is taken, comments and pipes are left out. */
const wordsOf = (text: string): readonly string[] =>
  (
    text
      .replaceAll('\\|', '/')
      .replace(/\s+(?:#|\||&|>).*$/u, '')
      .replaceAll(/[[\]]/gu, ' ')
      .match(/"[^"]*"|\S+/gu) ?? []
  ).map((word) => word.replaceAll('"', '').replace(/^([a-z]+)\/[a-z/-]+$/u, '$1'));

test('should take every command line that is shown', async (t) => {
  const cli = new Cli({ binaryName: 'samphirenotch' });
  COMMAND_CLASSES.forEach((each) => cli.register(each));
  const names = new Set(
    COMMAND_CLASSES.flatMap(({ paths = [] }) => paths.map((words) => words.join(' '))),
  );
  const commands = await shown(CLI_WORDS);
  t.true(commands.length > 20);
  commands.forEach(({ file, text }) => {
    const words = wordsOf(text);
    // Running text names commands without what they take.
    if (names.has(words.join(' '))) return;
    t.notThrows(() => cli.process([...words]), `${file}: ${text}`);
  });
});

test('should have every script that is shown', async (t) => {
  const { scripts } = JSON.parse(await readFile('package.json', 'utf8')) as {
    scripts: Record<string, string>;
  };
  const missing = (await shown(SCRIPT_WORDS)).filter(({ text }) => scripts[text] === undefined);
  t.deepEqual(missing, []);
});

test('should have every program that is shown', async (t) => {
  const programs = (await shown(FILE_WORDS)).filter(
    ({ text }) => !PLACEHOLDER.test(text) && !text.includes('*'),
  );
  t.true(programs.length > 3);
  t.deepEqual(
    programs.filter(({ text }) => !existsSync(path.normalize(text))),
    [],
  );
});
