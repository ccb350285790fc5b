/**
 * Takes and releases job partitions as their ownership comes and goes.
 */
import { isOut, type ConfigurationSet } from '../config/objects.js';
import { partLog } from '../observability/log.js';
import type { Grant, ResourceHandler } from '../membership/ownership.js';
import { PARTITION_KIND, partitionsOf } from './jobId.js';
import { PartitionOwner } from './partitionOwner.js';
import type { TaskContext } from './taskContext.js';

const log = partLog('task-owner');

const dataCentreReturned = (before: ConfigurationSet, now: ConfigurationSet): boolean =>
  [...before.dataCentres.keys()].some((name) => isOut(before, name) && !isOut(now, name));

/** Owns partitions. */
export class PartitionHandler implements ResourceHandler {
  readonly kind = PARTITION_KIND;

  private readonly owners = new Map<string, PartitionOwner>();

  /**
   * @param context - parts of the entry
   */
  constructor(private readonly context: TaskContext) {
    let before = context.configuration.current();
    context.configuration.onChange((set) => {
      const hasReturned = before !== undefined && dataCentreReturned(before, set);
      before = set;
      this.owners.forEach((owner) => owner.configurationChanged(hasReturned));
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
   * Finds the owner of a partition if it is this entry.
   *
   * @param partition - resource name
   * @returns the owner, or nothing
   */
  find(partition: string): PartitionOwner | undefined {
    const owner = this.owners.get(partition);
    return owner && !owner.signal().aborted ? owner : undefined;
  }
}
