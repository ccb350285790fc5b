/**
 * Capacity and demand of a share, as its owner publishes them to other entries.
 */
import { z } from 'zod';

/** What interrupted tasks find in a share once its short tasks have ended, in thousandths of a core. */
export interface InterruptedRoom {
  /** Total of the workers that accept work. */
  readonly capacity: number;
  /** Room for further interrupted tasks; negative if the share needs more for its own. */
  readonly free: number;
}

/** What they find where no worker accepts work. */
export const NO_INTERRUPTED_ROOM: InterruptedRoom = { capacity: 0, free: 0 };

/** Capacity and demand of a share, in thousandths of a core. */
export interface ShareCapacity {
  /** Total of the workers that accept work. */
  readonly capacity: number;
  /** Part of the capacity that is not reserved; fillers reserve no processors. */
  readonly free: number;
  /** Part of the capacity that current runs are not expected to use. */
  readonly unused: number;
  /** Demand of the tasks that wait only for free capacity. */
  readonly waiting: number;
  /** Room for interrupted tasks by service; empty if its owner does not tell. */
  readonly forInterrupted: ReadonlyMap<string, InterruptedRoom>;
  /** All labels of its workers, including their racks. */
  readonly labels: ReadonlySet<string>;
}

/** Assumed for a share whose owner has published nothing yet. */
export const NO_CAPACITY: ShareCapacity = {
  capacity: 0,
  free: 0,
  unused: 0,
  waiting: 0,
  forInterrupted: new Map(),
  labels: new Set(),
};

const SHARE_CAPACITY = z.object({
  // Fields: capacity, free, unused, waiting.
  c: z.tuple([z.number(), z.number(), z.number(), z.number()]),
  l: z.array(z.string()),
  // Capacity and room for interrupted tasks by service.
  i: z.record(z.string(), z.tuple([z.number(), z.number()])).optional(),
});

/**
 * Encodes the capacity of a share.
 *
 * @param room - the capacity
 * @returns text for the store
 */
export const encodeShareCapacity = ({
  capacity,
  free,
  unused,
  waiting,
  forInterrupted,
  labels,
}: ShareCapacity) =>
  JSON.stringify({
    c: [capacity, free, unused, waiting].map(Math.round),
    l: [...labels],
    ...(forInterrupted.size > 0 && {
      i: Object.fromEntries(
        [...forInterrupted].map(([name, room]) => [
          name,
          [room.capacity, room.free].map(Math.round),
        ]),
      ),
    }),
  });

/**
 * Decodes the capacity of a share.
 *
 * @param text - text from the store
 * @returns the capacity
 * @throws if the text was not written by `encodeShareCapacity`
 */
export const decodeShareCapacity = (text: string): ShareCapacity => {
  const { c, l, i } = SHARE_CAPACITY.parse(JSON.parse(text));
  const [capacity, free, unused, waiting] = c;
  const forInterrupted = new Map(
    Object.entries(i ?? {}).map(([name, [total, left]]) => [name, { capacity: total, free: left }]),
  );
  return { capacity, free, unused, waiting, forInterrupted, labels: new Set(l) };
};
