/**
 * Starts the daemon from code that was compiled when it was built: a VM of a fifth of a core would take a
 * second to compile it anew.
 */
import { readFileSync } from 'node:fs';

import { CACHE_FILE, CachedProgram } from './cachedProgram.js';

// Without a listener these signals end the process. The program handles one that arrives while it loads,
// since its own listeners are there before the event loop runs.
['SIGHUP', 'SIGTERM'].forEach((signal) => process.on(signal, () => {}));

const program = new CachedProgram(readFileSync(CACHE_FILE));
if (program.hasStaleCode) {
  // The log of the daemon is part of what is not running yet.
  const message = 'Compiled code was made by another runtime or with other flags; compiling anew';
  const line = { time: new Date().toISOString(), level: 'warn', part: 'start', message };
  process.stdout.write(`${JSON.stringify({ ...line, file: CACHE_FILE })}\n`);
}
program.run();
