/**
 * Components that the handling of tasks uses.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import type { LargestWorker, FeasibilityCheck } from '../decisions/feasibilityCheck.js';
import type { QueueOrder } from '../decisions/placementPolicy.js';
import type { StartPacing } from '../decisions/startPacing.js';
import type { Grant } from '../membership/ownership.js';
import type { Recorder } from '../observability/recorder.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import type { ShardService } from '../shards/shardService.js';
import type { Clock } from '../time/clock.js';
import type { JobStore } from './jobStore.js';
import type { TaskRandom } from './taskRandom.js';

/** Components of the entry that the handling of tasks uses. */
export interface TaskContext {
  readonly clock: Clock;
  readonly random: TaskRandom;
  readonly recorder: Recorder;
  readonly store: KeyValueStore;
  readonly configuration: ConfigurationView;
  readonly shards: ShardService;
  readonly queueOrder: QueueOrder;
  readonly feasibility: FeasibilityCheck;
  /** Makes the pacing for the starts of one partition. */
  readonly makePacing: () => StartPacing;
  /** Gets the capacities of the largest workers known in each data centre. */
  readonly largestWorkerCapacities: () => readonly LargestWorker[];
  /** Id of this entry. */
  readonly selfId: string;
  readonly selfDataCentre: string;
}

/** Context of one owned partition. */
export interface PartitionContext extends TaskContext {
  readonly partition: string;
  readonly grant: Grant;
  /** Aborted when ownership of the partition ends. */
  readonly signal: AbortSignal;
  readonly jobs: JobStore;
}
