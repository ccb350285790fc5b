/**
 * A worker stand-in's history as a file of JSON lines.
 */
import { appendFileSync } from 'node:fs';

import type { History, HistoryEvent } from './history.js';

/** Appends each event to a file at once, so that nothing is lost when the process is killed. */
export class FileHistory implements History {
  /**
   * @param path - the file to append to
   */
  constructor(private readonly path: string) {}

  append(event: HistoryEvent): void {
    appendFileSync(this.path, `${JSON.stringify(event)}\n`);
  }
}
