/**
 * Rendezvous hashing: which member should own a resource, with few changes when members change.
 */
import { createHash } from 'node:crypto';

/** A member that may own resources. */
export interface Member {
  readonly id: string;
  readonly dataCentre: string;
}

const HASH_BYTES = 6;

const hashOf = (resource: string, memberId: string): number =>
  createHash('sha256').update(`${resource}\n${memberId}`).digest().readUIntBE(0, HASH_BYTES);

/**
 * Tells how much a member is preferred for a resource, alike at every member.
 *
 * @param resource - the resource
 * @param memberId - the member
 * @returns from 0 to below 1
 */
export const rendezvousScore = (resource: string, memberId: string): number =>
  hashOf(resource, memberId) / 2 ** (8 * HASH_BYTES);

/**
 * Reads the data centre out of a resource name.
 *
 * @param resource - `KIND/DATA-CENTRE/REST`
 * @returns the data centre, empty if the name has none
 */
export const dataCentreOf = (resource: string): string => resource.split('/')[1] ?? '';

/**
 * Orders members by who should own a resource. Members of the resource's own data centre come
 * first; the rest of the order adopts it when that data centre has no member left.
 *
 * @param resource - the resource
 * @param members - members that may own it
 * @returns ids, preferred first
 */
export const rankMembers = (resource: string, members: readonly Member[]): readonly string[] => {
  const homeDataCentre = dataCentreOf(resource);
  const ranked = members.map(({ id, dataCentre }) => ({
    id,
    isHome: dataCentre === homeDataCentre,
    score: hashOf(resource, id),
  }));
  ranked.sort(
    (left, right) => Number(right.isHome) - Number(left.isHome) || right.score - left.score,
  );
  return ranked.map(({ id }) => id);
};
