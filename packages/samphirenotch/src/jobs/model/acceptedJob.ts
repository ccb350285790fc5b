/**
 * Encodes accepted jobs for the store, as JSON, and decodes them.
 */
import { z } from 'zod';

import type { AcceptedJob } from './jobSpec.js';

const SIZE = z.object({
  milliCores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const STEP = z.object({
  count: z.number(),
  size: SIZE,
  estimateMs: z.number(),
  after: z.array(z.number()),
  checkpointing: z.boolean(),
  gang: z.boolean(),
  sameRack: z.boolean(),
  requiredLabel: z.string(),
  dataRack: z.string(),
  perWorkerLimit: z.number(),
  speculative: z.boolean(),
  longRunning: z.boolean(),
  image: z.string(),
  targetMs: z.number(),
  filler: z.boolean(),
  allowedAbsent: z.number(),
});

const QUEUE = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  service: z.string(),
  priority: z.number(),
  maximumAttempts: z.number(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  policy: z.object({ decisionMs: z.number(), perWorkerMs: z.number() }).optional(),
});

const ACCEPTED = z.object({
  id: z.string(),
  home: z.string(),
  queue: QUEUE,
  acceptedAtMs: z.number(),
  job: z.object({
    spec: z.string(),
    steps: z.array(STEP),
    repeatCount: z.number(),
    startAtMs: z.number(),
    intervalMs: z.number(),
  }),
});

/**
 * Encodes an accepted job.
 *
 * @param accepted - the job
 * @returns text for the store
 */
export const encodeAccepted = (accepted: AcceptedJob): string => JSON.stringify(accepted);

/**
 * Decodes an accepted job.
 *
 * @param text - text from the store
 * @returns the job
 * @throws if the text was not written by `encodeAccepted`
 */
export const decodeAccepted = (text: string): AcceptedJob => ACCEPTED.parse(JSON.parse(text));
