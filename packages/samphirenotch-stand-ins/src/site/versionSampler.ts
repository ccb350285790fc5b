/**
 * Notes which configuration each entry has in force, again and again.
 */
import type { VersionSample } from '../invariants.js';

import { pause, type Site } from './site.js';
import type { SiteOperator } from './siteOperator.js';

const SAMPLE_INTERVAL_MS = 500;

/**
 * Samples versions until the signal aborts. Entries that do not answer are passed over.
 *
 * @param site - the site
 * @param operator - reads versions
 * @param samples - where samples are added
 * @param signal - ends the sampling
 */
export const sampleVersions = async (
  site: Site,
  operator: SiteOperator,
  samples: VersionSample[],
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    const reads = site.entries.map(async (entry) => {
      const version = await operator.versionAt(entry);
      if (version > 0) samples.push({ entryId: entry.id, atMs: Date.now(), version });
    });
    await Promise.all(reads);
    await pause(SAMPLE_INTERVAL_MS);
  }
};
