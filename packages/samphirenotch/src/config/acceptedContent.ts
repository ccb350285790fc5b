/**
 * Content of an accepted configuration as an entry holds it: parts, parsed files and the set.
 */
import { readManifest, type ManifestFile } from './content.js';
import { joinDraft, readDraftFile, toSet, type DraftFile } from './draft.js';
import type { ConfigurationSet } from './objects.js';

/** A configuration that was fetched whole. */
export interface AcceptedContent {
  readonly set: ConfigurationSet;
  /** Text of every part by its digest, the manifest among them. */
  readonly parts: ReadonlyMap<string, string>;
  /** Objects of every file, by the digest of its part. */
  readonly drafts: ReadonlyMap<string, DraftFile>;
}

/** Reads a file anew only if its part was not in the earlier configuration. */
const draftOf = (
  { name, digest }: ManifestFile,
  text: string,
  earlier: AcceptedContent | undefined,
): DraftFile => earlier?.drafts.get(digest) ?? readDraftFile(name, text);

/**
 * Puts the content of an accepted configuration together.
 *
 * @param version - its version
 * @param digest - digest of its manifest
 * @param parts - text of every part by its digest
 * @param earlier - the configuration before it, to take over what has not changed
 * @returns the content, or a sentence saying why this program cannot read it
 */
export const assembleContent = (
  version: number,
  digest: string,
  parts: ReadonlyMap<string, string>,
  earlier: AcceptedContent | undefined,
): AcceptedContent | string => {
  const files = readManifest(parts.get(digest) ?? '');
  if (!files) return 'its manifest is malformed';
  const drafts = new Map(
    files.map((file) => [file.digest, draftOf(file, parts.get(file.digest) ?? '', earlier)]),
  );
  const draft = joinDraft([...drafts.values()]);
  const [problem] = draft.problems;
  if (problem) return `${problem.file}: ${problem.message}`;
  return { set: toSet(draft, version, digest), parts, drafts };
};
