/**
 * Membership, ownership and the configuration in force, wired together.
 */
import { composeConfiguration, type ConfigurationParts } from '../config/configurationParts.js';
import { EntryDirectory } from '../membership/entryDirectory.js';
import { Gossip } from '../membership/gossip.js';
import { GrpcHeartbeats } from '../membership/grpcHeartbeats.js';
import { Heartbeats } from '../membership/heartbeats.js';
import type { ResourceHandler } from '../membership/ownership.js';
import { OwnershipManager } from '../membership/ownershipManager.js';
import { PeerChannels } from '../membership/peerChannels.js';
import type { LoadSummary } from '../membership/peers.js';
import { PeerTable } from '../membership/peerTable.js';
import { Session } from '../membership/session.js';
import type { EntrySettings } from '../settings/entrySettings.js';
import type { Clock } from '../time/clock.js';
import type { PlatformParts } from './platformParts.js';

/** Who else there is, what this entry owns, and which configuration is in force. */
export interface MembershipParts {
  readonly session: Session;
  readonly directory: EntryDirectory;
  readonly peers: PeerTable;
  readonly channels: PeerChannels;
  readonly configuration: ConfigurationParts;
  readonly heartbeats: Heartbeats;
  readonly heartbeatService: GrpcHeartbeats;
  readonly ownership: OwnershipManager;
}

/** What membership needs from the rest of the entry. */
export interface MembershipNeeds {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly platform: PlatformParts;
  /** Filled by the parts that own resources before membership runs. */
  readonly handlers: readonly ResourceHandler[];
  readonly load: () => LoadSummary;
  readonly seed: number;
}

/**
 * Builds membership.
 *
 * @param needs - settings, platform and the owners of resources
 * @returns the parts, not yet running
 */
export const buildMembership = (needs: MembershipNeeds): MembershipParts => {
  const { settings, clock, platform, handlers, load, seed } = needs;
  const { store, vmList } = platform;
  const self = {
    id: settings.id,
    dataCentre: settings.dataCentre,
    address: settings.grpcAddress,
  };
  const session = new Session(store, clock);
  const directory = new EntryDirectory(store, clock, session, self, seed);
  const peers = new PeerTable(clock, self, load);
  directory.onChange(() => peers.mergeFromStore(directory.entries()));
  const channels = new PeerChannels(peers);
  const configuration = composeConfiguration({ store, vmList, peers, clients: channels, clock });
  const { follower } = configuration;
  const gossip = new Gossip(
    peers,
    () => follower.stamp(),
    (peerId, stamp, askedAtMs) => follower.peerStamp(peerId, stamp, askedAtMs),
  );
  const heartbeatService = new GrpcHeartbeats(clock, channels, gossip);
  const heartbeats = new Heartbeats(clock, peers, gossip, heartbeatService, settings.seedPeers);
  const selfId = settings.id;
  const ownership = new OwnershipManager({
    store,
    clock,
    session,
    directory,
    selfId,
    handlers,
    seed,
  });
  return {
    session,
    directory,
    peers,
    channels,
    configuration,
    heartbeats,
    heartbeatService,
    ownership,
  };
};
