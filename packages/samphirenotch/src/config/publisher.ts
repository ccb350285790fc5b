/**
 * Publishes configurations: checks the whole set, stores its parts, and accepts it by one swap.
 */
import { randomUUID } from 'node:crypto';
import { Failure } from '../failure.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { Err, Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { changedObjects, type ChangedObject } from './changedObjects.js';
import { checkConfiguration, type CheckContext } from './checker.js';
import { toContent, type Content } from './content.js';
import type { ConfigurationFiles } from './draft.js';
import { DraftCache } from './draftCache.js';
import { History, type Root } from './history.js';
import type { Published, PublishRefusal, PublishRequest, Publication } from './publication.js';
import { RootSwap } from './rootSwap.js';
import { partKey, versionKey, type AcceptedRecord } from './storedRoot.js';
import { untilDeadline } from './untilDeadline.js';

/** What a publisher works with. */
export interface PublisherParts {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** Highest version that entries have in force; new versions are above it. */
  readonly versionInForce: () => number;
  /** Makes the id of a write. */
  readonly newWriteId?: () => string;
}

type Outcome<T> = Result<T, PublishRefusal>;

const failed = (failure: Failure): PublishRefusal => ({ kind: 'failed', failure });

const missingText = (what: string): PublishRefusal =>
  failed(
    new Failure({
      code: 'invalid',
      step: 'configuration.publish',
      peer: 'caller',
      effect: 'not-run',
      message: `${what} is missing`,
    }),
  );

/** Publishes configurations. */
export class Publisher {
  private readonly history: History;

  private readonly rootSwap: RootSwap;

  private readonly drafts = new DraftCache();

  /**
   * @param parts - what it works with
   */
  constructor(private readonly parts: PublisherParts) {
    this.history = new History(parts.store, parts.clock);
    this.rootSwap = new RootSwap(parts.store, this.history, parts.clock);
  }

  /**
   * Publishes files. Nothing takes effect unless they are accepted whole.
   *
   * @param request - the files, who publishes them and why
   * @param context - what they are checked against
   * @param call - deadline and cancellation
   * @returns the accepted record, or why nothing was published
   */
  async publish(
    request: PublishRequest,
    context: CheckContext,
    call: Call,
  ): Promise<Outcome<Published>> {
    if (request.why.trim() === '') return Err(missingText('why'));
    if (request.publishedBy.trim() === '') return Err(missingText('the publisher'));
    const root = await this.history.root(call);
    if (!root.ok) return Err(failed(root.val));
    const { record } = root.val;
    const base = request.baseVersion ?? record?.version;
    if (record && base !== record.version) return this.conflict(base ?? 0, call);
    const checked = checkConfiguration(request.files, context, this.drafts);
    if (!checked.ok) return Err({ kind: 'problems', problems: checked.val });
    const content = toContent(request.files);
    if (record?.digest === content.digest) return Ok({ record, isNew: false });
    return this.accept(request, root.val, content, call);
  }

  /**
   * Publishes the files of an earlier version as a new one.
   *
   * @param version - the version to go back to
   * @param publication - who restores it and why
   * @param context - what the files are checked against
   * @param call - deadline and cancellation
   * @returns the accepted record, or why nothing was published
   */
  async restore(
    version: number,
    publication: Publication,
    context: CheckContext,
    call: Call,
  ): Promise<Outcome<Published>> {
    const root = await this.history.root(call);
    if (!root.ok) return Err(failed(root.val));
    const record = await this.history.record(version, call);
    if (!record.ok) return Err(failed(record.val));
    const files = await this.history.files(record.val.digest, call);
    if (!files.ok) return Err(failed(files.val));
    const { publishedBy, why } = publication;
    const baseVersion = root.val.record?.version ?? 0;
    return this.publish({ files: files.val, baseVersion, publishedBy, why }, context, call);
  }

