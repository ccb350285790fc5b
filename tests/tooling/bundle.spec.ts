/**
 * The daemon as the deploy file builds and runs it.
 */
import { execFileSync, spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import path from 'node:path';

import test from 'ava';

const NO_SETTINGS = 2;

/** Below the packages that the bundle still loads. */
const makeFolder = (): string => mkdtempSync(path.join('.build', 'bundle-'));

/** Builds the daemon beside the real one. */
const buildDaemon = (folder: string): string => {
  const program = path.join(folder, 'entry.cjs');
  execFileSync('npx', ['tsx', 'utils/bundle.ts', program], { stdio: 'pipe' });
  return program;
};

/** Runs it without settings, with the words of the deploy file before the program. */
const runDaemon = (program: string) => {
  const words = /run = "node (.*) target/u.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1];
  return spawnSync(process.execPath, [...(words ?? '').split(' '), program], {
    env: { PATH: process.env['PATH'] },
    encoding: 'utf8',
  });
};

// Guards against VMs of a fifth of a core that take seconds to start: compiling is most of a start.
test('should start from code that was compiled when it was built', (t) => {
  const folder = makeFolder();
  try {
    const { status, stdout } = runDaemon(buildDaemon(folder));
    t.is(status, NO_SETTINGS);
    const messages = stdout
      .trim()
      .split('\n')
      .map((line) => (JSON.parse(line) as { readonly message: string }).message);
    t.deepEqual(messages, ['The settings cannot be used']);
  } finally {
    rmSync(folder, { recursive: true });
  }
});

// Guards against starts that load what the daemon has no use for, and the runtime's twin of it.
test('should not hold parts of packages that it does not use', (t) => {
  const folder = makeFolder();
  try {
    buildDaemon(folder);
    const text = readFileSync(path.join(folder, 'entry.main.cjs'), 'utf8');
    const files = [
      'undici/lib/web/fetch/index.js',
      'undici/lib/web/websocket',
      'undici/lib/dispatcher/client-h2.js',
      'HistogramLogWriter',
    ];
    t.deepEqual(
      files.filter((file) => text.includes(file)),
      [],
    );
  } finally {
    rmSync(folder, { recursive: true });
  }
});
