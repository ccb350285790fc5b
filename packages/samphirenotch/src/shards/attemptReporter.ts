/**
 * Reports the attempts of one worker to the owners of their jobs. Reports are sent independently of
 * heartbeats, so that a slow job owner does not delay them.
 */
import { partLog } from '../observability/log.js';
import type { AttemptReport } from '../infrastructure/worker.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { AttemptReportSink } from './shardService.js';
import { REPORT_WINDOW_MS } from './taskLease.js';

const REPORT_TIMEOUT_MS = 1000;

const log = partLog('reports');

/** Sends reports about the attempts of one worker, and repeats them until they are recorded. */
export class AttemptReporter {
  /** Monotonic time at which the last accepted report was sent, by partition. */
  private readonly lastAcceptedAtMs = new Map<string, number>();

  /** Partitions with a report call in progress. */
  private readonly inFlight = new Set<string>();

  /** Ended attempts that the owner of the job has recorded and the worker still lists. */
  private readonly acknowledgedIds = new Set<string>();

  /** Ended attempts that the worker itself does not report, by attempt id. */
  private readonly endedReports = new Map<string, AttemptReport>();

  /**
   * @param sink - receives the reports
   * @param clock - for deadlines
   * @param workerId - the worker
   * @param shard - resource name of the worker's shard
   */
  constructor(
    private readonly sink: AttemptReportSink,
    private readonly clock: Clock,
    private readonly workerId: string,
    private readonly shard: string,
  ) {}

  /**
   * Adds an ended attempt, which is reported until the owner of its job has recorded it.
   *
   * @param report - how the attempt ended
   */
  addEnded(report: AttemptReport): void {
    this.endedReports.set(report.attemptId, report);
  }

  /**
   * Sends reports to each partition that has no report call in progress.
   *
   * @param attempts - all attempts that the worker lists
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
   * Lists the ended attempts that are recorded, so that the worker may forget them.
   *
   * @returns ids of the attempts
   */
  acknowledged(): readonly string[] {
    return [...this.acknowledgedIds];
  }

  /**
   * Tells whether the owner of a partition accepted a report within `REPORT_WINDOW_MS`.
   *
   * @param partition - the partition
   * @returns true if a report sent within the window was accepted
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
