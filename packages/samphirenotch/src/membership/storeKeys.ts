/**
 * Keys and values in the store that record which entries are live and which entry owns which
 * resource.
 */
import { z } from 'zod';

/** Prefix of the keys of live entries; the entry's id follows. */
export const ENTRIES_PREFIX = 'entries/';

/** Prefix of the keys of owned resources; the resource's name follows. */
export const OWNERS_PREFIX = 'owners/';

const ENTRY_RECORD = z.object({
  id: z.string(),
  dataCentre: z.string(),
  address: z.string(),
  leaving: z.boolean(),
});

/** Stored value that registers a live entry. */
export type EntryRecord = Readonly<z.infer<typeof ENTRY_RECORD>>;

const OWNER_RECORD = z.object({
  owner: z.string(),
  lease: z.string(),
  writeId: z.string(),
});

/**
 * Stored value that names the owner of a resource. The write id identifies the write that set it.
 */
export type OwnerRecord = Readonly<z.infer<typeof OWNER_RECORD>>;

const parseJson = <T>(schema: z.ZodType<T>, text: string): T | undefined => {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

/**
 * Parses an entry record.
 *
 * @param text - the stored value
 * @returns the record, or undefined if the value is not a valid one
 */
export const parseEntryRecord = (text: string): EntryRecord | undefined =>
  parseJson(ENTRY_RECORD, text);

/**
 * Parses an owner record.
 *
 * @param text - the stored value
 * @returns the record, or undefined if the value is not a valid one
 */
export const parseOwnerRecord = (text: string): OwnerRecord | undefined =>
  parseJson(OWNER_RECORD, text);
