/**
 * Runs the owners of partitions of jobs as this entry gains and loses ownership.
 */
import { isOut, type ConfigurationSet } from '../config/objects.js';
import { partLog } from '../observability/log.js';
import type { Grant, ResourceHandler } from '../membership/ownership.js';
import { PARTITION_KIND, partitionsOf } from './jobId.js';
import { PartitionOwner } from './partitionOwner.js';
import type { TaskContext } from './taskContext.js';

const log = partLog('task-owner');

const hasReturnedDataCentre = (previous: ConfigurationSet, current: ConfigurationSet): boolean =>
  [...previous.dataCentres.keys()].some((name) => isOut(previous, name) && !isOut(current, name));

/** Manages the partitions that this entry owns. */
export class PartitionHandler implements ResourceHandler {
  readonly kind = PARTITION_KIND;

  private readonly owners = new Map<string, PartitionOwner>();

  /**
   * @param context - components of the entry
   */
  constructor(private readonly context: TaskContext) {
    let previous = context.configuration.current();
    context.configuration.onChange((set) => {
      const dataCentreReturned = previous !== undefined && hasReturnedDataCentre(previous, set);
      previous = set;
      this.owners.forEach((owner) => owner.configurationChanged(dataCentreReturned));
    });
  }

  resources(): readonly string[] {
    const set = this.context.configuration.current();
    return set ? partitionsOf(set) : [];
  }

  async take(grant: Grant): Promise<void> {
    const owner = new PartitionOwner(this.context, grant);
    this.owners.set(grant.resource, owner);
    owner
      .run()
      .catch((error: unknown) => {
        log.error('Partition failed.', { partition: grant.resource, error: String(error) });
      })
      .finally(() => {
        if (this.owners.get(grant.resource) === owner) this.owners.delete(grant.resource);
      });
  }

  async release(resource: string): Promise<void> {
    const owner = this.owners.get(resource);
    await owner?.close();
    if (this.owners.get(resource) === owner) this.owners.delete(resource);
  }

  /**
   * Finds the local owner of a partition.
   *
   * @param partition - resource name
   * @returns the owner, or undefined if this entry does not own the partition
   */
  find(partition: string): PartitionOwner | undefined {
    const owner = this.owners.get(partition);
    return owner && !owner.ownershipSignal().aborted ? owner : undefined;
  }
}
