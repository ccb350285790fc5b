/**
 * Bundles the platform's daemon into one file, which starts faster than the modules one by one.
 */
import { build } from 'esbuild';

const [outfile] = process.argv.slice(2);

if (!outfile) {
  throw new Error('usage: node utils/bundle.mjs OUTPUT');
}

await build({
  entryPoints: ['platform/main.ts'],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias: { samphirenotch: './packages/samphirenotch/src' },
  // Its modules load each other by a parameter named require, which no bundler follows.
  external: ['ts-results'],
  logLevel: 'warning',
});
