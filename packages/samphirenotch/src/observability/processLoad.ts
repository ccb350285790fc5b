/**
 * Tells what a process costs: processor time, and calls to others by step.
 *
 * An entry that is late for want of a processor differs in this from one that waits for a peer, and an
 * entry that owns nothing from an owner.
 */
import type { Clock } from '../time/clock.js';

import { processCalls, type CallCounter } from './callCounter.js';
import type { Counter } from './histogramRecorder.js';
import { partLog, type LogFields } from './log.js';

/** Time between two lines, in milliseconds. */
const REPORT_MS = 5_000;

const US_PER_MS = 1_000;
const MS_PER_S = 1_000;

/** @returns processor time of this process so far, in milliseconds */
const processorMs = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
};

/** @returns processor time and calls of this process so far, for metrics */
export const processLoadCounters = (): readonly Counter[] => [
  { name: 'processor_seconds', labels: {}, value: processorMs() / MS_PER_S },
  ...[...processCalls.all()].map(([step, value]) => ({ name: 'calls', labels: { step }, value })),
];

/** Writes a line about the load of one process now and then. */
export class ProcessLoad {
  private readonly log = partLog('load');

  private toldCalls: ReadonlyMap<string, number> = new Map();

  private toldProcessorMs = 0;

  private toldMs: number;

  /**
   * @param clock - time
   * @param calls - calls of the process
   * @param usedMs - tells its processor time so far, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly calls: CallCounter = processCalls,
    private readonly usedMs: () => number = processorMs,
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
   * @returns the time that it covers, processor time and calls by step
   */
  take(): LogFields {
    const nowMs = this.clock.monotonicMs();
    const usedMs = this.usedMs();
    const calls = new Map(this.calls.all());
    const made = [...calls].map(
      ([step, count]) => [step, count - (this.toldCalls.get(step) ?? 0)] as const,
    );
    const load = {
      overMs: Math.round(nowMs - this.toldMs),
      processorMs: Math.round(usedMs - this.toldProcessorMs),
      ...Object.fromEntries(made.filter(([, count]) => count > 0)),
    };
    this.toldMs = nowMs;
    this.toldProcessorMs = usedMs;
    this.toldCalls = calls;
    return load;
  }
}
