/**
 * Shards, tasks and requests, wired together.
 */
import { CapacityFeasibilityCheck } from '../decisions/capacityFeasibilityCheck.js';
import { DeadlineQueue } from '../decisions/deadlineQueue.js';
import { HysteresisPressure } from '../decisions/hysteresisPressure.js';
import type { LargestWorker } from '../decisions/feasibilityCheck.js';
import { LearnedInterference } from '../decisions/learnedInterference.js';
import { LearnedPlacement } from '../decisions/learnedPlacement.js';
import { LearnedSize } from '../decisions/learnedSize.js';
import { LearnedWorkerChoice } from '../decisions/learnedWorkerChoice.js';
import { PacedStarts } from '../decisions/pacedStarts.js';
import { RetryBudget } from '../decisions/retryBudget.js';
import { UrgencyOrder } from '../decisions/urgencyOrder.js';
import type { Recorder } from '../observability/recorder.js';
import { ForwardClient } from '../requests/forwardClient.js';
import { KeyClient } from '../requests/keyClient.js';
import { KeyedRequests } from '../requests/keyedRequests.js';
import { KeyPartitions } from '../requests/keyPartitions.js';
import { RequestRouter } from '../requests/requestRouter.js';
import { WorkerExchange } from '../requests/workerExchange.js';
import type { EntrySettings } from '../settings/entrySettings.js';
import { LocalShardService } from '../shards/localShardService.js';
import { PressureLoop } from '../shards/pressureLoop.js';
import { RemoteShardService } from '../shards/remoteShardService.js';
import { RoutedShardService } from '../shards/routedShardService.js';
import { ShardHandler } from '../shards/shardHandler.js';
import type { AttemptReportSink } from '../shards/shardService.js';
import { SlotPool } from '../shards/slotPool.js';
import { WorkerList } from '../shards/workerList.js';
import { AttemptReportRouter } from '../tasks/attemptReportRouter.js';
import { PartitionHandler } from '../tasks/partitionHandler.js';
import type { TaskContext } from '../tasks/taskContext.js';
import { TaskPeers } from '../tasks/taskPeers.js';
import { TaskRandom } from '../tasks/taskRandom.js';
import { TaskRouter } from '../tasks/taskRouter.js';
import type { Clock } from '../time/clock.js';
import type { MembershipParts } from './membershipParts.js';
import type { PlatformParts } from './platformParts.js';

/** Everything that handles work in an entry. */
export interface WorkParts {
  readonly workerList: WorkerList;
  readonly shardHandler: ShardHandler;
  readonly localShards: LocalShardService;
  readonly slots: SlotPool;
  readonly pressure: PressureLoop;
  readonly partitionHandler: PartitionHandler;
  readonly keyPartitions: KeyPartitions;
  readonly requestRouter: RequestRouter;
  readonly taskContext: TaskContext;
  readonly taskRouter: TaskRouter;
  readonly attemptSink: AttemptReportRouter;
}

/** What the work parts need from the rest of the entry. */
export interface WorkNeeds {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly recorder: Recorder;
  readonly platform: PlatformParts;
  readonly membership: MembershipParts;
  readonly seed: number;
}

const largestCapacities = (list: WorkerList): readonly LargestWorker[] =>
  list
    .shardNames()
    .flatMap((shard) => list.workersOf(shard))
    .map(({ dataCentre, capacity }) => ({ dataCentre, capacity }));

