/**
 * Measurements for Prometheus.
 */
import type { HttpExchange, HttpHandler } from '../http/httpHandler.js';
import type { HistogramRecorder } from './histogramRecorder.js';
import { writePrometheus, type Gauge } from './prometheusText.js';
import { answerRead } from './textAnswer.js';

/** A part that has gauges. */
export interface GaugeSource {
  gauges(): readonly Gauge[];
}

const TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Serves `/metrics`. */
export class MetricsHandler implements HttpHandler {
  readonly prefix = '/metrics';

  /**
   * @param recorder - histograms and counters
   * @param sources - parts that have gauges
   */
  constructor(
    private readonly recorder: HistogramRecorder,
    private readonly sources: readonly GaugeSource[] = [],
  ) {}

  async handle(exchange: HttpExchange): Promise<void> {
    answerRead(exchange, TYPE, () => {
      const gauges = this.sources.flatMap((source) => source.gauges());
      return writePrometheus(this.recorder.series(), this.recorder.counters(), gauges);
    });
  }
}
