/**
 * Profiles entries: where the processor time of a run goes, and what an entry that owns nothing costs.
 *
 * Workers and store are the soak's stand-ins, without faults. Each entry runs as a process of its own
 * under the sampling profiler of the runtime. Callers speak to the first one. Small processors divide the
 * site into shares, and entries beyond their number own nothing.
 */
import { mkdirSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import path from 'node:path';

import { Cli, Command, Option } from 'clipanion';

import { CALLER_PORT } from '../soak/entryProcess.js';
import { PromiseChecker } from '../soak/promiseChecker.js';
import { makeStep, QUEUES, type SoakJob, type SoakQueue, type SoakStep } from '../soak/soakJob.js';
import { makeRandom } from '../soak/soakRun.js';
import { ShareOwners } from '../soak/shareOwners.js';
import { SoakSite } from '../soak/soakSite.js';
import { summarizeProfile, type CpuProfile } from './cpuProfile.js';

/** Time for the entry to start and learn of workers, in milliseconds. */
const START_MS = 4_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const [QUICK, BATCH, WATCH] = QUEUES as readonly [SoakQueue, SoakQueue, SoakQueue];

const makeSmallStep = (changes: Partial<SoakStep>): SoakStep =>
  makeStep({ memMb: 500, ...changes });

/** Images of fillers and of serving tasks. */
const FILLER_IMAGES = 20;
const SERVING_IMAGES = 12;

const TARGET_MS = 20;

const bodyOf = ({ id, steps }: SoakJob): unknown => {
  const image = Number(`0x${id.slice(0, 4)}`);
  return {
    Spec: JSON.stringify(steps),
    Steps: steps.map((step) => ({
      Count: step.count,
      Cpu: step.cpu,
      MemMb: step.memMb,
      EstimateMs: step.longRunning ? 0 : step.durationMs,
      ...(step.after.length > 0 ? { After: step.after } : {}),
      ...(step.checkpointing ? { Checkpointing: true } : {}),
      ...(step.longRunning
        ? { LongRunning: true, Image: `s${image % SERVING_IMAGES}`, TargetMs: TARGET_MS }
        : {}),
      ...(step.filler ? { Fills: true, Image: `f${image % FILLER_IMAGES}` } : {}),
    })),
  };
};

/** A kind of job that is handed in again and again. */
interface Shape {
  readonly queue: SoakQueue;
  readonly steps: readonly SoakStep[];
}

const QUICK_SHAPE: Shape = {
  queue: QUICK,
  steps: [makeSmallStep({ count: 9, cpu: 3_100, durationMs: 640 })],
};

const BATCH_STEP = {
  count: 20,
  cpu: 1_800,
  durationMs: 1_700,
  checkpointing: true,
  filler: true,
} as const;

const BATCH_SHAPE: Shape = {
  queue: BATCH,
  steps: [makeSmallStep(BATCH_STEP), makeSmallStep({ ...BATCH_STEP, after: [0] })],
};

const WATCH_SHAPE: Shape = {
  queue: WATCH,
  steps: [makeSmallStep({ count: 8, cpu: 1_500, longRunning: true })],
};

/** Every so many jobs is one that lasts. */
const LASTING_EVERY = 20;

const profilesIn = (folder: string): readonly string[] =>
  readdirSync(folder).filter((name) => name.endsWith('.cpuprofile'));

class ProfileCommand extends Command {
  static override paths = [Command.Default];

  workers = Option.String('--workers', '32');

  entries = Option.String('--entries', '1');

  processorShare = Option.String('--processor-share', '1', {
    description: 'share of a core that each entry says it has',
  });

  seconds = Option.String('--seconds', '20');

  jobGap = Option.String('--job-gap', '100', { description: 'milliseconds between two jobs' });

  watches = Option.String('--watches', '0', { description: 'jobs that last, handed in at first' });

  program = Option.String('--program', 'target/entry.cjs');

  folder = Option.String('--folder', '.build/profile');

  private readonly random = makeRandom(1);

  override async execute(): Promise<number> {
    const folder = path.resolve(this.folder);
    mkdirSync(folder, { recursive: true });
    profilesIn(folder).forEach((name) => rmSync(path.join(folder, name)));
    const startMs = performance.now();
    const checker = new PromiseChecker(() => performance.now() - startMs);
    const site = new SoakSite({
      entries: Number(this.entries),
      processorShares: [Number(this.processorShare)],
      dataCentres: 2,
      workers: Number(this.workers),
      workerCpu: 16_000,
      program: this.program,
      folder,
      checker,
      owners: new ShareOwners(),
      runtimeWords: ['--cpu-prof', `--cpu-prof-dir=${folder}`, '--cpu-prof-interval=500'],
    });
    await site.start();
    await sleep(START_MS);
    const host = site.entries[0]?.entry.options.host ?? '';
    await this.drive(host);
    const starts = site.workers.reduce((sum, { end }) => sum + end.startCount, 0);
    await site.stop();
    const profiles = profilesIn(folder);
    this.context.stdout.write(`${this.workers} workers, ${starts} starts, ${this.seconds} s\n`);
    profiles.forEach((name) => {
      const profile = JSON.parse(readFileSync(path.join(folder, name), 'utf8')) as CpuProfile;
      this.context.stdout.write(`\n${name}\n${summarizeProfile(profile, starts)}\n`);
    });
    return profiles.length === Number(this.entries) ? 0 : 1;
  }

  private async drive(host: string): Promise<void> {
    const untilMs = performance.now() + 1_000 * Number(this.seconds);
    for (let count = 0; count < Number(this.watches); count += 1) this.submitNew(host, WATCH_SHAPE);
    let at = 0;
    while (performance.now() < untilMs) {
      await sleep(this.random.exponential(Number(this.jobGap)));
      at += 1;
      this.submitNew(host, this.shapeOf(at));
    }
  }

  private shapeOf(at: number): Shape {
    if (at % LASTING_EVERY === 0) return WATCH_SHAPE;
    return at % 2 === 0 ? QUICK_SHAPE : BATCH_SHAPE;
  }

  private submitNew(host: string, shape: Shape): void {
    const id = Array.from({ length: 16 }, () => this.random.below(16).toString(16)).join('');
    this.submit(host, { id, ...shape });
  }

  private submit(host: string, job: SoakJob): void {
    const text = JSON.stringify(bodyOf(job));
    const sent = request({
      host,
      port: CALLER_PORT,
      method: 'POST',
      path: job.queue.prefix + job.id,
      headers: {
        Host: job.queue.host,
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
      },
    });
    sent.on('response', (response) => response.resume());
    sent.on('error', (error) => this.context.stderr.write(`${error.message}\n`));
    sent.end(text);
  }
}

const cli = new Cli({ binaryName: 'ownerProfile' });
cli.register(ProfileCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
