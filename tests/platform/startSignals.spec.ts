/**
 * Signals that reach the daemon before it has started.
 */
import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { createInterface } from 'node:readline';

import test, { type ExecutionContext } from 'ava';

import { makeDaemon } from '../fixtures/daemon.js';

/** Nobody listens at this port of this machine. */
const NO_STORE = '127.0.0.1:1';

/** Sends a signal to the process it is loaded into, as the daemon reads its compiled code. */
const makeHook = (signal: NodeJS.Signals): string => `
const fs = require('node:fs');
const { readFileSync } = fs;
fs.readFileSync = (file, ...rest) => {
  if (String(file).endsWith('entry.main.cache')) process.kill(process.pid, '${signal}');
  return readFileSync(file, ...rest);
};
`;

interface DaemonEnd {
  readonly messages: readonly string[];
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Runs the daemon, which gets a signal while it loads, until it ends; it is stopped once it has started. */
const runDaemon = async (t: ExecutionContext, signal: NodeJS.Signals): Promise<DaemonEnd> => {
  const { folder, program, settings } = await makeDaemon(t, NO_STORE);
  const hook = path.resolve(folder, 'hook.cjs');
  writeFileSync(hook, makeHook(signal));
  const daemon = spawn(process.execPath, ['--require', hook, program], {
    env: { PATH: process.env['PATH'], SAMPHIRENOTCH_BOOT: settings },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const messages: string[] = [];
  createInterface({ input: daemon.stdout }).on('line', (line) => {
    const { message } = JSON.parse(line) as { readonly message: string };
    messages.push(message);
    if (message === 'Started') daemon.kill('SIGTERM');
  });
  return new Promise((resolve) => {
    daemon.once('close', (code, endedBy) => resolve({ messages, code, signal: endedBy }));
  });
};

// Guards against a reload by the operator that ends an entry which is starting, without a line.
test.serial('should go on starting when it is told to read its settings again', async (t) => {
  const { messages, code, signal } = await runDaemon(t, 'SIGHUP');
  t.deepEqual([code, signal], [0, null]);
  t.true(messages.includes('The settings were read again'));
  t.true(messages.includes('Started'));
});

// Guards against a stop that an entry which is starting does not tell.
test.serial('should stop as planned when it is told to while it starts', async (t) => {
  const { messages, code, signal } = await runDaemon(t, 'SIGTERM');
  t.deepEqual([code, signal], [0, null]);
  t.true(messages.includes('Stopping'));
  t.is(messages.at(-1), 'Stopped');
});
