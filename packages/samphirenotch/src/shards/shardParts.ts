/**
 * Dependencies of the owner of shards.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import type { PlacementPolicy } from '../decisions/placementPolicy.js';
import type { SizeEstimator } from '../decisions/sizeEstimator.js';
import type { WorkerDirectory } from '../infrastructure/worker.js';
import type { Clock } from '../time/clock.js';
import type { AttemptReportSink } from './shardService.js';

/** Dependencies that all shards of an entry share. */
export interface ShardParts {
  readonly clock: Clock;
  readonly configuration: ConfigurationView;
  readonly directory: WorkerDirectory;
  readonly placement: PlacementPolicy;
  readonly sizes: SizeEstimator;
  readonly sink: AttemptReportSink;
}
