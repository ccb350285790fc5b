/**
 * Waits until a published version is in force at the entry that took it.
 */
import { SystemClock } from 'samphirenotch/time/clock.js';
import { readAnswer, STATUS } from './answers.js';
import type { EntryClient } from './entryClient.js';

const LONGEST_WAIT_MS = 7_000;
const PAUSE_MS = 200;

/**
 * Waits, for a few seconds at most.
 *
 * @param client - speaks to the entry
 * @param version - the version
 * @returns a line to tell the operator
 */
export const whenInForce = async (client: EntryClient, version: number): Promise<string> => {
  const clock = new SystemClock();
  const endMs = clock.monotonicMs() + LONGEST_WAIT_MS;
  while (clock.monotonicMs() < endMs) {
    const status = readAnswer(STATUS, await client.json({ method: 'GET', path: '/status' }));
    if (status.ok && status.val.configuration.version >= version) {
      return `Version ${version} is in force at this entry.`;
    }
    await clock.sleep(PAUSE_MS);
  }
  return `Version ${version} is accepted, but this entry does not have it in force yet.`;
};
