/**
 * Fetches the content of an accepted configuration, part by part, from whoever has it.
 */
import pLimit from 'p-limit';
import { Failure } from '../failure.js';
import { partLog } from '../observability/log.js';
import { Err, Ok, type Result } from '../results.js';
import { callWithin, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { assembleContent, type AcceptedContent } from './acceptedContent.js';
import { digestOf, readManifest } from './content.js';
import type { PartSource } from './partSource.js';
import { settleInTime } from '../time/settleInTime.js';

/** A source that does not answer in this time is passed over. */
const PART_TIMEOUT_MS = 1_500;

/** So many parts are fetched at once. */
const PARTS_AT_ONCE = 3;

const log = partLog('configuration');

const failure = (message: string): Failure =>
  new Failure({
    code: 'unavailable',
    step: 'configuration.fetch',
    peer: 'all sources',
    effect: 'not-run',
    message,
  });

/** Fetches content. */
export class ContentFetcher {
  /**
   * @param clock - the clock of deadlines
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Fetches what the earlier configuration does not already hold.
   *
   * @param version - version to fetch
   * @param digest - digest of its manifest
   * @param sources - whom to ask, in this order
   * @param earlier - the configuration held so far
   * @param signal - ends the fetch
   * @returns the content
   */
  async fetch(
    version: number,
    digest: string,
    sources: readonly PartSource[],
    earlier: AcceptedContent | undefined,
    signal: AbortSignal,
  ): Promise<Result<AcceptedContent, Failure>> {
    const manifest = await this.part(digest, sources, earlier, signal);
    if (!manifest.ok) return manifest;
    const digests = (readManifest(manifest.val) ?? []).map((file) => file.digest);
    const limit = pLimit(PARTS_AT_ONCE);
    const found = await limit.map(digests, (each) => this.part(each, sources, earlier, signal));
    const parts = new Map([[digest, manifest.val]]);
    for (const [index, part] of found.entries()) {
      if (!part.ok) return part;
      parts.set(digests[index] ?? '', part.val);
    }
    const content = assembleContent(version, digest, parts, earlier);
    return typeof content === 'string' ? Err(failure(content)) : Ok(content);
  }

  private async part(
    digest: string,
    sources: readonly PartSource[],
    earlier: AcceptedContent | undefined,
    signal: AbortSignal,
  ): Promise<Result<string, Failure>> {
    const held = earlier?.parts.get(digest);
    if (held !== undefined) return Ok(held);
    for (const source of sources) {
      const text = await this.ask(source, digest, callWithin(this.clock, PART_TIMEOUT_MS, signal));
      if (text !== undefined) return Ok(text);
    }
    return Err(failure(`no source has part ${digest}`));
  }

  private async ask(source: PartSource, digest: string, call: Call): Promise<string | undefined> {
    const answer = await settleInTime(this.clock, call, source.part(digest, call));
    if (!answer?.ok || answer.val === undefined) return undefined;
    if (digestOf(answer.val) === digest) return answer.val;
    log.error('Refused a part whose content differs from its digest.', { digest });
    return undefined;
  }
}
