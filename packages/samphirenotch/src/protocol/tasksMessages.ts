/**
 * Checks of the messages about tasks that entries send one another.
 */
import { z } from 'zod';

const MAXIMUM_NAME = 256;
const MAXIMUM_PAYLOAD = 64 * 1024;
const MAXIMUM_TEXT = 16 * 1024;
const MAXIMUM_PAGE = 1_000;
const MAXIMUM_REPORTS = 10_000;

const NAME = z.string().min(1).max(MAXIMUM_NAME);
const TEXT = z.string().max(MAXIMUM_TEXT);
const AMOUNT = z.number().nonnegative();

const SIZE = z.object({ milliCores: AMOUNT, memoryMb: AMOUNT, accelerators: AMOUNT });

/** State of a job. */
export const STATE = z.enum([
  'queued',
  'starting',
  'running',
  'evicting',
  'completed',
  'failed',
  'cancelled',
  'held',
]);

/** A job as callers see it. */
export const TASK_VIEW = z.object({
  id: NAME,
  taskClass: NAME,
  tenant: NAME,
  state: STATE,
  submittedAtMs: z.number(),
  stateSinceMs: z.number(),
  attempts: z.number(),
  evictions: z.number(),
  cancelRequested: z.boolean(),
  workerId: NAME.optional(),
  dataCentre: NAME.optional(),
  checkpoint: TEXT.optional(),
  detail: TEXT.optional(),
  limit: NAME.optional(),
});

/** A task to be accepted. */
export const SUBMIT_TASK = z.object({
  jobId: NAME,
  partition: NAME,
  taskClass: NAME,
  tenant: NAME,
  payload: z.string().refine((text) => Buffer.byteLength(text) <= MAXIMUM_PAYLOAD),
});

/** A request about one job. */
export const ONE_TASK = z.object({ jobId: NAME });

/** Which jobs to list. */
export const LIST_TASKS = z.object({
  partition: NAME,
  afterId: z.string().max(MAXIMUM_NAME),
  limit: z.number().int().min(1).max(MAXIMUM_PAGE),
  tenant: NAME.optional(),
  taskClass: NAME.optional(),
  state: STATE.optional(),
});

/** A page of jobs. */
export const TASK_PAGE = z.array(TASK_VIEW).max(MAXIMUM_PAGE);

/** Why a job waits or runs. */
export const TASK_EXPLANATION = z.object({
  jobId: NAME,
  state: STATE,
  reason: z.string().max(MAXIMUM_NAME),
  text: TEXT,
  limit: NAME.optional(),
});

const ATTEMPT_REPORT = z.object({
  attemptId: NAME,
  jobId: z.string().max(MAXIMUM_NAME),
  partition: z.string().max(MAXIMUM_NAME),
  taskClass: z.string().max(MAXIMUM_NAME),
  tenant: z.string().max(MAXIMUM_NAME),
  size: SIZE,
  phase: z.enum(['running', 'completed', 'failed', 'stopped', 'lapsed']),
  checkpoint: TEXT.optional(),
  detail: TEXT.optional(),
  used: SIZE.optional(),
});

/** Reports of attempts. */
export const REPORT_ATTEMPTS = z.object({
  partition: NAME,
  workerId: NAME,
  shard: NAME,
  reports: z.array(ATTEMPT_REPORT).max(MAXIMUM_REPORTS),
});

/** Ids of recorded attempts. */
export const RECORDED_IDS = z.array(NAME).max(MAXIMUM_REPORTS);
