#!/usr/bin/env node
/**
 * Runs an entry: `samphirenotch-entry SETTINGS.ini`. SIGTERM and SIGINT stop it without cutting off
 * what is in progress.
 */
import { randomInt } from 'node:crypto';
import { readFileSync } from 'node:fs';

import { configureLogs, Entry, partLog, readEntrySettings, SystemClock } from 'samphirenotch';

const SEED_LIMIT = 2 ** 31;
const USAGE_ERROR = 2;

const complain = (lines: readonly string[]): void => {
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exitCode = USAGE_ERROR;
};

const readText = (path: string): string | undefined => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
};

const runEntry = async (path: string): Promise<void> => {
  const text = readText(path);
  if (text === undefined) {
    complain([`Settings file ${path} cannot be read.`]);
    return;
  }
  const settings = readEntrySettings(path, text);
  if (!settings.ok) {
    complain(
      settings.val.map(
        ({ file, section, key, message, accepted }) =>
          `${file}: [${section}] ${key ?? ''}: ${message}; accepted: ${accepted}`,
      ),
    );
    return;
  }
  configureLogs(settings.val.log);
  const log = partLog('main');
  const entry = new Entry(settings.val, new SystemClock(), randomInt(SEED_LIMIT));
  const stop = (): void => {
    entry.stop().catch((error: unknown) => log.error('Stop failed.', { reason: String(error) }));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  await entry.start();
};

const [, , settingsPath] = process.argv;
if (settingsPath === undefined) complain(['Usage: samphirenotch-entry SETTINGS.ini']);
else await runEntry(settingsPath);
