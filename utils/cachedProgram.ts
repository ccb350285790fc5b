/**
 * Compiles a bundled program, from code that was compiled when it was built if there is some.
 */
import { readFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import path from 'node:path';
import { Script } from 'node:vm';

/** The bundle, beside the programs that run it. */
const PROGRAM_FILE = path.join(__dirname, 'entry.main.cjs');

/** Compiled code of the bundle. */
export const CACHE_FILE = path.join(__dirname, 'entry.main.cache');

type ModuleFunction = (
  exports: unknown,
  require: NodeJS.Require,
  module: { exports: unknown },
  filename: string,
  folder: string,
) => void;

/** A program in one file, as a module of the runtime. */
export class CachedProgram {
  private readonly script: Script;

  /**
   * @param cachedData - compiled code of the file; used only by the same runtime with the same flags
   */
  constructor(cachedData?: Buffer) {
    this.script = new Script(Module.wrap(readFileSync(PROGRAM_FILE, 'utf8')), {
      filename: PROGRAM_FILE,
      ...(cachedData ? { cachedData } : {}),
    });
  }

  /** @returns true if there was compiled code that could not be used */
  get hasStaleCode(): boolean {
    return this.script.cachedDataRejected === true;
  }

  /** Runs the program. */
  run(): void {
    const run = this.script.runInThisContext() as ModuleFunction;
    const module = { exports: {} };
    run(module.exports, createRequire(PROGRAM_FILE), module, PROGRAM_FILE, __dirname);
  }

  /** @returns compiled code of all that has run so far */
  compiledCode(): Buffer {
    return this.script.createCachedData();
  }
}
