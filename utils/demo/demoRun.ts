/**
 * One demonstration from start to verdict.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { OutWindow, VersionSample } from 'samphirenotch-stand-ins/invariants.js';
import { MixedLoad } from 'samphirenotch-stand-ins/site/mixedLoad.js';
import { pause, Site, until } from 'samphirenotch-stand-ins/site/site.js';
import { SiteCaller } from 'samphirenotch-stand-ins/site/siteCaller.js';
import { SiteOperator } from 'samphirenotch-stand-ins/site/siteOperator.js';
import { sampleVersions } from 'samphirenotch-stand-ins/site/versionSampler.js';

import { requestTable, ruleVerdicts, taskLines, type Verdict } from './demoReport.js';
import type { DemoSite } from './demoSite.js';
import { sitePrograms } from './sitePrograms.js';

const LOAD_MS = 20_000;
const OUTAGE_STARTS_MS = 4000;
const ENTRY_DIES_MS = 7000;
const OUTAGE_ENDS_MS = 13_000;
const FINISH_TIMEOUT_MS = 20_000;
const SETTLE_MS = 3000;
const SHOWN_TASKS = 5;

/** States in which a task is over. */
const ENDED_STATES: ReadonlySet<string> = new Set(['completed', 'failed', 'cancelled']);

interface TaskShown {
  readonly id: string;
  readonly state: string;
}

/** Runs a site with load and faults. */
export class DemoRun {
  private readonly directory = mkdtempSync(join(tmpdir(), 'samphirenotch-demo-'));

  private readonly site: Site;

  private readonly operator: SiteOperator;

  private readonly caller: SiteCaller;

  private readonly versions: VersionSample[] = [];

  private readonly startedMs = performance.now();

  /**
   * @param demo - the site and its load
   * @param root - the checkout
   * @param say - takes lines of progress
   */
  constructor(
    private readonly demo: DemoSite,
    private readonly root: string,
    private readonly say: (line: string) => void,
  ) {
    this.site = new Site(demo.plan, sitePrograms(root), this.directory);
    this.operator = new SiteOperator(this.site);
    this.caller = new SiteCaller(this.site);
  }

  /**
   * Runs everything and ends every process.
   *
   * @returns whether everything held
   */
  async run(): Promise<boolean> {
    try {
      await this.begin();
      const sampling = new AbortController();
      const sampled = sampleVersions(this.site, this.operator, this.versions, sampling.signal);
      const [, window] = await Promise.all([this.load(), this.faults()]);
      sampling.abort();
      await sampled;
      const allEnded = await this.finish();
      return this.report(window, allEnded);
    } finally {
      await this.site.stop();
      rmSync(this.directory, { recursive: true, force: true });
    }
  }

  private async begin(): Promise<void> {
    this.progress(`Starting ${this.demo.plan.name}.`);
    await this.site.start();
    const { length: workers } = this.site.workers();
    this.progress(`${this.site.entries.length} entries and ${workers} workers run.`);
    const { version } = await this.operator.publish(join(this.root, 'examples', this.demo.example));
    await this.operator.inForce(version);
    this.progress(`Configuration version ${version} is in force at every entry.`);
    await until('every shard to have an owner', () => this.everythingOwned());
    await pause(SETTLE_MS);
  }

  private async everythingOwned(): Promise<boolean> {
    const status = await this.caller.read<{
      readonly resources: readonly { readonly owner: string | null }[];
    }>('/status');
    return status !== undefined && status.resources.every(({ owner }) => owner !== null);
  }

  private async load(): Promise<void> {
    this.progress(`Load begins, for ${LOAD_MS / 1000} s.`);
    await new MixedLoad(this.caller, this.demo).run(AbortSignal.timeout(LOAD_MS));
    this.progress('Load ends.');
  }

  private async faults(): Promise<OutWindow> {
    const { outage, killIn } = this.demo;
    await pause(OUTAGE_STARTS_MS);
    const started = await this.operator.outage('start', outage);
    this.progress(`${outage} is out (version ${started.version}).`);
    await pause(ENTRY_DIES_MS - OUTAGE_STARTS_MS);
    const [victim] = this.site.entries.filter(({ dataCentre }) => dataCentre === killIn).slice(-1);
    if (victim) {
      await this.site.killEntry(victim);
      this.progress(`Entry ${victim.id} was killed.`);
    }
    const replacement = await this.site.startEntry(killIn);
    this.progress(`Entry ${replacement.id} takes its place.`);
    await pause(OUTAGE_ENDS_MS - ENTRY_DIES_MS);
    const ended = await this.operator.outage('end', outage);
    this.progress(`${outage} is back (version ${ended.version}).`);
    const [window] = this.operator.outWindows;
    if (!window) throw new Error('The outage was not noted.');
    return window;
  }

  /** Clears watchers and waits until every task has ended. */
  private async finish(): Promise<boolean> {
    this.progress('Waiting for tasks to end.');
    const { taskClass } = this.demo.watchers;
    const watchers = this.caller.tasks.filter((task) => task.taskClass === taskClass);
    await Promise.all(watchers.map(({ id }) => this.caller.cancel(id)));
    try {
      await until('every task to end', () => this.allEnded(), FINISH_TIMEOUT_MS);
      return true;
    } catch {
      await this.showUnfinished();
      return false;
    }
  }

  private async showUnfinished(): Promise<void> {
    const shown = await this.showTasks();
    const unfinished = shown.filter((task) => !task || !ENDED_STATES.has(task.state));
    unfinished.slice(0, SHOWN_TASKS).forEach((task) => this.progress(JSON.stringify(task)));
  }

  private showTasks(): Promise<readonly (TaskShown | undefined)[]> {
    return Promise.all(
      this.caller.tasks.map(({ id }) => this.caller.read<TaskShown>(`/tasks/${id}`)),
    );
  }

  private async allEnded(): Promise<boolean> {
    const shown = await this.showTasks();
    return shown.every((task) => task !== undefined && ENDED_STATES.has(task.state));
  }

  private report(window: OutWindow, allEnded: boolean): boolean {
    const events = this.site.history();
    const { onceClasses, tasks } = this.demo;
    const { versions } = this;
    const evidence = {
      events,
      outWindows: [window],
      leaveWindows: [],
      versions,
      callers: this.caller.records,
      onceClasses,
    };
    const verdicts: readonly Verdict[] = [
      ...ruleVerdicts(evidence),
      { text: 'Every accepted task came to an end', holds: allEnded },
    ];
    this.say('');
    requestTable(this.caller.records).forEach((line) => this.say(line));
    this.say('');
    this.say(`tasks accepted: ${this.caller.tasks.length}`);
    this.say(`submissions refused: ${this.caller.failedSubmissions.length}`);
    taskLines(events, window, tasks.taskClass).forEach((line) => this.say(line));
    this.say('');
    verdicts.forEach(({ text, holds }) => this.say(`${holds ? 'holds ' : 'BROKEN'}  ${text}`));
    return verdicts.every(({ holds }) => holds);
  }

  private progress(text: string): void {
    const seconds = ((performance.now() - this.startedMs) / 1000).toFixed(1).padStart(5);
    this.say(`${seconds} s  ${text}`);
  }
}
