/**
 * Looks for room for a job: first in the home data centre of its partition, then in the others that
 * its class may use.
 */
import { isOut, type TaskClass } from '../config/objects.js';
import type { PlacementRequest, Reservation } from '../shards/shardService.js';
import { callWithin } from '../time/call.js';
import { dataCentreOf } from './jobId.js';
import { NO_ROOM_MEMORY_MS, SHARDS_PER_SEARCH, SHARD_TIMEOUT_MS } from './taskSettings.js';
import type { Job } from './job.js';
import type { PartitionContext } from './taskContext.js';
import type { WaitKind } from './waitReason.js';

/** Outcome of a search. */
export type SearchOutcome =
  | { readonly kind: 'reserved'; readonly reservation: Reservation }
  | { readonly kind: 'waiting'; readonly reason: WaitKind };

/** Searches the shards for one partition. */
export class ShardSearch {
  private readonly refusedUntilMs = new Map<string, number>();

  /**
   * @param context - the partition
   */
  constructor(private readonly context: PartitionContext) {}

  /**
   * Reserves room for an attempt.
   *
   * @param job - a queued job
   * @param taskClass - its class
   * @param attemptId - the attempt that the room is for
   * @returns the reservation, or why there is none
   */
  async reserve(job: Job, taskClass: TaskClass, attemptId: string): Promise<SearchOutcome> {
    const wish: PlacementRequest = {
      attemptId,
      jobId: job.id,
      partition: job.partition,
      taskClass: job.taskClass,
      tenant: job.tenant,
      declaredSize: taskClass.size,
      excludedWorkers: job.excludedWorkers,
      priority: taskClass.priority,
    };
    const shards = this.candidates(taskClass);
    if (shards.length === 0) return { kind: 'waiting', reason: 'data-centre-out' };
    const first = await this.ask(shards, wish);
    if (first.kind === 'reserved' || job.excludedWorkers.length === 0) return first;
    return this.ask(shards, { ...wish, excludedWorkers: [] });
  }

  private async ask(shards: readonly string[], wish: PlacementRequest): Promise<SearchOutcome> {
    const nowMs = this.context.clock.monotonicMs();
    const open = shards.filter((shard) => this.isOpen(shard, wish, nowMs));
    let reason: WaitKind = 'no-room-now';
    for (const shard of open.slice(0, SHARDS_PER_SEARCH)) {
      const outcome = await this.askOne(shard, wish);
      if (outcome.kind === 'reserved') return outcome;
      reason = outcome.reason;
    }
    return { kind: 'waiting', reason };
  }

  private async askOne(shard: string, wish: PlacementRequest): Promise<SearchOutcome> {
    const { shards, clock, signal } = this.context;
    const outcome = await shards.reserve(shard, wish, callWithin(clock, SHARD_TIMEOUT_MS, signal));
    const answer = outcome.ok ? outcome.val : undefined;
    if (answer?.kind === 'reserved') return answer;
    this.refusedUntilMs.set(this.key(shard, wish), clock.monotonicMs() + NO_ROOM_MEMORY_MS);
    return { kind: 'waiting', reason: answer?.reason ?? 'unreachable' };
  }

  private candidates(taskClass: TaskClass): readonly string[] {
    const { configuration, shards, partition } = this.context;
    const set = configuration.current();
    if (!set) return [];
    const allowed = new Set(taskClass.dataCentres.filter((name) => !isOut(set, name)));
    const home = dataCentreOf(partition);
    const usable = shards.shards().filter((shard) => allowed.has(dataCentreOf(shard)));
    const near = usable.filter((shard) => dataCentreOf(shard) === home);
    const far = usable.filter((shard) => dataCentreOf(shard) !== home);
    return [...this.rotated(near), ...this.rotated(far)];
  }

  private rotated(shards: readonly string[]): readonly string[] {
    const start = Math.floor(this.context.random.fraction() * shards.length);
    return [...shards.slice(start), ...shards.slice(0, start)];
  }

  private isOpen(shard: string, wish: PlacementRequest, nowMs: number): boolean {
    return (this.refusedUntilMs.get(this.key(shard, wish)) ?? 0) <= nowMs;
  }

  private key(shard: string, wish: PlacementRequest): string {
    return `${shard} ${wish.taskClass} ${wish.excludedWorkers.length}`;
  }
}
