/**
 * Client of the platform's list of worker VMs over HTTP.
 */
import { Pool } from 'undici';
import { z } from 'zod';

import type { Failure } from '../failure.js';
import { Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';

import { sendCommand, type CommandTarget } from './httpCommand.js';
import type { VmList, WorkerListing } from './vmList.js';
import { WORKER_LISTING } from './workerMessages.js';

const WORKERS = z.object({ workers: z.array(WORKER_LISTING) });
const MAXIMUM_CONNECTIONS = 2;

/** A list of worker VMs that is fetched over HTTP. */
export class HttpVmList implements VmList {
  private readonly target: CommandTarget;

  private readonly pool: Pool;

  /**
   * @param address - IP address and port of the service
   * @param clock - the clock that deadlines are set on
   */
  constructor(
    address: string,
    private readonly clock: Clock,
  ) {
    const origin = `http://${address}`;
    this.pool = new Pool(origin, { connections: MAXIMUM_CONNECTIONS });
    this.target = { dispatcher: this.pool, origin, peer: `vm list ${address}` };
  }

  async workers(call: Call): Promise<Result<readonly WorkerListing[], Failure>> {
    const command = { path: '/vms/list', step: 'vmList.workers', body: {}, answer: WORKERS };
    const answer = await sendCommand(this.target, command, this.clock, call);
    return answer.ok ? Ok(answer.val.workers) : answer;
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }
}
