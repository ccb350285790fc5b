/**
 * The programs that npm links.
 */
import { execFile } from 'node:child_process';
import { access, constants, readdir, readFile } from 'node:fs/promises';
import path from 'node:path';
import { promisify } from 'node:util';

import test from 'ava';

const run = promisify(execFile);

const packagesWithPrograms = async (): Promise<readonly [string, Record<string, string>][]> => {
  const names = await readdir('packages');
  const found = await Promise.all(
    names.map(async (name) => {
      const folder = path.join('packages', name);
      const text = await readFile(path.join(folder, 'package.json'), 'utf8');
      const { bin = {} } = JSON.parse(text) as { bin?: Record<string, string> };
      return [folder, bin] as [string, Record<string, string>];
    }),
  );
  return found.filter(([, bin]) => Object.keys(bin).length > 0);
};

test('should have every linked program in the repository, not only after a build', async (t) => {
  for (const [folder, bin] of await packagesWithPrograms()) {
    for (const file of Object.values(bin)) {
      t.false(file.startsWith('dist/'), `${folder} links ${file}`);
      await t.notThrowsAsync(access(path.join(folder, file), constants.X_OK));
    }
  }
});

test('should run the command line through its linked program', async (t) => {
  const program = path.join('packages', 'samphirenotch-cli', 'bin', 'samphirenotch.js');
  const { stdout } = await run(process.execPath, [program, '--help']);
  t.regex(stdout, /samphirenotch/u);
});
