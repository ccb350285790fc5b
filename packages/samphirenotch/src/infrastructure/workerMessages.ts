/**
 * Shapes of what workers answer, checked where it arrives.
 */
import { z } from 'zod';

/** An amount of what a VM has. */
export const SIZE = z.object({
  milliCores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

/** An attempt as its worker reports it. */
export const ATTEMPT_REPORT = z.object({
  attemptId: z.string(),
  jobId: z.string(),
  partition: z.string(),
  taskClass: z.string(),
  tenant: z.string(),
  size: SIZE,
  phase: z.enum(['running', 'completed', 'failed', 'stopped', 'lapsed']),
  checkpoint: z.string().optional(),
  detail: z.string().optional(),
  used: SIZE.optional(),
});

/** Everything a worker holds. */
export const INVENTORY = z.object({
  epoch: z.number(),
  attempts: z.array(ATTEMPT_REPORT),
  busySlots: z.number(),
  leaving: z.boolean(),
});

/** A checkpoint's reference. */
export const CHECKPOINT = z.object({ checkpoint: z.string() });

/** What a worker remembers of a request. */
export const RECALL_ANSWER = z.object({ memory: z.enum(['never-seen', 'running', 'finished']) });

/** A worker VM as the platform lists it. */
export const WORKER_LISTING = z.object({
  id: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  rack: z.string(),
  capacity: SIZE,
  slots: z.number(),
  connections: z.number(),
  leaving: z.boolean(),
});
