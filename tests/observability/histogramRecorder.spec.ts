/**
 * Histograms, their bounds and how they are handed out.
 */
import test from 'ava';
import { HistogramRecorder } from 'samphirenotch/observability/histogramRecorder.js';
import { encodeSeries, summarizeSeries } from 'samphirenotch/observability/histogramSummary.js';
import { writePrometheus } from 'samphirenotch/observability/prometheusText.js';

const BOUNDS = { classes: 2, tenants: 3, counters: 4 };

test('should keep a bounded number of series and lose no measurement', (t) => {
  const recorder = new HistogramRecorder('Timaru', BOUNDS);
  for (let index = 0; index < 100; index += 1) {
    recorder.time('total', { taskClass: `class-${index}`, tenant: `tenant-${index}` }, index);
    recorder.count('refused', { tenant: `tenant-${index}` });
  }
  const series = recorder.series();
  const countOf = (name: 'taskClass' | 'tenant'): number =>
    series
      .filter(({ key }) => key[name] !== undefined)
      .reduce((sum, { durations }) => sum + durations.count(), 0);

  t.is(series.length, BOUNDS.classes + 1 + BOUNDS.tenants + 1);
  t.is(countOf('taskClass'), 100);
  t.is(countOf('tenant'), 100);
  t.is(recorder.counters().length, BOUNDS.counters + 1);
  t.is(
    recorder.counters().reduce((sum, { value }) => sum + value, 0),
    100,
  );
});

test('should add histograms of several entries exactly', (t) => {
  const entries = ['Timaru', 'Timaru', 'Rakaia'].map((name) => new HistogramRecorder(name));
  entries.forEach((recorder, entry) => {
    for (let index = 0; index < 100; index += 1) {
      const durationMs = entry * 100 + index + 1;
      recorder.time('total', { taskClass: 'price-check', tenant: 'growers' }, durationMs);
    }
  });
  const series = entries.flatMap((recorder) => recorder.series().map(encodeSeries));

  const [byClass] = summarizeSeries(series, 'class');
  t.is(byClass?.count, 300);
  t.true(Math.abs((byClass?.p50Ms ?? 0) - 150) < 3);
  t.true(Math.abs((byClass?.maximumMs ?? 0) - 300) < 3);
  const places = summarizeSeries(series, 'data-centre').map(({ count, group }) => [group, count]);
  t.deepEqual(places, [
    ['Rakaia', 100],
    ['Timaru', 200],
  ]);
});

test('should write Prometheus text with escaped labels and cumulative buckets', (t) => {
  const recorder = new HistogramRecorder('Timaru');
  recorder.time('queue', { taskClass: 'a"b\\c\nd', tenant: 'growers' }, 1.5);
  recorder.time('queue', { taskClass: 'a"b\\c\nd', tenant: 'growers' }, 70_000);
  recorder.count('refusedRequests', { taskClass: 'a' }, 2);
  const age = { name: 'configurationAgeSeconds', labels: {}, value: 0.5 };
  const text = writePrometheus(recorder.series(), recorder.counters(), [age]);

  const labels = 'step="queue",task_class="a\\"b\\\\c\\nd",data_centre="Timaru"';
  const name = 'samphirenotch_step_duration_seconds';
  t.true(text.includes(`${name}_bucket{${labels},le="0.001"} 0\n`));
  t.true(text.includes(`${name}_bucket{${labels},le="60"} 1\n`));
  t.true(text.includes(`${name}_bucket{${labels},le="+Inf"} 2\n`));
  t.true(text.includes(`${name}_sum{${labels}} 70.0015\n`));
  t.true(text.includes('samphirenotch_refused_requests_total{task_class="a"} 2\n'));
  t.true(text.includes('samphirenotch_configuration_age_seconds 0.5\n'));
});
