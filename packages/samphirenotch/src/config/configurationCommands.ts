/**
 * Commands of the configuration resource.
 */
import type { VmList } from '../infrastructure/vmList.js';
import type { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import { callWithin, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { checkConfiguration, type CheckContext } from './checker.js';
import type { ConfigurationProblem } from './configurationProblem.js';
import {
  checkBody,
  FILES_BODY,
  OUTAGE_BODY,
  PUBLISH_BODY,
  RESTORE_BODY,
} from './configurationRequests.js';
import type { Outages } from './outages.js';
import type { WorkerCapacity } from './placeCheck.js';
import type { Published, PublishRefusal } from './publication.js';
import type { Publisher } from './publisher.js';

/** What commands work with. */
export interface CommandParts {
  readonly publisher: Publisher;
  readonly outages: Outages;
  readonly vmList: VmList;
  readonly clock: Clock;
  /** Largest value that the platform's store holds, in bytes. */
  readonly maximumValueBytes: number;
}

/** What a check found. */
export interface CheckReport {
  readonly problems: readonly ConfigurationProblem[];
  /** False if the platform's list did not answer, so that capacities could not be checked. */
  readonly knowsWorkers: boolean;
}

type Outcome<T> = Result<T, PublishRefusal>;

/** A publish goes on for so long when the store is slow. */
const PUBLISH_TIMEOUT_MS = 20_000;
const LIST_TIMEOUT_MS = 2_000;

const failed = (failure: Failure): PublishRefusal => ({ kind: 'failed', failure });

/** Runs commands. */
export class ConfigurationCommands {
  /**
   * @param parts - what commands work with
   */
  constructor(private readonly parts: CommandParts) {}

  /**
   * Checks files without publishing them.
   *
   * @param body - the files
   * @param call - deadline and cancellation
   * @returns every problem
   */
  async check(body: unknown, call: Call): Promise<Outcome<CheckReport>> {
    const asked = checkBody(FILES_BODY, body);
    if (!asked.ok) return Err(failed(asked.val));
    const workers = await this.workers(call);
    const checked = checkConfiguration(asked.val.files, this.context(workers));
    return Ok({ problems: checked.ok ? [] : checked.val, knowsWorkers: workers !== undefined });
  }

  /**
   * Publishes files.
   *
   * @param body - the files, who publishes them and why
   * @param call - cancellation
   * @returns the accepted record, or why nothing was published
   */
  async publish(body: unknown, call: Call): Promise<Outcome<Published>> {
    const asked = checkBody(PUBLISH_BODY, body);
    if (!asked.ok) return Err(failed(asked.val));
    const context = this.context(await this.workers(call));
    return this.parts.publisher.publish(asked.val, context, this.longCall(call));
  }

  /**
   * Publishes an earlier version again.
   *
   * @param body - the version, who restores it and why
   * @param call - cancellation
   * @returns the accepted record, or why nothing was published
   */
  async restore(body: unknown, call: Call): Promise<Outcome<Published>> {
    const asked = checkBody(RESTORE_BODY, body);
    if (!asked.ok) return Err(failed(asked.val));
    const { version, ...publication } = asked.val;
    const context = this.context(await this.workers(call));
    return this.parts.publisher.restore(version, publication, context, this.longCall(call));
  }

  /**
   * Takes a data centre out or brings it back.
   *
   * @param body - the data centre, who changes it and why
   * @param call - cancellation
   * @returns the accepted record, or why nothing was published
   */
  async changeOutage(body: unknown, call: Call): Promise<Outcome<Published>> {
    const asked = checkBody(OUTAGE_BODY, body);
    if (!asked.ok) return Err(failed(asked.val));
    const { change, dataCentre, ...publication } = asked.val;
    const context = this.context(undefined);
    const { outages } = this.parts;
    return outages.change(change, dataCentre, publication, context, this.longCall(call));
  }

  private context(workers: readonly WorkerCapacity[] | undefined): CheckContext {
    return { maximumValueBytes: this.parts.maximumValueBytes, workers: workers ?? [] };
  }

  private async workers(call: Call): Promise<readonly WorkerCapacity[] | undefined> {
    const { clock, vmList } = this.parts;
    const listed = await vmList.workers(callWithin(clock, LIST_TIMEOUT_MS, call.signal));
    return listed.ok ? listed.val.filter((worker) => !worker.leaving) : undefined;
  }

  private longCall(call: Call): Call {
    return callWithin(this.parts.clock, PUBLISH_TIMEOUT_MS, call.signal);
  }
}
