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
  /** Connects to workers. */
  readonly directory: WorkerDirectory;
  /** Chooses among the workers that have room for an attempt. */
  readonly placement: PlacementPolicy;
  /** Estimates the size of attempts from earlier usage. */
  readonly sizes: SizeEstimator;
  /** Receives reports about attempts. */
  readonly sink: AttemptReportSink;
}
