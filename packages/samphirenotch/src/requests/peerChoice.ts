/**
 * Chooses the peer that a request is forwarded to: the less loaded of two taken at random.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { isOut, type ConfigurationSet } from '../config/objects.js';
import type { Peer, Peers } from '../membership/peers.js';

const loadOf = ({ load }: Peer): number => load.queuedRequests - load.freeSlots;

/** Chooses peers. */
export class PeerChoice {
  private readonly random;

  /**
   * @param peers - the peers known
   * @param seed - seed of the choice
   */
  constructor(
    private readonly peers: Peers,
    seed: number,
  ) {
    this.random = xoroshiro128plus(seed);
  }

  /**
   * Chooses a peer that serves a service.
   *
   * @param service - name of the service
   * @param excluded - ids of peers not to choose
   * @param set - configuration, for data centres taken out
   * @returns the peer, or nothing if none serves it
   */
  choose(
    service: string,
    excluded: readonly string[],
    set: ConfigurationSet | undefined,
  ): Peer | undefined {
    const candidates = this.peers
      .live()
      .filter(({ id, leaving, load }) => {
        const fits = !leaving && load.services.includes(service);
        return fits && !excluded.includes(id);
      })
      .filter(({ dataCentre }) => !set || !isOut(set, dataCentre));
    if (candidates.length < 2) return candidates[0];
    const first = this.index(candidates.length);
    const second = (first + 1 + this.index(candidates.length - 1)) % candidates.length;
    const [left, right] = [candidates[first], candidates[second]];
    if (!left || !right) return left ?? right;
    return loadOf(right) < loadOf(left) ? right : left;
  }

  private index(length: number): number {
    return uniformInt(this.random, 0, length - 1);
  }
}
