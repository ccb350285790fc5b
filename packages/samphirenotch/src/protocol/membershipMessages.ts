/**
 * Checks membership messages at the edge and turns them into the types of the membership part.
 */
import { z } from 'zod';
import { Failure } from '../failure.js';
import type { MemberStatus, HeartbeatMessage } from '../membership/heartbeatMessage.js';
import { Err, Ok, type Result } from '../results.js';
import type {
  EntryNews as EntryNewsWire,
  HeartbeatRequest,
} from './generated/samphirenotch/v1/membership.js';

const LONGEST_NAME = 200;
const MOST_SERVICES = 1000;
const MOST_OTHERS = 100;

/** Largest age that fits the field, in milliseconds. */
const LARGEST_AGE_MS = 0xffffffff;

const NAME = z.string().min(1).max(LONGEST_NAME);

const ENTRY_NEWS = z
  .object({
    id: NAME,
    dataCentre: NAME,
    address: NAME,
    leaving: z.boolean(),
    freeSlots: z.number(),
    queuedRequests: z.number(),
    services: z.array(NAME).max(MOST_SERVICES),
    ageMs: z.number(),
  })
  .transform(({ freeSlots, queuedRequests, services, ...entry }): MemberStatus => ({
    ...entry,
    load: { freeSlots, queuedRequests, services },
  }));

const STAMP = z.object({
  version: z.number().int().nonnegative(),
  digest: z.string().max(LONGEST_NAME),
  confirmedAgeMs: z
    .number()
    .transform((ageMs) => (ageMs === LARGEST_AGE_MS ? Number.POSITIVE_INFINITY : ageMs)),
});

const HEARTBEAT = z.object({
  sender: ENTRY_NEWS,
  others: z.array(ENTRY_NEWS).max(MOST_OTHERS),
  configuration: STAMP.optional(),
});

const boundedAge = (ageMs: number): number => Math.min(LARGEST_AGE_MS, Math.ceil(ageMs));

const newsToWire = ({ load, ...news }: MemberStatus): EntryNewsWire => ({
  ...news,
  ageMs: boundedAge(news.ageMs),
  freeSlots: load.freeSlots,
  queuedRequests: load.queuedRequests,
  services: [...load.services],
});

/**
 * Turns a heartbeat into its wire form.
 *
 * @param message - the heartbeat
 * @returns the request or response
 */
export const heartbeatToWire = (message: HeartbeatMessage): HeartbeatRequest => ({
  sender: newsToWire(message.sender),
  others: message.others.map(newsToWire),
  configuration: message.configuration && {
    ...message.configuration,
    confirmedAgeMs: boundedAge(message.configuration.confirmedAgeMs),
  },
});

/**
 * Checks a received heartbeat.
 *
 * @param wire - the request or response
 * @param peer - who sent it
 * @returns the heartbeat, or what is wrong with it
 */
export const heartbeatFromWire = (
  wire: HeartbeatRequest,
  peer: string,
): Result<HeartbeatMessage, Failure> => {
  const parsed = HEARTBEAT.safeParse(wire);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    new Failure({
      code: 'invalid',
      step: 'membership.heartbeat',
      peer,
      effect: 'not-run',
      message: z.prettifyError(parsed.error),
    }),
  );
};
