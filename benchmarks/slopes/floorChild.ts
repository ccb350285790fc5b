/**
 * A process with the library loaded and nothing running, for its memory: `floorChild`. Sends its
 * resident size to the parent.
 *
 * @packageDocumentation
 */

import * as library from 'samphirenotch';

const SETTLED_AFTER_MS = 500;

setTimeout(() => {
  const parts = Object.keys(library).length;
  process.send?.(parts > 0 ? process.memoryUsage().rss : 0);
  process.disconnect();
}, SETTLED_AFTER_MS);
