/**
 * Optional features of the scheduler that operators can enable. A feature without settings is
 * disabled.
 */

/** Admission control: refuses jobs that cannot be served in time. */
export interface AdmissionSettings {
  /** Age of the capacity reports of shares from which every job is accepted, in milliseconds. */
  readonly maximumCapacityAgeMs: number;
}

/** Settings of each optional feature; undefined if it is disabled. */
export interface JobSettings {
  readonly admission: AdmissionSettings | undefined;
}

/** All optional features are disabled. */
export const DEFAULT_SETTINGS: JobSettings = { admission: undefined };

/**
 * Names the enabled features, for logs.
 *
 * @param settings - the settings
 * @returns names, separated by commas
 */
export const describeEnabledFeatures = (settings: JobSettings): string =>
  Object.entries(settings)
    .flatMap(([name, feature]) => (feature === undefined ? [] : [name]))
    .join(', ');
