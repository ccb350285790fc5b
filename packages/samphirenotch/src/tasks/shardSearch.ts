/**
 * Searches the shards for room for a job: first in the home data centre of its partition, then in
 * the other data centres that its class allows.
 */
import { isOut, type TaskClass } from '../config/objects.js';
import type { PlacementRequest, Reservation } from '../shards/shardService.js';
import { callWithin } from '../time/call.js';
import { dataCentreOf } from './jobId.js';
import {
  NO_ROOM_RETRY_DELAY_MS,
  MAXIMUM_SHARDS_PER_SEARCH,
  SHARD_TIMEOUT_MS,
} from './taskSettings.js';
import type { Job } from './job.js';
import type { PartitionContext } from './taskContext.js';
import type { WaitKind } from './waitReason.js';

/** Result of a search. */
export type SearchOutcome =
  | { readonly kind: 'reserved'; readonly reservation: Reservation }
  | { readonly kind: 'waiting'; readonly reason: WaitKind };

/** Reserves room on the workers of shards for the jobs of one partition. */
export class ShardSearch {
  /** When a shard that refused may be asked again, by shard and kind of request. */
  private readonly refusedUntilMs = new Map<string, number>();

  /**
   * @param context - the partition
   */
  constructor(private readonly context: PartitionContext) {}

  /**
   * Reserves room for an attempt. Workers on which the job failed before are avoided if possible.
   *
   * @param job - a queued job
   * @param taskClass - its class
   * @param attemptId - the attempt that the room is for
   * @returns the reservation, or why there is none
   */
  async reserve(job: Job, taskClass: TaskClass, attemptId: string): Promise<SearchOutcome> {
    const request: PlacementRequest = {
      attemptId,
      jobId: job.id,
      partition: job.partition,
      taskClass: job.taskClass,
      tenant: job.tenant,
      declaredSize: taskClass.size,
      excludedWorkers: job.excludedWorkers,
      priority: taskClass.priority,
    };
    const shards = this.candidateShards(taskClass);
    if (shards.length === 0) return { kind: 'waiting', reason: 'data-centre-out' };
    const first = await this.reserveInAny(shards, request);
    if (first.kind === 'reserved' || job.excludedWorkers.length === 0) return first;
    return this.reserveInAny(shards, { ...request, excludedWorkers: [] });
  }

  private async reserveInAny(
    shards: readonly string[],
    request: PlacementRequest,
  ): Promise<SearchOutcome> {
    const nowMs = this.context.clock.monotonicMs();
    const available = shards.filter((shard) => this.isAvailable(shard, request, nowMs));
    let reason: WaitKind = 'no-room-now';
    for (const shard of available.slice(0, MAXIMUM_SHARDS_PER_SEARCH)) {
      const outcome = await this.reserveIn(shard, request);
      if (outcome.kind === 'reserved') return outcome;
      reason = outcome.reason;
    }
    return { kind: 'waiting', reason };
  }

  private async reserveIn(shard: string, request: PlacementRequest): Promise<SearchOutcome> {
    const { shards, clock, signal } = this.context;
    const outcome = await shards.reserve(
      shard,
      request,
      callWithin(clock, SHARD_TIMEOUT_MS, signal),
    );
    const answer = outcome.ok ? outcome.val : undefined;
    if (answer?.kind === 'reserved') return answer;
    this.refusedUntilMs.set(
      this.refusalKey(shard, request),
      clock.monotonicMs() + NO_ROOM_RETRY_DELAY_MS,
    );
    return { kind: 'waiting', reason: answer?.reason ?? 'unreachable' };
  }

  private candidateShards(taskClass: TaskClass): readonly string[] {
    const { configuration, shards, partition } = this.context;
    const set = configuration.current();
    if (!set) return [];
    const allowed = new Set(taskClass.dataCentres.filter((name) => !isOut(set, name)));
    const homeDataCentre = dataCentreOf(partition);
    const usable = shards.shards().filter((shard) => allowed.has(dataCentreOf(shard)));
    const homeShards = usable.filter((shard) => dataCentreOf(shard) === homeDataCentre);
    const otherShards = usable.filter((shard) => dataCentreOf(shard) !== homeDataCentre);
    return [...this.rotateRandomly(homeShards), ...this.rotateRandomly(otherShards)];
  }

  private rotateRandomly(shards: readonly string[]): readonly string[] {
    const start = Math.floor(this.context.random.fraction() * shards.length);
    return [...shards.slice(start), ...shards.slice(0, start)];
  }

  private isAvailable(shard: string, request: PlacementRequest, nowMs: number): boolean {
    return (this.refusedUntilMs.get(this.refusalKey(shard, request)) ?? 0) <= nowMs;
  }

  private refusalKey(shard: string, request: PlacementRequest): string {
    return `${shard} ${request.taskClass} ${request.excludedWorkers.length}`;
  }
}
