/**
 * What the letter names, and what nobody has measured or named.
 *
 * @packageDocumentation
 */

/** Milliseconds of a second. */
export const MS_PER_SECOND = 1_000;

/** Microseconds of a second. */
export const US_PER_SECOND = 1_000_000;

/** Seconds of a day. */
export const SECONDS_PER_DAY = 86_400;

/** Bytes of a megabyte. */
export const BYTES_PER_MEGABYTE = 1_000_000;

/** Sizes that the letter names. */
export const LETTER = {
  workers: 15_000,
  jobsPerDay: 290_000,
  startsPerSecond: 1_100,
  runningTasks: 400_000,
  teams: 700,
  dataCentres: 10,
  changesPerDay: 42_000,
  coreShare: 0.033,
  memoryMegabytes: 128,
  bytesPerSecond: 7_000,
  urgentStartMs: 8_600,
  configurationMs: 7_000,
} as const;

/** What nobody has measured or named. */
export const ASSUMED = {
  writesPerSecond: 400,
  readsPerSecond: 2_000,
  growthOfStore: 10,
  changesPerStart: 4,
  queuedJobs: 50_000,
  classes: 40,
  stepsPerClass: 5,
  othersPerHeartbeat: 6,
  prefixesWatched: 3,
  watchHoldMs: 4_000,
  configurationReadMs: 400,
  configurationFetchMs: 250,
  readersPerDataCentre: 2,
  callBetweenDataCentresMs: 5,
  storeCallMs: 10,
} as const;
