/**
 * Checks messages about shards at the edge and turns them into the types of the shards part.
 */
import { z } from 'zod';
import { Failure } from '../failure.js';
import type { AttemptOrder, AttemptReport } from '../infrastructure/worker.js';
import { Err, Ok, type Result } from '../results.js';
import type { PlacementOutcome, PlacementRequest, Reservation } from '../shards/shardService.js';
import type {
  AttemptReport as AttemptReportWire,
  StartRequest,
} from './generated/samphirenotch/v1/shards.js';

const LONGEST_NAME = 300;
const LONGEST_PAYLOAD = 1024 * 1024;
const MOST_EXCLUDED = 1000;

const NAME = z.string().min(1).max(LONGEST_NAME);
const AMOUNT = z.number().int().nonnegative();

const SIZE = z.object({ milliCores: AMOUNT, memoryMb: AMOUNT, accelerators: AMOUNT });

const RESERVATION = z.object({
  reservationId: NAME,
  shard: NAME,
  epoch: AMOUNT,
  workerId: NAME,
  size: SIZE,
});

const JOB = { attemptId: NAME, jobId: NAME, partition: NAME, taskClass: NAME, tenant: NAME };

const RESERVE = z.object({
  shard: NAME,
  ...JOB,
  declaredSize: SIZE,
  excludedWorkers: z.array(NAME).max(MOST_EXCLUDED),
  priority: z.number(),
});

const REFUSALS = ['no-room-now', 'never-fits', 'data-centre-out', 'configuration-stale'] as const;

const RESERVED = z.object({
  reservation: RESERVATION.optional(),
  refusal: z.enum(['', ...REFUSALS]),
});

const CANCEL = z.object({ reservation: RESERVATION });

const START = z.object({
  reservation: RESERVATION,
  ...JOB,
  size: SIZE,
  checkpoint: z.string().max(LONGEST_PAYLOAD).optional(),
  payload: z.string().max(LONGEST_PAYLOAD),
  leaseMs: AMOUNT,
});

const ATTEMPT = { shard: NAME, workerId: NAME, attemptId: NAME };

const STOP = z.object({ ...ATTEMPT, withCheckpoint: z.boolean() });

const FIND = z.object(ATTEMPT);

const PHASES = ['running', 'completed', 'failed', 'stopped', 'lapsed'] as const;

const REPORT = z.object({
  ...JOB,
  jobId: z.string().max(LONGEST_NAME),
  partition: z.string().max(LONGEST_NAME),
  taskClass: z.string().max(LONGEST_NAME),
  tenant: z.string().max(LONGEST_NAME),
  size: SIZE,
  phase: z.enum(PHASES),
  checkpoint: z.string().optional(),
  detail: z.string().optional(),
  used: SIZE.optional(),
});

const REPORT_ANSWER = z.object({ report: REPORT });
const FIND_ANSWER = z.object({ report: REPORT.optional() });

/** A wish with the shard that it is for. */
export interface ReserveMessage {
  readonly shard: string;
  readonly wish: PlacementRequest;
}

/** A start. */
export interface StartMessage {
  readonly reservation: Reservation;
  readonly order: AttemptOrder;
}

type Present<T> = { [K in keyof T]: Exclude<T[K], undefined> };

/** Drops keys without a value, which the types of the library do not have. */
const present = <T extends object>(value: T): Present<T> =>
  Object.fromEntries(Object.entries(value).filter(([, each]) => each !== undefined)) as Present<T>;

const check = <T>(
  schema: z.ZodType<T>,
  wire: unknown,
  step: string,
  peer: string,
): Result<T, Failure> => {
  const parsed = schema.safeParse(wire);
  if (parsed.success) return Ok(parsed.data);
  const message = z.prettifyError(parsed.error);
  return Err(new Failure({ code: 'invalid', step, peer, effect: 'not-run', message }));
};

/** An answer that cannot be read leaves open what was done. */
const checkAnswer = <T>(
  schema: z.ZodType<T>,
  wire: unknown,
  step: string,
  peer: string,
): Result<T, Failure> => {
  const checked = check(schema, wire, step, peer);
  if (checked.ok) return checked;
  const { message } = checked.val;
  return Err(new Failure({ code: 'internal', step, peer, effect: 'unknown', message }));
};

