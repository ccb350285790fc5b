/**
 * Shard service for all shards: calls for own shards are served locally, others are forwarded to
 * the entry that owns the shard.
 */
import type { Failure } from '../failure.js';
import type { Ownership } from '../membership/ownership.js';
import type { AttemptOrder, AttemptReport } from '../infrastructure/worker.js';
import { Err, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { RemoteShardService } from './remoteShardService.js';
import { notRun, unknownEffect } from './shardFailure.js';
import type {
  PlacementOutcome,
  PlacementRequest,
  Reservation,
  ShardService,
} from './shardService.js';

/** Routes each call to the owner of its shard. */
export class RoutedShardService implements ShardService {
  /**
   * @param local - service of the shards that this entry owns
   * @param remote - calls the shard services of other entries
   * @param ownership - knows the owner of each shard
   * @param selfId - id of this entry
   */
  constructor(
    private readonly local: ShardService,
    private readonly remote: RemoteShardService,
    private readonly ownership: Ownership,
    private readonly selfId: string,
  ) {}

  shards(): readonly string[] {
    return this.local.shards();
  }

  reserve(
    shard: string,
    request: PlacementRequest,
    call: Call,
  ): Promise<Result<PlacementOutcome, Failure>> {
    const owner = this.ownership.ownerOf(shard);
    if (owner === this.selfId) return this.local.reserve(shard, request, call);
    if (owner !== undefined) return this.remote.reserve(owner, shard, request, call);
    return Promise.resolve(Err(notRun('shard.reserve', shard, 'unavailable', 'no owner is known')));
  }

  cancelReservation(reservation: Reservation, call: Call): Promise<Result<void, Failure>> {
    const { shard } = reservation;
    const owner = this.ownership.ownerOf(shard);
    if (owner === this.selfId) return this.local.cancelReservation(reservation, call);
    if (owner !== undefined) return this.remote.cancelReservation(owner, reservation, call);
    return Promise.resolve(Err(notRun('shard.cancel', shard, 'unavailable', 'no owner is known')));
  }

  start(
    reservation: Reservation,
    order: AttemptOrder,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    const { shard } = reservation;
    const owner = this.ownership.ownerOf(shard);
    if (owner === this.selfId) return this.local.start(reservation, order, call);
    if (owner !== undefined) return this.remote.start(owner, reservation, order, call);
    return Promise.resolve(Err(notRun('shard.start', shard, 'unavailable', 'no owner is known')));
  }

  stop(
    shard: string,
    workerId: string,
    attemptId: string,
    withCheckpoint: boolean,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    const owner = this.ownership.ownerOf(shard);
    if (owner === this.selfId) {
      return this.local.stop(shard, workerId, attemptId, withCheckpoint, call);
    }
    const target = { shard, workerId, attemptId, withCheckpoint };
    if (owner !== undefined) return this.remote.stop(owner, target, call);
    const message = 'no owner is known';
    return Promise.resolve(Err(unknownEffect('shard.stop', shard, 'unavailable', message)));
  }

  find(
    shard: string,
    workerId: string,
    attemptId: string,
    call: Call,
  ): Promise<Result<AttemptReport | undefined, Failure>> {
    const owner = this.ownership.ownerOf(shard);
    if (owner === this.selfId) return this.local.find(shard, workerId, attemptId, call);
    if (owner !== undefined) {
      return this.remote.find(owner, { shard, workerId, attemptId }, call);
    }
    const message = 'no owner is known';
    return Promise.resolve(Err(unknownEffect('shard.find', shard, 'unavailable', message)));
  }
}
