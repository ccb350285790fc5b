/**
 * Reports the attempts of one worker to the owners of their jobs, beside the heartbeats so that a
 * slow owner of jobs delays none.
 */
import { partLog } from '../observability/log.js';
import type { AttemptReport } from '../infrastructure/worker.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { AttemptSink } from './shardService.js';
import { REPORT_WINDOW_MS } from './taskLease.js';

const REPORT_TIMEOUT_MS = 1000;

const log = partLog('reports');

/** Reports of one worker. */
export class AttemptReporter {
  private readonly takenAtMs = new Map<string, number>();

  private readonly underWay = new Set<string>();

  private readonly recorded = new Set<string>();

  /** Ended attempts that the worker itself cannot tell of. */
  private readonly concluded = new Map<string, AttemptReport>();

  /**
   * @param sink - takes the reports
   * @param clock - for deadlines
   * @param workerId - the worker
   * @param shard - its shard
   */
  constructor(
    private readonly sink: AttemptSink,
    private readonly clock: Clock,
    private readonly workerId: string,
    private readonly shard: string,
  ) {}

  /**
   * Adds an ended attempt that is reported until it is recorded.
   *
   * @param report - how it ended
   */
  conclude(report: AttemptReport): void {
    this.concluded.set(report.attemptId, report);
  }

  /**
   * Sends reports to each partition that none is under way to.
   *
   * @param attempts - what the worker holds
   */
  offer(attempts: readonly AttemptReport[]): void {
    const held = new Set(attempts.map(({ attemptId }) => attemptId));
    [...this.recorded].filter((id) => !held.has(id)).forEach((id) => this.recorded.delete(id));
    const fromWorker = attempts.filter(({ attemptId }) => !this.recorded.has(attemptId));
    const all = [...fromWorker, ...this.concluded.values()];
    new Set(all.map(({ partition }) => partition)).forEach((partition) => {
      if (this.underWay.has(partition)) return;
      const reports = all.filter((report) => report.partition === partition);
      this.underWay.add(partition);
      this.send(partition, reports).finally(() => this.underWay.delete(partition));
    });
  }

  /**
   * Ended attempts that are recorded and may be forgotten by the worker.
   *
   * @returns their ids
   */
  acknowledged(): readonly string[] {
    return [...this.recorded];
  }

  /**
   * Tells whether the owner of a partition took a report lately.
   *
   * @param partition - the partition
   * @returns true if it did
   */
  wasTakenLately(partition: string): boolean {
    const takenAtMs = this.takenAtMs.get(partition) ?? -Infinity;
    return this.clock.monotonicMs() - takenAtMs <= REPORT_WINDOW_MS;
  }

  private async send(partition: string, reports: readonly AttemptReport[]): Promise<void> {
    const sentAtMs = this.clock.monotonicMs();
    const call = callWithin(this.clock, REPORT_TIMEOUT_MS);
    const { workerId, shard } = this;
    const taken = await this.sink.report(partition, workerId, shard, reports, call);
    if (!taken.ok) {
      log.debug('A report was not taken.', { partition, reason: taken.val.message });
      return;
    }
    this.takenAtMs.set(partition, sentAtMs);
    taken.val.forEach((attemptId) => {
      if (!this.concluded.delete(attemptId)) this.recorded.add(attemptId);
    });
  }
}
