/**
 * Rendezvous hashing: chooses the member that should own a resource, such that few resources move
 * when members join or leave.
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
 * Computes how strongly a member is preferred for a resource. Every member computes the same value.
 *
 * @param resource - name of the resource
 * @param memberId - id of the member
 * @returns the score, at least 0 and below 1; higher is preferred
 */
export const rendezvousScore = (resource: string, memberId: string): number =>
  hashOf(resource, memberId) / 2 ** (8 * HASH_BYTES);

/**
 * Extracts the data centre from a resource name.
 *
 * @param resource - `KIND/DATA-CENTRE/REST`
 * @returns the data centre, or an empty string if the name has none
 */
export const dataCentreOf = (resource: string): string => resource.split('/')[1] ?? '';

/**
 * Orders members by preference to own a resource. Members in the data centre of the resource come
 * first; members elsewhere own it only when that data centre has no member left.
 *
 * @param resource - name of the resource
 * @param members - members that may own it
 * @returns ids of the members, preferred first
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
