/**
 * Runs every check of the repository and prints what came of each.
 *
 * All steps run even if one fails; the last line says how many tests passed and failed.
 *
 * @packageDocumentation
 */

import { existsSync, readFileSync, rmSync } from 'node:fs';

import { checkImports } from './checkImports.js';
import { checkNames } from './checkNames.js';
import { isBound, parseKnownRed, summarizeTests } from './knownRed.js';
import { type CommandResult, runCommand } from './runCommand.js';
import { parseTap } from './tap.js';

interface Step {
  readonly name: string;
  readonly run: () => Promise<CommandResult>;
}

const knownRedFile = 'KNOWN-RED.txt';
const benchmarksFile = '.build/benchmarks/main.js';
const totals = { passed: 0, failed: 0 };

const runBin = (name: string, ...args: string[]): Promise<CommandResult> =>
  runCommand(`node_modules/.bin/${name}`, args);

const runImports = async (): Promise<CommandResult> => {
  const violations = checkImports();

  return { ok: violations.length === 0, output: violations.join('\n') };
};

const runNames = async (): Promise<CommandResult> => {
  const violations = checkNames();

  return { ok: violations.length === 0, output: violations.join('\n') };
};

/** Builds anew what the tests run from, so that no test outlives its source. */
const runBuild = (): Promise<CommandResult> => {
  rmSync('.build/tests', { recursive: true, force: true });

  return runBin('tsc', '-b');
};

const runTests = async (): Promise<CommandResult> => {
  const { ok: allPassed, output } = await runBin('ava', '--tap');
  const knownRedText = existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '';
  const tests = parseTap(output);
  const summary = summarizeTests(
    tests,
    parseKnownRed(knownRedText).filter(({ title }) => !isBound(title)),
  );

  totals.passed = summary.passed;
  totals.failed = summary.failed.length;

  const faults = [
    ...summary.listFaults.map((fault) => `${knownRedFile}: ${fault}`),
    ...(tests.length === 0 ? ['no test was executed'] : []),
    ...summary.failed.map((title) => `failed: ${title}`),
    ...(!allPassed && summary.failed.length === 0 && summary.passedOver.length === 0
      ? ['the test runner itself failed']
      : []),
  ];

  for (const line of summary.passedOver) {
    console.log(`known red: ${line}`);
  }

  return { ok: faults.length === 0, output: [output, ...faults].join('\n') };
};

const runBenchmarks = async (): Promise<CommandResult> => {
  const result = await runCommand(process.execPath, [benchmarksFile, '--ci']);

  for (const line of result.output.split('\n').filter((each) => each.startsWith('known red: '))) {
    console.log(line);
  }

  return result;
};

const steps: readonly Step[] = [
  { name: 'format', run: () => runBin('prettier', '--check', '--log-level', 'warn', '.') },
  { name: 'lint', run: () => runBin('eslint', '--max-warnings', '0', '.') },
  { name: 'imports', run: runImports },
  { name: 'names', run: runNames },
  { name: 'build', run: runBuild },
  { name: 'tests', run: runTests },
  { name: 'benchmarks', run: runBenchmarks },
];

const runStep = async ({ name, run }: Step): Promise<boolean> => {
  const start = performance.now();
  const { ok, output } = await run();
  const seconds = ((performance.now() - start) / 1000).toFixed(1);

  if (!ok) {
    console.log(output.trimEnd());
  }

  console.log(`${name}: ${ok ? 'ok' : 'FAILED'} (${seconds} s)`);

  return ok;
};

const failedSteps: string[] = [];

for (const step of steps) {
  if (!(await runStep(step))) {
    failedSteps.push(step.name);
  }
}

if (failedSteps.length > 0) {
  console.log(`failed steps: ${failedSteps.join(', ')}`);
}

console.log(`${totals.passed} passed, ${totals.failed} failed`);
process.exitCode = failedSteps.length === 0 ? 0 : 1;
