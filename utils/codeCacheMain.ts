/**
 * Compiles the daemon when it is built. Without settings it ends by itself once all its modules have run.
 */
import { writeFileSync } from 'node:fs';

import { CachedProgram } from './cachedProgram.js';

const program = new CachedProgram();
program.run();
writeFileSync(program.cacheFile, program.compiledCode());
// It has said that it has no settings.
process.exitCode = 0;
