/**
 * Client of the platform's key-value store over HTTP.
 */
import { Pool } from 'undici';
import { z } from 'zod';

import type { Failure } from '../failure.js';
import { Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';

import { operationSender, type OperationSender } from './httpCommand.js';
import type {
  ChangeBatch,
  KeyValue,
  KeyValueStore,
  Listing,
  Swap,
  SwapOutcome,
} from './keyValueStore.js';

const MAXIMUM_VALUE_BYTES = 1024 * 1024;
const MAXIMUM_CONNECTIONS = 16;
const CONNECT_TIMEOUT_MS = 1000;

const KEY_VALUE = z.object({ key: z.string(), value: z.string(), revision: z.number() });
const GET_ANSWER = z.object({ item: KEY_VALUE.optional() });
const LISTING = z.object({ items: z.array(KEY_VALUE), revision: z.number() });
const SWAP_ANSWER = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('swapped'), revision: z.number() }),
  z.object({ kind: z.literal('conflict'), current: KEY_VALUE.optional() }),
]);
const BOOLEAN_ANSWER = z.object({ value: z.boolean() });
const LEASE_ANSWER = z.object({ leaseId: z.string() });
const CHANGES = z.object({
  changes: z.array(
    z.object({ key: z.string(), value: z.string().optional(), revision: z.number() }),
  ),
  revision: z.number(),
  compacted: z.boolean(),
});

/** A key-value store that is accessed over HTTP. */
export class HttpKeyValueStore implements KeyValueStore {
  readonly maximumValueBytes = MAXIMUM_VALUE_BYTES;

  private readonly send: OperationSender;

  private readonly pool: Pool;

  /**
   * @param address - IP address and port of the service
   * @param clock - the clock that deadlines are set on
   */
  constructor(address: string, clock: Clock) {
    const origin = `http://${address}`;
    this.pool = new Pool(origin, {
      connections: MAXIMUM_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    const target = { dispatcher: this.pool, origin, peer: `store ${address}` };
    this.send = operationSender(target, 'store', clock);
  }

  async get(key: string, call: Call): Promise<Result<KeyValue | undefined, Failure>> {
    const answer = await this.send('get', { key }, GET_ANSWER, call);
    return answer.ok ? Ok(answer.val.item) : answer;
  }

  list(prefix: string, call: Call): Promise<Result<Listing, Failure>> {
    return this.send('list', { prefix }, LISTING, call);
  }

  swap(swap: Swap, call: Call): Promise<Result<SwapOutcome, Failure>> {
    return this.send('swap', swap, SWAP_ANSWER, call);
  }

  async remove(
    key: string,
    expectedRevision: number,
    call: Call,
  ): Promise<Result<boolean, Failure>> {
    const answer = await this.send('remove', { key, expectedRevision }, BOOLEAN_ANSWER, call);
    return answer.ok ? Ok(answer.val.value) : answer;
  }

  async grantLease(timeToLiveMs: number, call: Call): Promise<Result<string, Failure>> {
    const answer = await this.send('grantLease', { timeToLiveMs }, LEASE_ANSWER, call);
    return answer.ok ? Ok(answer.val.leaseId) : answer;
  }

  async renewLease(leaseId: string, call: Call): Promise<Result<boolean, Failure>> {
    const answer = await this.send('renewLease', { leaseId }, BOOLEAN_ANSWER, call);
    return answer.ok ? Ok(answer.val.value) : answer;
  }

  async revokeLease(leaseId: string, call: Call): Promise<Result<boolean, Failure>> {
    const answer = await this.send('revokeLease', { leaseId }, BOOLEAN_ANSWER, call);
    return answer.ok ? Ok(answer.val.value) : answer;
  }

  watch(
    prefix: string,
    afterRevision: number,
    holdMs: number,
    call: Call,
  ): Promise<Result<ChangeBatch, Failure>> {
    return this.send('watch', { prefix, afterRevision, holdMs }, CHANGES, call);
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }
}
