/**
 * What the operators of a site ask of its scheduler beyond the plain behaviour. A part that is left out is
 * off.
 */

/** Turns jobs away that cannot be served in time. */
export interface AdmissionSettings {
  /** Age of news about room from which every job is accepted, in milliseconds. */
  readonly newsAgeMs: number;
}

/** Parts that can be asked for. */
export interface JobSettings {
  readonly admission: AdmissionSettings | undefined;
}

/** Nothing is asked for. */
export const PLAIN_SETTINGS: JobSettings = { admission: undefined };

/**
 * Names the parts that are asked for, for logs.
 *
 * @param settings - the settings
 * @returns names, separated by commas
 */
export const describeParts = (settings: JobSettings): string =>
  Object.entries(settings)
    .flatMap(([name, part]) => (part === undefined ? [] : [name]))
    .join(', ');
