/**
 * The key partitions that this entry owns.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import type { Failure } from '../failure.js';
import type { Grant, ResourceHandler } from '../membership/ownership.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { Err, Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { KeyAuthority, KeyClaim, KeyDecision, KeySettlement } from './keyAuthority.js';
import { KeyClaims } from './keyClaims.js';
import { KEY_PARTITION_COUNT, keyResource } from './keyDigest.js';
import { KeyJournal } from './keyJournal.js';
import { KeyMemory } from './keyMemory.js';
import { refusal } from './refusal.js';

const RETRY_AFTER_MS = 500;

/** What the partitions are made of. */
export interface KeyPartitionsParts {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly configuration: ConfigurationView;
  /** Name of this entry, for failures. */
  readonly entry: string;
  /** Makes an id that no other time of ownership has. */
  readonly newId: () => string;
}

interface OwnedPartition {
  readonly resource: string;
  readonly claims: KeyClaims;
}

/** Owns key partitions and decides on their keys. */
export class KeyPartitions implements ResourceHandler, KeyAuthority {
  readonly kind = 'keys';

  private readonly owned = new Map<number, OwnedPartition>();

  /**
   * @param parts - what the partitions are made of
   */
  constructor(private readonly parts: KeyPartitionsParts) {}

  resources(): readonly string[] {
    const names = [...(this.parts.configuration.current()?.dataCentres.keys() ?? [])];
    return Array.from({ length: KEY_PARTITION_COUNT }, (_, partition) =>
      keyResource(partition, names),
    ).filter((resource) => resource !== undefined);
  }

  async take(grant: Grant): Promise<void> {
    const partition = this.partitionOf(grant.resource);
    const { store, clock, entry } = this.parts;
    const earlier = this.owned.get(partition);
    const journal = new KeyJournal({ store, clock, partition, writer: this.parts.newId() });
    const memory = new KeyMemory();
    const claims = new KeyClaims({ journal, memory, grant, clock, entry });
    this.owned.set(partition, { resource: grant.resource, claims });
    await earlier?.claims.close();
    claims.begin();
  }

  async release(resource: string): Promise<void> {
    const partition = this.partitionOf(resource);
    const owned = this.owned.get(partition);
    if (owned?.resource !== resource) return;
    await owned.claims.close();
    if (this.owned.get(partition) === owned) this.owned.delete(partition);
  }

  async claim(claim: KeyClaim, call: Call): Promise<Result<KeyDecision, Failure>> {
    const owned = this.owned.get(claim.partition);
    return owned ? owned.claims.claim(claim, call) : Err(this.notOwner());
  }

  settle(settlement: KeySettlement): Result<void, Failure> {
    const owned = this.owned.get(settlement.partition);
    if (!owned) return Err(this.notOwner());
    owned.claims.settle(settlement);
    return Ok(undefined);
  }

  private partitionOf(resource: string): number {
    return Number(resource.slice(resource.lastIndexOf('/') + 1));
  }

  private notOwner(): Failure {
    return refusal({
      code: 'not-owner',
      step: 'requests.claim',
      peer: this.parts.entry,
      message: 'The keys are decided elsewhere.',
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
}