const buildShards = (needs: WorkNeeds, sink: AttemptReportSink) => {
  const { clock, platform, membership, settings, seed } = needs;
  const { channels, ownership } = membership;
  const { follower } = membership.configuration;
  const workerList = new WorkerList(platform.vmList, clock);
  const interference = new LearnedInterference();
  const placement = new LearnedPlacement(interference, {
    importance: (taskClass) =>
      follower.current()?.taskClasses.get(taskClass)?.kind === 'request' ? 1 : 0,
    nowMs: () => clock.monotonicMs(),
    requestClasses: () =>
      [...(follower.current()?.taskClasses.values() ?? [])]
        .filter(({ kind }) => kind === 'request')
        .map(({ name }) => name),
  });
  const shardHandler = new ShardHandler(
    {
      clock,
      configuration: follower,
      directory: platform.workers,
      placement,
      sizes: new LearnedSize(),
      sink,
    },
    workerList,
  );
  const choice = new LearnedWorkerChoice(seed, interference);
  const slots = new SlotPool(shardHandler, follower, choice, clock);
  const pressure = new PressureLoop(shardHandler, new HysteresisPressure(), interference, clock);
  const localShards = new LocalShardService(shardHandler, workerList, settings.dataCentre);
  const remote = new RemoteShardService(channels, clock);
  const shards = new RoutedShardService(localShards, remote, ownership, settings.id);
  return { workerList, shardHandler, slots, pressure, localShards, shards };
};

const buildTasks = (needs: WorkNeeds, built: ReturnType<typeof buildShards>) => {
  const { clock, platform, membership, settings, recorder, seed } = needs;
  const taskContext: TaskContext = {
    clock,
    random: new TaskRandom(settings.id, seed),
    recorder,
    store: platform.store,
    configuration: membership.configuration.follower,
    shards: built.shards,
    queueOrder: new UrgencyOrder(),
    feasibility: new CapacityFeasibilityCheck(),
    makePacing: () => new PacedStarts(),
    largestWorkerCapacities: () => largestCapacities(built.workerList),
    selfId: settings.id,
    selfDataCentre: settings.dataCentre,
  };
  const partitionHandler = new PartitionHandler(taskContext);
  const taskPeers = new TaskPeers(membership.ownership, membership.channels, settings.id);
  const taskRouter = new TaskRouter(taskContext, partitionHandler, taskPeers);
  const attemptSink = new AttemptReportRouter(partitionHandler, taskPeers, clock);
  return { taskContext, partitionHandler, taskRouter, attemptSink };
};

const buildRequests = (needs: WorkNeeds, slots: SlotPool) => {
  const { clock, platform, membership, settings, recorder, seed } = needs;
  const { channels, ownership, peers } = membership;
  const { follower } = membership.configuration;
  const { store } = platform;
  const random = new TaskRandom(settings.id, seed + 1);
  const newId = (): string => random.uniqueId();
  const entry = settings.id;
  const keyPartitions = new KeyPartitions({ store, clock, configuration: follower, entry, newId });
  const keyClient = new KeyClient({
    local: keyPartitions,
    clients: channels,
    ownership,
    configuration: follower,
    clock,
    entry,
  });
  const requestRouter = new RequestRouter({
    entry,
    clock,
    recorder,
    configuration: follower,
    slots,
    peers,
    exchange: new WorkerExchange({ clock, recorder, newId }),
    forwards: new ForwardClient({ clients: channels, clock, recorder }),
    keyed: new KeyedRequests({ client: keyClient, recorder, entry, newId }),
    newAdmission: () => new DeadlineQueue(),
    newRetryPolicy: () => new RetryBudget(),
    seed,
  });
  return { keyPartitions, requestRouter };
};

/**
 * Builds the parts that handle work.
 *
 * @param needs - settings, platform and membership
 * @returns the parts, not yet running
 */
export const buildWork = (needs: WorkNeeds): WorkParts => {
  // Shards report to tasks and tasks are placed on shards, so one of them must know the other late.
  let reports: AttemptReportSink | undefined;
  const sink: AttemptReportSink = {
    report: (partition, workerId, shard, attempts, call) => {
      if (!reports) throw new Error('Attempts were reported before the entry was built.');
      return reports.report(partition, workerId, shard, attempts, call);
    },
  };
  const shards = buildShards(needs, sink);
  const tasks = buildTasks(needs, shards);
  reports = tasks.attemptSink;
  const requests = buildRequests(needs, shards.slots);
  return { ...shards, ...tasks, ...requests };
};
