/**
 * Shard service for the shards that this entry owns.
 */
import type { Failure } from '../failure.js';
import { dataCentreOf } from '../membership/rendezvous.js';
import type { AttemptOrder, AttemptReport } from '../infrastructure/worker.js';
import { Err, Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import { notRun, unknownEffect } from './shardFailure.js';
import type { ShardHandler } from './shardHandler.js';
import type {
  PlacementOutcome,
  PlacementRequest,
  Reservation,
  ShardService,
} from './shardService.js';
import type { ShardWorker } from './shardWorker.js';
import type { WorkerList } from './workerList.js';

/** Serves the shards that this entry owns, and refuses calls for the others. */
export class LocalShardService implements ShardService {
  /**
   * @param handler - the shards that this entry owns
   * @param list - the platform's list of workers
   * @param dataCentre - data centre of this entry
   */
  constructor(
    private readonly handler: ShardHandler,
    private readonly list: WorkerList,
    private readonly dataCentre: string,
  ) {}

  shards(): readonly string[] {
    const isAway = (shard: string): number => Number(dataCentreOf(shard) !== this.dataCentre);
    return [...this.list.shardNames()].sort((left, right) => isAway(left) - isAway(right));
  }

  reserve(shard: string, request: PlacementRequest): Promise<Result<PlacementOutcome, Failure>> {
    const owner = this.handler.ownerOf(shard);
    if (owner) return Promise.resolve(Ok(owner.reserve(request)));
    return Promise.resolve(Err(notRun('shard.reserve', shard, 'not-owner', 'owned elsewhere')));
  }

  cancelReservation(reservation: Reservation): Promise<Result<void, Failure>> {
    this.workerOf(reservation)?.startCommands.cancel(reservation);
    return Promise.resolve(Ok(undefined));
  }

  start(
    reservation: Reservation,
    order: AttemptOrder,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    const worker = this.workerOf(reservation);
    if (worker) return worker.startCommands.start(reservation, order, call);
    const message = 'the reservation is of another owner';
    return Promise.resolve(Err(notRun('shard.start', reservation.shard, 'not-owner', message)));
  }

  stop(
    shard: string,
    workerId: string,
    attemptId: string,
    withCheckpoint: boolean,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    const worker = this.handler.ownerOf(shard)?.worker(workerId);
    if (worker) return worker.stopCommands.stop(attemptId, withCheckpoint, call);
    const message = 'the worker is not held here';
    return Promise.resolve(Err(unknownEffect('shard.stop', shard, 'not-owner', message)));
  }

  find(
    shard: string,
    workerId: string,
    attemptId: string,
    call: Call,
  ): Promise<Result<AttemptReport | undefined, Failure>> {
    const worker = this.handler.ownerOf(shard)?.worker(workerId);
    if (worker) return worker.stopCommands.find(attemptId, call);
    const message = 'the worker is not held here';
    return Promise.resolve(Err(unknownEffect('shard.find', shard, 'not-owner', message)));
  }

  private workerOf({ shard, epoch, workerId }: Reservation): ShardWorker | undefined {
    const owner = this.handler.ownerOf(shard);
    return owner?.grant.epoch === epoch ? owner.worker(workerId) : undefined;
  }
}
