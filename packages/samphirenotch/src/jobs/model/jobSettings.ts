/**
 * What the operators of a site ask of its scheduler beyond the plain behaviour. A part that is left out is
 * off.
 */

/** Turns jobs away that cannot be served in time. */
export interface AdmissionSettings {
  /** Age of news about room from which every job is accepted, in milliseconds. */
  readonly maximumCapacityAgeMs: number;
}

/** Parts that can be asked for. */
export interface JobSettings {
  readonly admission: AdmissionSettings | undefined;
}

/** Nothing is asked for. */
export const DEFAULT_SETTINGS: JobSettings = { admission: undefined };

/**
 * Names the parts that are asked for, for logs.
 *
 * @param settings - the settings
 * @returns names, separated by commas
 */
export const describeEnabledFeatures = (settings: JobSettings): string =>
  Object.entries(settings)
    .flatMap(([name, feature]) => (feature === undefined ? [] : [name]))
    .join(', ');
