/**
 * Starts the daemon from code that was compiled when it was built: a VM of a fifth of a core would take a
 * second to compile it anew.
 */
import { readFileSync } from 'node:fs';
import path from 'node:path';

import { CachedProgram } from './cachedProgram.js';

const cacheFile = path.join(__dirname, 'entry.main.cache');
const program = new CachedProgram(readFileSync(cacheFile));
if (program.hasStaleCode) {
  const message = 'Compiled code was made by another runtime or with other flags; compiling anew';
  process.stdout.write(`${JSON.stringify({ level: 'warn', part: 'start', message, cacheFile })}\n`);
}
program.run();
