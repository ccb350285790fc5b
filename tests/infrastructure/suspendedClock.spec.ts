/**
 * The system clock of a machine that is suspended, or whose wall clock is set.
 */
import test from 'ava';
import { SystemClock } from 'samphirenotch/time/clock.js';

/** Makes a system clock, and the readings behind it. */
const makeClock = () => {
  const readings = { steadyMs: 5_000, wallMs: 1_700_000_000_000, uptimeMs: 80_000 };
  const pass = (durationMs: number): void => {
    readings.steadyMs += durationMs;
    readings.wallMs += durationMs;
    readings.uptimeMs += durationMs;
  };
  /** Times for which the process stands still after the next readings of the uptime, in milliseconds. */
  const pausesMs: number[] = [];
  const readUptime = (): number => {
    const { uptimeMs } = readings;
    pass(pausesMs.shift() ?? 0);
    return uptimeMs;
  };
  const clock = new SystemClock({
    steadyMs: () => readings.steadyMs,
    wallMs: () => readings.wallMs,
    uptimeMs: readUptime,
  });
  const suspend = (durationMs: number): void => {
    readings.wallMs += durationMs;
    readings.uptimeMs += durationMs;
  };
  return { readings, clock, pass, suspend, pausesMs };
};

// Guards against an owner that takes its lease for valid after its machine was suspended: its successor has
// been elected meanwhile and has given up on workers that only the former owner reaches.
test('should count the time for which the machine is suspended', (t) => {
  const { clock, pass, suspend } = makeClock();
  const beganMs = clock.monotonicMs();
  for (let round = 1; round <= 3; round += 1) {
    pass(700);
    suspend(9_000);
    t.is(clock.monotonicMs() - beganMs, round * 9_700);
  }
});

// Guards against leases that end early since the wall clock is set.
test('should not count steps of the wall clock', (t) => {
  const { readings, clock, pass } = makeClock();
  const beganMs = clock.monotonicMs();
  for (const stepMs of [7_000, -7_000, -3_000, 3_000, 90]) {
    pass(700);
    readings.wallMs += stepMs;
    clock.monotonicMs();
  }
  pass(700);
  t.is(clock.monotonicMs() - beganMs, 4_200);
});

// Guards against time that is counted after the wall clock was set, when the machine is suspended later.
test('should count a suspension after a step of the wall clock', (t) => {
  const { readings, clock, pass, suspend } = makeClock();
  const beganMs = clock.monotonicMs();
  readings.wallMs += 5_000;
  clock.monotonicMs();
  pass(1_000);
  suspend(4_000);
  t.is(clock.monotonicMs() - beganMs, 5_000);
});

// Guards against time that passes too fast on a machine whose uptime runs at another rate, as in a
// container that is moved.
test('should count no suspension that the wall clock does not show', (t) => {
  const { readings, clock, pass } = makeClock();
  const beganMs = clock.monotonicMs();
  pass(1_000);
  readings.uptimeMs += 60_000;
  readings.wallMs += 2_000;
  t.is(clock.monotonicMs() - beganMs, 1_000);
});

// Guards against pauses of the process that count twice, as time and as a suspension.
test('should not count a pause of the process between two readings', (t) => {
  const { readings, clock, pass, pausesMs } = makeClock();
  const beganMs = clock.monotonicMs();
  readings.wallMs += 5_000;
  pausesMs.push(650, 650);
  clock.monotonicMs();
  pass(1_000);
  t.is(clock.monotonicMs() - beganMs, 2_300);
});
