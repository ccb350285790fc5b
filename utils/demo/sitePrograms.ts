/**
 * Where the built programs of a site are.
 */
import { join } from 'node:path';

import type { SitePrograms } from 'samphirenotch-stand-ins/site/site.js';

/**
 * Finds the programs in a checkout that has been built.
 *
 * @param root - the checkout
 * @returns paths of the programs
 */
export const sitePrograms = (root: string): SitePrograms => ({
  platform: join(root, 'packages/samphirenotch-stand-ins/dist/platformMain.js'),
  worker: join(root, 'packages/samphirenotch-stand-ins/dist/workerMain.js'),
  entry: join(root, 'packages/samphirenotch-entry/dist/main.js'),
});
