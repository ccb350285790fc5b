/**
 * Runs soaks from the command line, one seed after the other, and writes a report.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';

import { Cli, Command, Option } from 'clipanion';

import { OWNER_FAULT_KINDS, SCENE_KINDS } from './soakFaults.js';
import { reportPage, summarize, type SoakResult } from './soakReport.js';
import { runSoak } from './soakRun.js';

/** Settings of a soak that are not given. */
const DEFAULTS = { seeds: '1', seconds: '30', entries: '3', workers: '6', jobGap: '150' } as const;

const readKinds = <Kind extends string>(
  known: readonly Kind[],
  names: readonly string[],
): readonly Kind[] => {
  const kinds = known.filter((kind) => names.includes(kind));
  const unknown = names.filter((name) => !kinds.some((kind) => kind === name));
  if (unknown.length > 0) throw new Error(`no such fault: ${unknown.join(', ')}`);
  return kinds;
};

class SoakCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'run entries as processes under faults and check what is promised',
  });

  seed = Option.String('--seed', '1', { description: 'first seed' });

  seeds = Option.String('--seeds', DEFAULTS.seeds, { description: 'how many seeds, one by one' });

  seconds = Option.String('--seconds', DEFAULTS.seconds, { description: 'load and faults' });

  entries = Option.String('--entries', DEFAULTS.entries, { description: 'processes' });

  workers = Option.String('--workers', DEFAULTS.workers, { description: 'workers' });

  jobGap = Option.String('--job-gap', DEFAULTS.jobGap, { description: 'milliseconds' });

  faultGap = Option.String('--fault-gap', '1500', { description: 'milliseconds' });

  workerCpu = Option.String('--worker-cpu', '8000', { description: 'thousandths of a core' });

  program = Option.String('--program', 'target/entry.cjs', { description: 'the entry program' });

  folder = Option.String('--folder', '.build/soak', { description: 'settings, logs, report' });

  dataCentres = Option.String('--data-centres', '2', { description: 'at most three' });

  processorShares = Option.String('--processor-shares', '1', {
    description: 'cores of the VMs, in turn, with commas between; small ones divide the site',
  });

  processorLimit = Option.String('--processor-limit', '1', {
    description: 'share of a processor that each entry is held to',
  });

  idleWorkers = Option.String('--idle-workers', '0', {
    description: 'workers of a service that gets no jobs',
  });

  jobBurst = Option.String('--job-burst', '1', { description: 'jobs at one moment' });

  stepWidth = Option.String('--step-width', '1', {
    description: 'times the usual tasks of a step',
  });

  jobKinds = Option.String('--job-kinds', 'usual', {
    description: 'usual, or all: gangs, copies, schedules, racks and deadly tasks as well',
  });

  workerChangeGap = Option.String('--worker-change-gap', {
    description: 'milliseconds between releases, scale-ins and replacements; none if left out',
  });

  strikesOwners = Option.Boolean('--owner-faults', false, {
    description: 'faults strike owners while they change, in series',
  });

  ownerFaultKinds = Option.Array('--owner-fault-kind', {
    description: 'kind of these faults; the usual ones if left out',
  });

  playsScenes = Option.Boolean('--scenes', false, {
    description: 'scenes strike, one after the other, instead of faults',
  });

  sceneKinds = Option.Array('--scene', {
    description: 'kind of these scenes; all if left out',
  });

  runtime = Option.Array('--runtime', [], { description: 'words for the runtime' });

  override async execute(): Promise<number> {
    const results: SoakResult[] = [];
    mkdirSync(this.folder, { recursive: true });
    for (let at = 0; at < Number(this.seeds); at += 1) {
      const seed = Number(this.seed) + at;
      const result = await runSoak({
        seed,
        seconds: Number(this.seconds),
        entries: Number(this.entries),
        workers: Number(this.workers),
        workerCpu: Number(this.workerCpu),
        jobGapMs: Number(this.jobGap),
        faultGapMs: Number(this.faultGap),
        dataCentres: Number(this.dataCentres),
        processorShares: this.processorShares.split(',').map(Number),
        processorLimit: Number(this.processorLimit),
        idleWorkers: Number(this.idleWorkers),
        jobBurst: Number(this.jobBurst),
        stepWidth: Number(this.stepWidth),
        jobKinds: this.jobKinds === 'all' ? 'all' : 'usual',
        ...(this.workerChangeGap ? { workerChangeGapMs: Number(this.workerChangeGap) } : {}),
        strikesOwners: this.strikesOwners,
        ...(this.ownerFaultKinds
          ? { ownerFaultKinds: readKinds(OWNER_FAULT_KINDS, this.ownerFaultKinds) }
          : {}),
        ...(this.playsScenes
          ? { scenes: readKinds(SCENE_KINDS, this.sceneKinds ?? SCENE_KINDS) }
          : {}),
        program: this.program,
        folder: path.join(this.folder, String(seed)),
        runtimeWords: this.runtime,
        judgesTime: true,
        tell: (line) => this.context.stdout.write(`${line}\n`),
      });
      results.push(result);
      this.context.stdout.write(`${summarize(result)}\n`);
      writeFileSync(path.join(this.folder, 'report.html'), reportPage(results));
    }
    return results.some(({ violations, ownEnds }) => violations.length > 0 || ownEnds > 0) ? 1 : 0;
  }
}

const cli = new Cli({ binaryName: 'soak' });
cli.register(SoakCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
