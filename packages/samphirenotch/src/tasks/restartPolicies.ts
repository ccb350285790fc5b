/**
 * Knows which classes have been set to restart elsewhere after a cut for so long that the owners of
 * shards know it too.
 */
import type { ConfigurationSet } from '../config/objects.js';
import type { Clock } from '../time/clock.js';
import { POLICY_SETTLING_MS } from './taskSettings.js';

/** Classes that restart, by when that was first seen. */
export class RestartPolicies {
  private readonly sinceMs = new Map<string, number>();

  /**
   * @param clock - tells for how long a policy has stood
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Takes in the configuration in force.
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
   * Tells whether an owner of a shard that starts an attempt now lets it lapse when it cannot report.
   *
   * @param taskClass - name of the class
   * @returns true if the class has been set so for long enough
   */
  isSettled(taskClass: string): boolean {
    const sinceMs = this.sinceMs.get(taskClass) ?? Infinity;
    return this.clock.monotonicMs() - sinceMs >= POLICY_SETTLING_MS;
  }
}
