/**
 * Writes down what clients, workers and the platform see.
 */
import { createWriteStream } from 'node:fs';

/** A record of one run of a case. */
export class Recorder {
  /** All runs of each task, in the order of their starts. */
  runsByTask = new Map();

  /**
   * @param path - file for the record
   */
  constructor(path) {
    this.output = createWriteStream(path);
    this.startMs = performance.now();
  }

  /** Milliseconds since the case began. */
  nowMs() {
    return Math.round(performance.now() - this.startMs);
  }

  note(text) {
    this.output.write(`${(this.nowMs() / 1_000).toFixed(3)} ${text}\n`);
  }

  runStarted(worker, { task, run }) {
    const record = {
      task,
      run,
      worker: worker.id,
      labels: worker.labels,
      startMs: this.nowMs(),
      endMs: undefined,
      kind: undefined,
      acknowledgedMs: undefined,
      hasLapsed: false,
    };
    this.runsByTask.set(task, [...(this.runsByTask.get(task) ?? []), record]);
    this.note(`${worker.id} started ${task} run ${run}`);
  }

  runEnded(worker, { task, run }, kind) {
    const record = this.find(worker, task, run);
    record.endMs = this.nowMs();
    record.kind = kind;
    this.note(`${worker.id} ended ${task} run ${run}: ${kind}`);
  }

  endAcknowledged(worker, { task, run }) {
    this.find(worker, task, run).acknowledgedMs = this.nowMs();
  }

  /** The lease lapsed before the end was taken note of: the end does not count as such any more. */
  leaseLapsed(worker, { task, run }) {
    this.find(worker, task, run).hasLapsed = true;
  }

  endForgotten(worker, { task, run }) {
    this.note(`${worker.id} forgot the end of ${task} run ${run}, which nobody had taken note of`);
  }

  find(worker, task, run) {
    return this.runsByTask
      .get(task)
      .find((record) => record.run === run && record.worker === worker.id);
  }

  async close() {
    await new Promise((resolve) => {
      this.output.end(resolve);
    });
  }
}
