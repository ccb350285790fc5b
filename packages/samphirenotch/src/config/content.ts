/**
 * Content of a configuration as immutable parts: one for each file and a manifest that lists them.
 */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { ConfigurationFiles } from './draft.js';

/** A file of a manifest. */
export interface ManifestFile {
  readonly name: string;
  /** Digest of the file's text. */
  readonly digest: string;
}

/** Content split into parts. */
export interface Content {
  /** Digest of the manifest, and so of all the content. */
  readonly digest: string;
  /** Text of every part by its digest, the manifest among them. */
  readonly parts: ReadonlyMap<string, string>;
}

/** Length of a digest in hexadecimal digits. */
const DIGEST_LENGTH = 64;

/** The form of a digest. */
export const DIGEST = z.string().regex(new RegExp(`^[0-9a-f]{${DIGEST_LENGTH}}$`, 'u'));

const MANIFEST = z.object({
  files: z.array(z.object({ name: z.string().min(1), digest: DIGEST })),
});

/**
 * Computes the digest of a part.
 *
 * @param text - its text
 * @returns SHA-256 in hexadecimal digits
 */
export const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex');

/**
 * Splits files into parts. The same files give the same digest in any order.
 *
 * @param files - the files
 * @returns the content
 */
export const toContent = (files: ConfigurationFiles): Content => {
  const parts = new Map<string, string>();
  const names = [...files.keys()].sort();
  const listed = names.map((name): ManifestFile => {
    const text = files.get(name) ?? '';
    const digest = digestOf(text);
    parts.set(digest, text);
    return { name, digest };
  });
  const manifest = JSON.stringify({ files: listed });
  const digest = digestOf(manifest);
  parts.set(digest, manifest);
  return { digest, parts };
};

/**
 * Reads a manifest.
 *
 * @param text - text of the part
 * @returns its files, or nothing if it is not a manifest
 */
export const readManifest = (text: string): readonly ManifestFile[] | undefined => {
  try {
    return MANIFEST.parse(JSON.parse(text)).files;
  } catch {
    return undefined;
  }
};
