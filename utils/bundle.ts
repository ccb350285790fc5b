/**
 * Bundles the platform's daemon into one file and compiles it, which starts faster than the modules one by
 * one.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import path from 'node:path';

import { build, type Plugin } from 'esbuild';

const [outfile] = process.argv.slice(2);

if (!outfile) {
  throw new Error('usage: node utils/bundle.mjs OUTPUT');
}

/** What is used of packages that load much more; another name is an error of the build. */
const PARTS: Readonly<Record<string, string>> = {
  undici: "export { default as Client } from 'undici/lib/dispatcher/client.js';",
  'hdr-histogram-js': "export { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';",
  // Part of undici; peers speak HTTP/1.1.
  './client-h2.js': "module.exports = () => { throw new Error('HTTP/2 is not bundled'); };",
};

const usedParts: Plugin = {
  name: 'used-parts',
  setup({ onResolve, onLoad }) {
    // The bundler reads it in a dialect without the flag for Unicode.
    const filter = new RegExp(`^(?:${Object.keys(PARTS).join('|')})$`);
    onResolve({ filter }, ({ path: name }) => ({ path: name, namespace: 'used-parts' }));
    onLoad({ filter, namespace: 'used-parts' }, ({ path: name }) => ({
      contents: PARTS[name] ?? '',
      resolveDir: process.cwd(),
    }));
  },
};

const bundle = async (entryPoint: string, output: string): Promise<void> => {
  await build({
    entryPoints: [entryPoint],
    outfile: output,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    alias: { samphirenotch: './packages/samphirenotch/src' },
    // Its modules load each other by a parameter named require, which no bundler follows.
    external: ['ts-results'],
    plugins: [usedParts],
    logLevel: 'warning',
  });
};

/** Compiled code serves only a runtime with the same flags. */
const runtimeFlags = (program: string): readonly string[] => {
  const words = /^run = "node (.*)"$/mu.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1];
  const flags = words?.split(` ${program}`)[0];
  if (!flags) throw new Error(`deploy/system.toml runs no ${program}`);
  return flags.split(' ').filter((word) => word !== '');
};

const folder = path.dirname(outfile);
const maker = path.join(folder, 'codeCache.cjs');
await bundle('platform/main.ts', path.join(folder, 'entry.main.cjs'));
await bundle('utils/startMain.ts', outfile);
await bundle('utils/codeCacheMain.ts', maker);
execFileSync(process.execPath, [...runtimeFlags('target/entry.cjs'), maker], {
  env: { PATH: process.env['PATH'] },
  stdio: ['ignore', 'ignore', 'inherit'],
});
