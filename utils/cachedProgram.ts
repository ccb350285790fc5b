/**
 * Compiles a bundled program, from code that was compiled when it was built if there is some.
 */
import { readFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import path from 'node:path';
import { Script } from 'node:vm';

type ModuleFunction = (
  exports: unknown,
  require: NodeJS.Require,
  module: { exports: unknown },
  filename: string,
  folder: string,
) => void;

/** A program in one file, as a module of the runtime. */
export class CachedProgram {
  /** The file, beside this module. */
  readonly file = path.join(__dirname, 'entry.main.cjs');

  /** Compiled code of the file. */
  readonly cacheFile = path.join(__dirname, 'entry.main.cache');

  private readonly script: Script;

  /**
   * @param cachedData - compiled code of the file; used only by the same runtime with the same flags
   */
  constructor(cachedData?: Buffer) {
    this.script = new Script(Module.wrap(readFileSync(this.file, 'utf8')), {
      filename: this.file,
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
    run(module.exports, createRequire(this.file), module, this.file, __dirname);
  }

  /** @returns compiled code of all that has run so far */
  compiledCode(): Buffer {
    return this.script.createCachedData();
  }
}
