/**
 * Chooses the few entries of a data centre that read the accepted version from the store.
 */
import type { Peers } from '../membership/peers.js';
import { digestOf } from './content.js';

/** How many entries of a data centre read the store for the others. */
const READERS_PER_DATA_CENTRE = 2;

/**
 * Tells whether this entry is one of the readers, by rendezvous over the live entries.
 *
 * @param peers - the entries known
 * @returns true if it is to read the store
 */
export const isRootReader = (peers: Peers): boolean => {
  const { selfId, selfDataCentre } = peers;
  const weightOf = (id: string): string => digestOf(`${selfDataCentre}/${id}`);
  const selfWeight = weightOf(selfId);
  const heavier = peers
    .live()
    .filter((peer) => peer.dataCentre === selfDataCentre && !peer.leaving)
    .filter((peer) => weightOf(peer.id) > selfWeight);
  return heavier.length < READERS_PER_DATA_CENTRE;
};
