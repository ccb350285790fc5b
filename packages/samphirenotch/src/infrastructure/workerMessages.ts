/**
 * Schemas that check the answers of workers and of the VM list.
 */
import { z } from 'zod';

/** Schema of `Size`. */
export const SIZE = z.object({
  milliCores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

/** Schema of `AttemptReport`. */
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

/** Schema of `Inventory`. */
export const INVENTORY = z.object({
  epoch: z.number(),
  attempts: z.array(ATTEMPT_REPORT),
  busySlots: z.number(),
  leaving: z.boolean(),
});

/** Schema of the answer to `checkpoint`: the reference of the checkpoint. */
export const CHECKPOINT = z.object({ checkpoint: z.string() });

/** Schema of the answer to `recall`: the status of the request. */
export const RECALL_ANSWER = z.object({ memory: z.enum(['never-seen', 'running', 'finished']) });

/** Schema of `WorkerListing`. */
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
