/**
 * Compiles the daemon when it is built. Without settings it ends by itself once all its modules have run.
 */
import { writeFileSync } from 'node:fs';

import { CACHE_FILE, CachedProgram } from './cachedProgram.js';

const program = new CachedProgram();
program.run();
writeFileSync(CACHE_FILE, program.compiledCode());
// The daemon has failed for want of settings.
process.exitCode = 0;
