/**
 * Queries of the configuration resource.
 */
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import { callWithin, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { changedObjects, type ChangedObject } from './changedObjects.js';
import type { ConfigurationFollower } from './configurationFollower.js';
import { FILES_BODY, checkBody } from './configurationRequests.js';
import type { ConfigurationStamp } from './configurationStamp.js';
import { readManifest } from './content.js';
import type { ConfigurationFiles } from './draft.js';
import type { History } from './history.js';
import type { PublishRefusal } from './publication.js';
import type { AcceptedRecord } from './storedRoot.js';

/** One file as operators exchange it. */
export interface NamedFile {
  readonly name: string;
  readonly text: string;
}

/** A configuration as operators see it. */
export interface ShownConfiguration {
  /** Nothing if the store does not answer; then the files are those in force at this entry. */
  readonly record?: AcceptedRecord;
  readonly files: readonly NamedFile[];
  /** What is in force at this entry. */
  readonly inForce?: ConfigurationStamp;
}

type Outcome<T> = Result<T, PublishRefusal>;

const STORE_TIMEOUT_MS = 3_000;
const MOST_VERSIONS = 100;
const DEFAULT_VERSIONS = 20;

const failed = (failure: Failure): PublishRefusal => ({ kind: 'failed', failure });

const toList = (files: ConfigurationFiles): readonly NamedFile[] =>
  [...files].map(([name, text]) => ({ name, text }));

const readCount = (text: string | null): number | undefined => {
  if (text === null) return undefined;
  return /^\d{1,15}$/u.test(text) ? Number(text) : Number.NaN;
};

const badNumber = (): PublishRefusal =>
  failed(
    new Failure({
      code: 'invalid',
      step: 'configuration.versions',
      peer: 'caller',
      effect: 'not-run',
      message: '"below" and "limit" take whole numbers',
    }),
  );

/** Answers queries. */
export class ConfigurationQueries {
  /**
   * @param history - accepted configurations in the store
   * @param follower - what is in force at this entry
   * @param clock - the clock of deadlines
   */
  constructor(
    private readonly history: History,
    private readonly follower: ConfigurationFollower,
    private readonly clock: Clock,
  ) {}

  /**
   * Shows the accepted configuration, or the one in force here while the store does not answer.
   *
   * @param call - deadline and cancellation
   * @returns the configuration
   */
  async current(call: Call): Promise<Outcome<ShownConfiguration>> {
    const inForce = this.follower.stamp();
    const limited = this.limit(call);
    const root = await this.history.root(limited);
    if (root.ok && !root.val.record) return Ok({ files: [] });
    const record = root.ok ? root.val.record : undefined;
    const files = record && (await this.history.files(record.digest, limited));
    if (files?.ok) return Ok({ record, files: toList(files.val), inForce });
    if (inForce) return Ok({ files: toList(this.filesInForce(inForce.digest)), inForce });
    return root.ok ? Ok({ files: [] }) : Err(failed(root.val));
  }

  /**
   * Shows a version.
   *
   * @param version - the version
   * @param call - deadline and cancellation
   * @returns the configuration
   */
  async version(version: number, call: Call): Promise<Outcome<ShownConfiguration>> {
    const limited = this.limit(call);
    const record = await this.history.record(version, limited);
    if (!record.ok) return Err(failed(record.val));
    const files = await this.history.files(record.val.digest, limited);
    if (!files.ok) return Err(failed(files.val));
    return Ok({ record: record.val, files: toList(files.val) });
  }

  /**
   * Lists versions, newest first.
   *
   * @param parameters - `below` and `limit`
   * @param call - deadline and cancellation
   * @returns the records
   */
  async versions(
    parameters: URLSearchParams,
    call: Call,
  ): Promise<Outcome<{ readonly records: readonly AcceptedRecord[] }>> {
    const below = readCount(parameters.get('below'));
    const limit = readCount(parameters.get('limit')) ?? DEFAULT_VERSIONS;
    if (Number.isNaN(below) || Number.isNaN(limit)) return Err(badNumber());
    const count = Math.min(limit, MOST_VERSIONS);
    const records = await this.history.log(below, count, this.limit(call));
    return records.ok ? Ok({ records: records.val }) : Err(failed(records.val));
  }

  /**
   * Compares files with the accepted ones.
   *
   * @param body - the files
   * @param call - deadline and cancellation
   * @returns the objects that differ
   */
  async diff(
    body: unknown,
    call: Call,
  ): Promise<Outcome<{ readonly changed: readonly ChangedObject[] }>> {
    const asked = checkBody(FILES_BODY, body);
    if (!asked.ok) return Err(failed(asked.val));
    const shown = await this.current(call);
    if (!shown.ok) return shown;
    const accepted = new Map(shown.val.files.map(({ name, text }) => [name, text]));
    return Ok({ changed: changedObjects(accepted, asked.val.files) });
  }

  private limit(call: Call): Call {
    const limited = callWithin(this.clock, STORE_TIMEOUT_MS, call.signal);
    return { ...limited, deadlineMs: Math.min(limited.deadlineMs, call.deadlineMs) };
  }

  private filesInForce(digest: string): ConfigurationFiles {
    const listed = readManifest(this.follower.heldPart(digest) ?? '') ?? [];
    return new Map(listed.map((file) => [file.name, this.follower.heldPart(file.digest) ?? '']));
  }
}
