/**
 * Forecasts of periodic loads, from readings with seeded noise.
 */
import test from 'ava';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import { PeriodicForecast } from 'samphirenotch/jobs/pacing/periodicForecast.js';
import { PeriodSelection } from 'samphirenotch/jobs/pacing/periodSelection.js';

const READING_GAP_MS = 250;
const HORIZON_MS = 700;
const SERIES = 6;

/** True value of a series at a time, without noise. */
type Signal = (series: number, atMs: number) => number;

const sinusoid =
  (periodMs: number): Signal =>
  (series, atMs) =>
    0.15 + 0.06 * Math.sin((2 * Math.PI * (atMs + series * 1_700)) / periodMs);

/** Root mean square errors of the forecast and of the last reading, after half of the duration. */
const errorsOf = (
  signal: Signal,
  {
    disturbedShare = 0,
    durationMs = 60_000,
  }: { disturbedShare?: number; durationMs?: number } = {},
) => {
  const random = new SeededRandom(7);
  const periods = new PeriodSelection();
  const forecasts = Array.from({ length: SERIES }, () => new PeriodicForecast(periods, 0));
  const errors = { forecast: 0, last: 0, bias: 0, count: 0 };
  const read = (each: PeriodicForecast, series: number, atMs: number): void => {
    const isDisturbed = random.fraction() < disturbedShare;
    const noise = 0.01 * (random.fraction() - 0.5);
    const reading = signal(series, atMs) + noise - (isDisturbed ? 0.05 : 0);
    each.learn(reading, 1, atMs);
    if (atMs < durationMs / 2) return;
    const truth = signal(series, atMs + HORIZON_MS);
    const error = each.forecastAt(atMs + HORIZON_MS) - truth;
    errors.forecast += error ** 2;
    errors.bias += error;
    errors.last += (reading - truth) ** 2;
    errors.count += 1;
  };
  for (let atMs = 0; atMs < durationMs; atMs += READING_GAP_MS) {
    forecasts.forEach((each, series) => read(each, series, atMs));
  }
  const { forecast, last, bias, count } = errors;
  return {
    forecast: Math.sqrt(forecast / count),
    last: Math.sqrt(last / count),
    bias: bias / count,
    periodMs: periods.periodMs,
  };
};

test('should forecast a periodic load far better than its last reading does', (t) => {
  const { forecast, last, periodMs = 0 } = errorsOf(sinusoid(10_000));
  t.true(forecast < last / 3);
  // Candidate periods are a seventh apart.
  t.true(Math.abs(periodMs - 10_000) < 1_000);
});

test('should forecast loads of shorter and longer periods', (t) => {
  [6_000, 14_000].forEach((periodMs) => {
    const { forecast, last } = errorsOf(sinusoid(periodMs), { durationMs: 90_000 });
    t.true(forecast < last / 2);
  });
});

test('should follow a level that jumps and is not periodic', (t) => {
  const { forecast, last } = errorsOf((_series, atMs) => (atMs < 45_000 ? 0.1 : 0.2));
  t.true(forecast < last * 1.2);
});

test('should give undisturbed readings more weight than disturbed ones', (t) => {
  const disturbed = errorsOf(sinusoid(10_000), { disturbedShare: 0.3 });
  // A mean of all readings would be too low by the average disturbance.
  t.true(disturbed.bias > -0.3 * 0.05);
  t.true(disturbed.forecast < disturbed.last / 2);
});

test('should select another period when the period of the load changes', (t) => {
  const { forecast, last } = errorsOf(
    (series, atMs) => sinusoid(atMs < 50_000 ? 6_000 : 12_000)(series, atMs),
    { durationMs: 150_000 },
  );
  t.true(forecast < last / 2);
});
