/**
 * The samphirenotch library: a scheduler for latency-critical requests and batch tasks.
 */
export { Entry } from './entry/entry.js';
export { configureLogs, partLog, type Log, type LogSettings } from './observability/log.js';
export { readEntrySettings, type EntrySettings } from './settings/entrySettings.js';
export { SystemClock, type Clock } from './time/clock.js';
export { Failure, type Effect, type FailureCode, type FailureDetail } from './failure.js';
export * from './results.js';