/**
 * Checks a request for room.
 *
 * @param wire - the request
 * @param peer - who sent it
 * @returns shard and wish, or what is wrong
 */
export const reserveFromWire = (wire: unknown, peer: string): Result<ReserveMessage, Failure> =>
  check(RESERVE, wire, 'shard.reserve', peer).map(({ shard, ...wish }) => ({ shard, wish }));

/**
 * Checks the answer to a request for room.
 *
 * @param wire - the answer
 * @param peer - who sent it
 * @returns the outcome, or what is wrong
 */
export const reserveAnswerFromWire = (
  wire: unknown,
  peer: string,
): Result<PlacementOutcome, Failure> =>
  checkAnswer(RESERVED, wire, 'shard.reserve', peer).map(({ reservation, refusal }) => {
    if (reservation) return { kind: 'reserved', reservation };
    return { kind: 'refused', reason: refusal === '' ? 'no-room-now' : refusal };
  });

/**
 * Checks the cancellation of a reservation.
 *
 * @param wire - the request
 * @param peer - who sent it
 * @returns the reservation, or what is wrong
 */
export const cancelFromWire = (wire: unknown, peer: string): Result<Reservation, Failure> =>
  check(CANCEL, wire, 'shard.cancel', peer).map(({ reservation }) => reservation);

/**
 * Checks a start.
 *
 * @param wire - the request
 * @param peer - who sent it
 * @returns reservation and order, or what is wrong
 */
export const startFromWire = (wire: unknown, peer: string): Result<StartMessage, Failure> =>
  check(START, wire, 'shard.start', peer).map(({ reservation, ...order }) => ({
    reservation,
    order: present(order) as AttemptOrder,
  }));

/**
 * Turns a start into its wire form.
 *
 * @param reservation - the reserved room
 * @param order - what to start
 * @returns the request
 */
export const startToWire = (reservation: Reservation, order: AttemptOrder): StartRequest => {
  const { attemptId, jobId, partition, taskClass, tenant, size, payload, leaseMs } = order;
  const { checkpoint } = order;
  const job = { attemptId, jobId, partition, taskClass, tenant };
  return { reservation, ...job, size, checkpoint, payload, leaseMs };
};

/**
 * Checks a stop.
 *
 * @param wire - the request
 * @param peer - who sent it
 * @returns what to stop, or what is wrong
 */
export const stopFromWire = (
  wire: unknown,
  peer: string,
): Result<Readonly<z.infer<typeof STOP>>, Failure> => check(STOP, wire, 'shard.stop', peer);

/**
 * Checks a question for an attempt.
 *
 * @param wire - the request
 * @param peer - who sent it
 * @returns what to find, or what is wrong
 */
export const findFromWire = (
  wire: unknown,
  peer: string,
): Result<Readonly<z.infer<typeof FIND>>, Failure> => check(FIND, wire, 'shard.find', peer);

/**
 * Turns a report into its wire form.
 *
 * @param report - the report
 * @returns the message
 */
export const reportToWire = (report: AttemptReport): AttemptReportWire => ({
  ...report,
  checkpoint: report.checkpoint,
  detail: report.detail,
  used: report.used,
});

/**
 * Checks an answer that holds a report.
 *
 * @param wire - the answer
 * @param step - the step that asked
 * @param peer - who sent it
 * @returns the report, or what is wrong
 */
export const reportAnswerFromWire = (
  wire: unknown,
  step: string,
  peer: string,
): Result<AttemptReport, Failure> =>
  checkAnswer(REPORT_ANSWER, wire, step, peer).map(
    ({ report }) => present(report) as AttemptReport,
  );

/**
 * Checks the answer to a question for an attempt.
 *
 * @param wire - the answer
 * @param peer - who sent it
 * @returns the report if there is one, or what is wrong
 */
export const findAnswerFromWire = (
  wire: unknown,
  peer: string,
): Result<AttemptReport | undefined, Failure> =>
  checkAnswer(FIND_ANSWER, wire, 'shard.find', peer).map(
    ({ report }) => report && (present(report) as AttemptReport),
  );
