/**
 * Queries of the accepted configurations that the store keeps.
 */
import pLimit from 'p-limit';
import { Failure } from '../failure.js';
import type { KeyValue, KeyValueStore } from '../infrastructure/keyValueStore.js';
import { Err, Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { digestOf, readManifest } from './content.js';
import type { ConfigurationFiles } from './draft.js';
import type { PartSource } from './partSource.js';
import { readRecord, ROOT_KEY, versionKey, type AcceptedRecord } from './storedRoot.js';
import { StoreParts } from './storeParts.js';
import { untilDeadline } from './untilDeadline.js';

/** The accepted record with the revision to swap it at. */
export interface Root {
  /** Nothing if no configuration was ever accepted. */
  readonly record?: AcceptedRecord;
  /** The stored value of the record. */
  readonly value?: string;
  /** 0 if the key is absent. */
  readonly revision: number;
}

/** So many parts are read at once. */
const PARTS_AT_ONCE = 3;

const PEER = 'store';

const problem = (code: 'not-found' | 'internal', step: string, message: string): Failure =>
  new Failure({ code, step, peer: PEER, effect: 'not-run', message });

/** Reads accepted configurations from the store. */
export class History {
  private readonly parts: PartSource;

  /**
   * @param store - the store
   * @param clock - the clock of deadlines
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
  ) {
    this.parts = new StoreParts(store);
  }

  /**
   * Reads the accepted record.
   *
   * @param call - deadline and cancellation
   * @returns the record, if any, with its revision
   */
  async root(call: Call): Promise<Result<Root, Failure>> {
    const found = await this.get(ROOT_KEY, call);
    if (!found.ok) return found;
    if (!found.val) return Ok({ revision: 0 });
    const { value, revision } = found.val;
    const record = readRecord(value);
    if (!record) return Err(problem('internal', 'configuration.root', 'the record is malformed'));
    return Ok({ record, value, revision });
  }

  /**
   * Reads the record of a version.
   *
   * @param version - the version
   * @param call - deadline and cancellation
   * @returns the record; a failure `not-found` if the version was never accepted
   */
  async record(version: number, call: Call): Promise<Result<AcceptedRecord, Failure>> {
    const root = await this.root(call);
    if (!root.ok) return root;
    if (root.val.record?.version === version) return Ok(root.val.record);
    const found = await this.get(versionKey(version), call);
    if (!found.ok) return found;
    const record = found.val && readRecord(found.val.value);
    if (record) return Ok(record);
    const newest = root.val.record?.version ?? 0;
    const message = `there is no version ${version}; the newest is ${newest}`;
    return Err(problem('not-found', 'configuration.version', message));
  }

  /**
   * Reads the files of an accepted configuration.
   *
   * @param digest - digest of its manifest
   * @param call - deadline and cancellation
   * @returns the files
   */
  async files(digest: string, call: Call): Promise<Result<ConfigurationFiles, Failure>> {
    const manifest = await this.part(digest, call);
    if (!manifest.ok) return manifest;
    const listed = readManifest(manifest.val) ?? [];
    const limit = pLimit(PARTS_AT_ONCE);
    const texts = await limit.map(listed, (file) => this.part(file.digest, call));
    const files = new Map<string, string>();
    for (const [index, text] of texts.entries()) {
      if (!text.ok) return text;
      files.set(listed[index]?.name ?? '', text.val);
    }
    return Ok(files);
  }

  /**
   * Lists records, newest first.
   *
   * @param below - only versions below this one; nothing for the newest
   * @param count - how many at most
   * @param call - deadline and cancellation
   * @returns the records
   */
  async log(
    below: number | undefined,
    count: number,
    call: Call,
  ): Promise<Result<readonly AcceptedRecord[], Failure>> {
    const root = await this.root(call);
    if (!root.ok) return root;
    const newest = root.val.record?.version ?? 0;
    const first = Math.min(newest, below === undefined ? newest : below - 1);
    const length = Math.max(0, Math.min(count, first));
    const versions = Array.from({ length }, (_, index) => first - index);
    const records: AcceptedRecord[] = [];
    for (const version of versions) {
      const record = await this.record(version, call);
      if (record.ok) records.push(record.val);
      else if (record.val.code !== 'not-found') return record;
    }
    return Ok(records);
  }

  private async part(digest: string, call: Call): Promise<Result<string, Failure>> {
    const found = await untilDeadline(this.clock, call, () => this.parts.part(digest, call));
    if (!found.ok) return found;
    if (found.val !== undefined && digestOf(found.val) === digest) return Ok(found.val);
    return Err(problem('internal', 'configuration.part', `part ${digest} is missing or damaged`));
  }

  private get(key: string, call: Call): Promise<Result<KeyValue | undefined, Failure>> {
    return untilDeadline(this.clock, call, () => this.store.get(key, call));
  }
}
