/**
 * What room a share has, as its owner tells others.
 */
import { z } from 'zod';

/** Room of a share, in thousandths of a core. */
export interface ShareCapacity {
  /** Of workers that take work. */
  readonly capacity: number;
  /** Of it, what nothing but fillers has taken. */
  readonly free: number;
  /** Of it, what nothing in progress is expected to use. */
  readonly unused: number;
  /** What tasks ask for that could start if there were room. */
  readonly waiting: number;
  /** Labels that some of its workers have, their racks among them. */
  readonly labels: ReadonlySet<string>;
}

/** What is taken for granted of a share that has told nothing yet. */
export const NO_CAPACITY: ShareCapacity = {
  capacity: 0,
  free: 0,
  unused: 0,
  waiting: 0,
  labels: new Set(),
};

const SHARE_CAPACITY = z.object({
  // Capacity, free, unused and waiting.
  c: z.tuple([z.number(), z.number(), z.number(), z.number()]),
  l: z.array(z.string()),
});

/**
 * Encodes the room of a share.
 *
 * @param room - the room
 * @returns text for the store
 */
export const encodeShareCapacity = ({ capacity, free, unused, waiting, labels }: ShareCapacity) =>
  JSON.stringify({
    c: [capacity, free, unused, waiting].map(Math.round),
    l: [...labels],
  });

/**
 * Decodes the room of a share.
 *
 * @param text - text from the store
 * @returns the room
 * @throws if the text was not written by `encodeRoom`
 */
export const decodeShareCapacity = (text: string): ShareCapacity => {
  const { c, l } = SHARE_CAPACITY.parse(JSON.parse(text));
  const [capacity, free, unused, waiting] = c;
  return { capacity, free, unused, waiting, labels: new Set(l) };
};
