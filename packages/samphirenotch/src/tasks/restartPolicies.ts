/**
 * Tracks which classes restart elsewhere after a network partition, and whether they have been
 * configured so for long enough that all owners of shards have this configuration.
 */
import type { ConfigurationSet } from '../config/objects.js';
import type { Clock } from '../time/clock.js';
import { POLICY_SETTLING_MS } from './taskSettings.js';

/** Classes that restart after a network partition, with the time when that was first seen. */
export class RestartPolicies {
  private readonly sinceMs = new Map<string, number>();

  /**
   * @param clock - measures for how long a policy has been configured
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Updates the policies from the configuration in force.
   *
   * @param set - the configuration
   */
  observe(set: ConfigurationSet): void {
    const nowMs = this.clock.monotonicMs();
    for (const { name, onPartition } of set.taskClasses.values()) {
      if (onPartition !== 'restart') this.sinceMs.delete(name);
      else if (!this.sinceMs.has(name)) this.sinceMs.set(name, nowMs);
    }
  }

  /**
   * Checks whether every owner of a shard that starts an attempt of this class now lets the attempt
   * lapse when it cannot report.
   *
   * @param taskClass - name of the class
   * @returns true if the class has been configured to restart for long enough
   */
  isSettled(taskClass: string): boolean {
    const sinceMs = this.sinceMs.get(taskClass) ?? Infinity;
    return this.clock.monotonicMs() - sinceMs >= POLICY_SETTLING_MS;
  }
}
