/**
 * Histograms for the command line.
 */
import type { HttpExchange, HttpHandler } from '../http/httpHandler.js';
import type { HistogramRecorder } from './histogramRecorder.js';
import { encodeSeries } from './histogramSummary.js';
import { answerRead } from './textAnswer.js';

/** Serves `/histograms`. */
export class HistogramsHandler implements HttpHandler {
  readonly prefix = '/histograms';

  /**
   * @param recorder - the histograms
   */
  constructor(private readonly recorder: HistogramRecorder) {}

  async handle(exchange: HttpExchange): Promise<void> {
    answerRead(exchange, 'application/json', () => {
      const series = this.recorder.series().map(encodeSeries);
      return `${JSON.stringify({ series })}\n`;
    });
  }
}
