/**
 * Puts together what an entry needs for its configuration.
 */
import type { GrpcService, PeerClients } from '../grpc/grpcService.js';
import type { HttpHandler } from '../http/httpHandler.js';
import type { Peers } from '../membership/peers.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import type { VmList } from '../infrastructure/vmList.js';
import type { Clock } from '../time/clock.js';
import { ConfigurationCommands } from './configurationCommands.js';
import { ConfigurationFollower } from './configurationFollower.js';
import { ConfigurationHandler } from './configurationHandler.js';
import { ConfigurationQueries } from './configurationQueries.js';
import { ConfigurationPartService } from './configurationPartService.js';
import { History } from './history.js';
import { Outages } from './outages.js';
import { Publisher } from './publisher.js';

/** What the configuration of an entry is made of. */
export interface ConfigurationNeeds {
  readonly store: KeyValueStore;
  readonly vmList: VmList;
  readonly peers: Peers;
  readonly clients: PeerClients;
  readonly clock: Clock;
}

/** The configuration of an entry. Call `run` of the follower to start it. */
export interface ConfigurationParts {
  readonly follower: ConfigurationFollower;
  readonly service: GrpcService;
  readonly handler: HttpHandler;
}

/**
 * Puts the parts together.
 *
 * @param needs - what they are made of
 * @returns the follower, and what the entry's servers are to serve
 */
export const composeConfiguration = (needs: ConfigurationNeeds): ConfigurationParts => {
  const { clock, store, vmList } = needs;
  const follower = new ConfigurationFollower(needs);
  const history = new History(store, clock);
  const versionInForce = (): number => follower.current()?.version ?? 0;
  const publisher = new Publisher({ store, clock, versionInForce });
  const outages = new Outages(publisher, history);
  const { maximumValueBytes } = store;
  const commands = new ConfigurationCommands({
    publisher,
    outages,
    vmList,
    clock,
    maximumValueBytes,
  });
  const queries = new ConfigurationQueries(history, follower, clock);
  const handler = new ConfigurationHandler(queries, commands);
  return { follower, service: new ConfigurationPartService(follower), handler };
};
