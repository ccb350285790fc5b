/**
 * Gauges of the configuration in force.
 */
import type { ConfigurationView } from '../config/configurationView.js';
import type { GaugeSource } from './metricsHandler.js';
import type { Gauge } from './prometheusText.js';

const MS_PER_SECOND = 1_000;

/** Tells which version is in force and how old its last proof is. */
export class ConfigurationGauges implements GaugeSource {
  /**
   * @param configuration - the configuration in force
   */
  constructor(private readonly configuration: ConfigurationView) {}

  gauges(): readonly Gauge[] {
    const set = this.configuration.current();
    const ageMs = this.configuration.confirmedAgeMs();
    const version: Gauge = { name: 'configurationVersion', labels: {}, value: set?.version ?? 0 };
    if (!Number.isFinite(ageMs)) return [version];
    const value = ageMs / MS_PER_SECOND;
    return [version, { name: 'configurationConfirmedAgeSeconds', labels: {}, value }];
  }
}
