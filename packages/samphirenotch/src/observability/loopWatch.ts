/**
 * Watches how late the process serves its timers: what waits for its event loop waits as long.
 *
 * A call that is not answered in time says nothing of the peer while the process itself is late.
 */
import type { Clock } from '../time/clock.js';

import { partLog } from './log.js';
import type { Recorder } from './recorder.js';

/** Time between two measurements, in milliseconds. */
const TICK_MS = 100;

/** Lateness from which a line is written, in milliseconds; calls to peers time out after 600. */
const NOTABLE_MS = 200;

/** Measures the lateness of one process. */
export class LoopWatch {
  private readonly log = partLog('loop');

  /**
   * @param clock - time
   * @param recorder - takes each measurement
   */
  constructor(
    private readonly clock: Clock,
    private readonly recorder: Recorder,
  ) {}

  /**
   * Measures until told to stop.
   *
   * @param signal - ends it
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, recorder } = this;
    while (!signal.aborted) {
      const dueMs = clock.monotonicMs() + TICK_MS;
      await clock.sleep(TICK_MS, signal);
      if (signal.aborted) return;
      const lateMs = Math.max(0, clock.monotonicMs() - dueMs);
      recorder.time('loop', { taskClass: 'process', tenant: 'process' }, lateMs);
      if (lateMs < NOTABLE_MS) continue;
      recorder.count('late_loops');
      this.log.warn('The process served its timers late', { lateMs: Math.round(lateMs) });
    }
  }
}
