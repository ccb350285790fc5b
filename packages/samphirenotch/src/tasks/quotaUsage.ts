/**
 * Usage of the tenants' quotas in one partition. Each partition enforces an equal fraction of a
 * quota, so that partitions need not coordinate starts. It is never less than one running task.
 */
import type { ConfigurationSet, Quota } from '../config/objects.js';
import type { Size } from '../infrastructure/worker.js';
import { partitionsOf } from './jobId.js';
import type { Job } from './job.js';

interface TenantUsage {
  tasks: number;
  milliCores: number;
  memoryMb: number;
  accelerators: number;
}

/**
 * Finds the quota of a tenant.
 *
 * @param set - the configuration
 * @param tenant - name of the tenant
 * @returns the quota, or undefined if the tenant has none
 */
export const quotaOf = (set: ConfigurationSet, tenant: string): Quota | undefined =>
  set.quotas.get(set.tenants.get(tenant)?.quota ?? '');

/** Quota usage by the active jobs of a partition. */
export class QuotaUsage {
  private readonly usageByTenant = new Map<string, TenantUsage>();

  private readonly partitionCount: number;

  /**
   * @param set - the configuration
   * @param activeJobs - jobs with an attempt
   */
  constructor(
    private readonly set: ConfigurationSet,
    activeJobs: readonly Job[],
  ) {
    this.partitionCount = Math.max(1, partitionsOf(set).length);
    for (const job of activeJobs) if (job.attempt) this.add(job.tenant, job.attempt.size);
  }

  /**
   * Adds a started task to the usage.
   *
   * @param tenant - name of the tenant
   * @param size - size of the task
   */
  add(tenant: string, size: Size): void {
    const usage = this.usageByTenant.get(tenant) ?? {
      tasks: 0,
      milliCores: 0,
      memoryMb: 0,
      accelerators: 0,
    };
    usage.tasks += 1;
    usage.milliCores += size.milliCores;
    usage.memoryMb += size.memoryMb;
    usage.accelerators += size.accelerators;
    this.usageByTenant.set(tenant, usage);
  }

  /**
   * Checks whether one more task would exceed the quota of its tenant.
   *
   * @param tenant - name of the tenant
   * @param size - size of the task
   * @returns name of the quota that it would exceed, or undefined
   */
  exceededQuota(tenant: string, size: Size): string | undefined {
    const quota = quotaOf(this.set, tenant);
    const usage = this.usageByTenant.get(tenant);
    if (!quota || !usage) return undefined;
    const { partitionCount } = this;
    const { total } = quota;
    const isWithin =
      usage.tasks + 1 <= Math.max(1, Math.ceil(quota.runningTasks / partitionCount)) &&
      usage.milliCores + size.milliCores <= total.milliCores / partitionCount &&
      usage.memoryMb + size.memoryMb <= total.memoryMb / partitionCount &&
      usage.accelerators + size.accelerators <= total.accelerators / partitionCount;
    return isWithin ? undefined : quota.name;
  }
}
