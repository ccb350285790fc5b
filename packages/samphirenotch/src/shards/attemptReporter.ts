/**
 * Reports the attempts of one worker to the owners of their jobs, beside the heartbeats so that a
 * slow owner of jobs delays none.
 */
import { partLog } from '../observability/log.js';
import type { AttemptReport } from '../infrastructure/worker.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { AttemptReportSink } from './shardService.js';
import { REPORT_WINDOW_MS } from './taskLease.js';

const REPORT_TIMEOUT_MS = 1000;

const log = partLog('reports');

/** Reports of one worker. */
export class AttemptReporter {
  private readonly lastAcceptedAtMs = new Map<string, number>();

  private readonly inFlight = new Set<string>();

  private readonly acknowledgedIds = new Set<string>();

  /** Ended attempts that the worker itself cannot tell of. */
  private readonly endedReports = new Map<string, AttemptReport>();

  /**
   * @param sink - takes the reports
   * @param clock - for deadlines
   * @param workerId - the worker
   * @param shard - its shard
   */
  constructor(
    private readonly sink: AttemptReportSink,
    private readonly clock: Clock,
    private readonly workerId: string,
    private readonly shard: string,
  ) {}

  /**
   * Adds an ended attempt that is reported until it is recorded.
   *
   * @param report - how it ended
   */
  addEnded(report: AttemptReport): void {
    this.endedReports.set(report.attemptId, report);
  }

  /**
   * Sends reports to each partition that none is under way to.
   *
   * @param attempts - what the worker holds
   */
  sendReports(attempts: readonly AttemptReport[]): void {
    const held = new Set(attempts.map(({ attemptId }) => attemptId));
    [...this.acknowledgedIds]
      .filter((id) => !held.has(id))
      .forEach((id) => this.acknowledgedIds.delete(id));
    const fromWorker = attempts.filter(({ attemptId }) => !this.acknowledgedIds.has(attemptId));
    const all = [...fromWorker, ...this.endedReports.values()];
    new Set(all.map(({ partition }) => partition)).forEach((partition) => {
      if (this.inFlight.has(partition)) return;
      const reports = all.filter((report) => report.partition === partition);
      this.inFlight.add(partition);
      this.sendTo(partition, reports).finally(() => this.inFlight.delete(partition));
    });
  }

  /**
   * Ended attempts that are recorded and may be forgotten by the worker.
   *
   * @returns their ids
   */
  acknowledged(): readonly string[] {
    return [...this.acknowledgedIds];
  }

  /**
   * Tells whether the owner of a partition took a report lately.
   *
   * @param partition - the partition
   * @returns true if it did
   */
  wasAcceptedRecently(partition: string): boolean {
    const lastAcceptedAtMs = this.lastAcceptedAtMs.get(partition) ?? -Infinity;
    return this.clock.monotonicMs() - lastAcceptedAtMs <= REPORT_WINDOW_MS;
  }

  private async sendTo(partition: string, reports: readonly AttemptReport[]): Promise<void> {
    const sentAtMs = this.clock.monotonicMs();
    const call = callWithin(this.clock, REPORT_TIMEOUT_MS);
    const { workerId, shard } = this;
    const accepted = await this.sink.report(partition, workerId, shard, reports, call);
    if (!accepted.ok) {
      log.debug('A report was not taken.', { partition, reason: accepted.val.message });
      return;
    }
    this.lastAcceptedAtMs.set(partition, sentAtMs);
    accepted.val.forEach((attemptId) => {
      if (!this.endedReports.delete(attemptId)) this.acknowledgedIds.add(attemptId);
    });
  }
}
