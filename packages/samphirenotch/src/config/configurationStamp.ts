/**
 * What entries tell one another about the configuration in force.
 */

/** Which configuration an entry has in force, and how sure it is that there is no newer one. */
export interface ConfigurationStamp {
  readonly version: number;
  readonly digest: string;
  /** Age of the last proof that no newer configuration was accepted, in milliseconds. */
  readonly confirmedAgeMs: number;
}
