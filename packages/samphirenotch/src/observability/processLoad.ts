/**
 * Tells what a process costs: processor time, how long its event loop was busy, and calls to others by
 * step.
 *
 * An entry that is late for want of a processor differs in this from one that waits for a peer, and an
 * entry that owns nothing from an owner.
 */
import { performance } from 'node:perf_hooks';

import type { Clock } from '../time/clock.js';

import { processCalls, type CallCounter } from './callCounter.js';
import type { Counter } from './histogramRecorder.js';
import { partLog, type LogFields } from './log.js';

/** Time between two lines, in milliseconds. */
const REPORT_MS = 5_000;

const US_PER_MS = 1_000;
const MS_PER_S = 1_000;

/** What a process has used so far, in milliseconds. */
export interface ProcessUsage {
  readonly processorMs: number;
  /**
   * Time for which its event loop had something to do. On a processor that is slow, shared or capped it
   * is longer than the processor time, and what comes in meanwhile waits.
   */
  readonly busyMs: number;
}

/** @returns what this process has used so far */
const usageOfProcess = (): ProcessUsage => {
  const { user, system } = process.cpuUsage();
  const { active } = performance.eventLoopUtilization();
  return { processorMs: (user + system) / US_PER_MS, busyMs: active };
};

/** @returns usage and calls of this process so far, for metrics */
export const processLoadCounters = (): readonly Counter[] => {
  const { processorMs, busyMs } = usageOfProcess();
  return [
    { name: 'processor_seconds', labels: {}, value: processorMs / MS_PER_S },
    { name: 'busy_seconds', labels: {}, value: busyMs / MS_PER_S },
    ...[...processCalls.all()].map(([step, value]) => ({ name: 'calls', labels: { step }, value })),
  ];
};

/** Writes a line about the load of one process now and then. */
export class ProcessLoad {
  private readonly log = partLog('load');

  private toldCalls: ReadonlyMap<string, number> = new Map();

  private toldUsage: ProcessUsage = { processorMs: 0, busyMs: 0 };

  private toldMs: number;

  /**
   * @param clock - time
   * @param calls - calls of the process
   * @param usage - tells what it has used so far
   */
  constructor(
    private readonly clock: Clock,
    private readonly calls: CallCounter = processCalls,
    private readonly usage: () => ProcessUsage = usageOfProcess,
  ) {
    this.toldMs = clock.monotonicMs();
  }

  /**
   * Writes lines until told to stop.
   *
   * @param signal - ends it
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(REPORT_MS, signal);
      if (!signal.aborted) this.log.info('The load of the process', this.take());
    }
  }

  /**
   * Sums up what the process has done since the last time; the first time since it was started.
   *
   * @returns the time that it covers, processor time, busy time and calls by step
   */
  take(): LogFields {
    const nowMs = this.clock.monotonicMs();
    const usage = this.usage();
    const calls = new Map(this.calls.all());
    const made = [...calls].map(
      ([step, count]) => [step, count - (this.toldCalls.get(step) ?? 0)] as const,
    );
    const load = {
      overMs: Math.round(nowMs - this.toldMs),
      processorMs: Math.round(usage.processorMs - this.toldUsage.processorMs),
      busyMs: Math.round(usage.busyMs - this.toldUsage.busyMs),
      ...Object.fromEntries(made.filter(([, count]) => count > 0)),
    };
    this.toldMs = nowMs;
    this.toldUsage = usage;
    this.toldCalls = calls;
    return load;
  }
}