  private async accept(
    request: PublishRequest,
    root: Root,
    content: Content,
    call: Call,
  ): Promise<Outcome<Published>> {
    const stored = await this.storeParts(root, content, call);
    if (!stored.ok) return Err(failed(stored.val));
    const kept = await this.keepRecord(root, call);
    if (!kept.ok) return Err(failed(kept.val));
    const record = this.newRecord(request, root, content);
    const swapped = await this.rootSwap.swap(record, root.revision, call);
    if (!swapped.ok) return Err(failed(swapped.val));
    if (swapped.val === 'lost') return this.conflict(root.record?.version ?? 0, call);
    return Ok({ record, isNew: true });
  }

  private newRecord(request: PublishRequest, root: Root, content: Content): AcceptedRecord {
    const { clock, newWriteId = randomUUID, versionInForce } = this.parts;
    return {
      version: Math.max(root.record?.version ?? 0, versionInForce()) + 1,
      digest: content.digest,
      publishedBy: request.publishedBy,
      why: request.why,
      atMs: clock.wallMs(),
      writeId: newWriteId(),
    };
  }

  /** Parts of the accepted configuration are in the store already. */
  private async storeParts(
    root: Root,
    content: Content,
    call: Call,
  ): Promise<Result<void, Failure>> {
    const held = await this.heldParts(root, call);
    if (!held.ok) return held;
    for (const [digest, text] of content.parts) {
      if (held.val.has(digest)) continue;
      const stored = await this.writeOnce(partKey(digest), text, call);
      if (!stored.ok) return stored;
    }
    return Ok(undefined);
  }

  private async heldParts(
    { record }: Root,
    call: Call,
  ): Promise<Result<ReadonlySet<string>, Failure>> {
    if (!record) return Ok(new Set());
    const files = await this.history.files(record.digest, call);
    return files.ok ? Ok(new Set(toContent(files.val).parts.keys())) : files;
  }

  /** Written before the root is replaced, so only what was accepted is ever found as a version. */
  private keepRecord({ record, value }: Root, call: Call): Promise<Result<void, Failure>> {
    if (!record || value === undefined) return Promise.resolve(Ok(undefined));
    return this.writeOnce(versionKey(record.version), value, call);
  }

  /** The key's value never changes, so a conflict means that it is there. */
  private async writeOnce(key: string, value: string, call: Call): Promise<Result<void, Failure>> {
    const { clock, store } = this.parts;
    const swap = { key, expectedRevision: 0, value };
    const written = await untilDeadline(clock, call, () => store.swap(swap, call));
    return written.ok ? Ok(undefined) : written;
  }

  private async conflict(baseVersion: number, call: Call): Promise<Outcome<Published>> {
    const root = await this.history.root(call);
    if (!root.ok) return Err(failed(root.val));
    const current = root.val.record;
    const changed = await this.changedSince(baseVersion, current, call);
    if (!changed.ok) return Err(failed(changed.val));
    const message =
      `version ${current?.version ?? 0} was accepted meanwhile; ` +
      `the files were edited from version ${baseVersion}`;
    return Err({ kind: 'conflict', message, current, changed: changed.val });
  }

  private async changedSince(
    baseVersion: number,
    current: AcceptedRecord | undefined,
    call: Call,
  ): Promise<Result<readonly ChangedObject[], Failure>> {
    const before = await this.filesOfVersion(baseVersion, call);
    if (!before.ok) return before.val.code === 'not-found' ? Ok([]) : before;
    if (!current) return Ok([]);
    const after = await this.history.files(current.digest, call);
    return after.ok ? Ok(changedObjects(before.val, after.val)) : after;
  }

  private async filesOfVersion(
    version: number,
    call: Call,
  ): Promise<Result<ConfigurationFiles, Failure>> {
    if (version === 0) return Ok(new Map<string, string>());
    const record = await this.history.record(version, call);
    return record.ok ? this.history.files(record.val.digest, call) : record;
  }
}
