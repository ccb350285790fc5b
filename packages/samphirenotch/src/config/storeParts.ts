/**
 * Parts of content as the platform's store keeps them.
 */
import type { Failure } from '../failure.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { PartSource } from './partSource.js';
import { partKey } from './storedRoot.js';

/** Reads parts from the store. */
export class StoreParts implements PartSource {
  /**
   * @param store - the store
   */
  constructor(private readonly store: KeyValueStore) {}

  async part(digest: string, call: Call): Promise<Result<string | undefined, Failure>> {
    const found = await this.store.get(partKey(digest), call);
    return found.ok ? Ok(found.val?.value) : found;
  }
}
