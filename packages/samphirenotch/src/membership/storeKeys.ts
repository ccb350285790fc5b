/**
 * Keys and values by which entries tell one another in the store who lives and who owns what.
 */
import { z } from 'zod';

/** Prefix of the keys of live entries. */
export const ENTRIES_PREFIX = 'entries/';

/** Prefix of the keys of owned resources. */
export const OWNERS_PREFIX = 'owners/';

const ENTRY_RECORD = z.object({
  id: z.string(),
  dataCentre: z.string(),
  address: z.string(),
  leaving: z.boolean(),
});

/** A live entry as written in the store. */
export type EntryRecord = Readonly<z.infer<typeof ENTRY_RECORD>>;

const OWNER_RECORD = z.object({
  owner: z.string(),
  lease: z.string(),
  writeId: z.string(),
});

/** An owned resource as written in the store. The write id tells whose swap it was. */
export type OwnerRecord = Readonly<z.infer<typeof OWNER_RECORD>>;

const parseJson = <T>(schema: z.ZodType<T>, text: string): T | undefined => {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

/**
 * Reads an entry record.
 *
 * @param text - the stored value
 * @returns the record, or nothing if the value is not one
 */
export const parseEntryRecord = (text: string): EntryRecord | undefined =>
  parseJson(ENTRY_RECORD, text);

/**
 * Reads an owner record.
 *
 * @param text - the stored value
 * @returns the record, or nothing if the value is not one
 */
export const parseOwnerRecord = (text: string): OwnerRecord | undefined =>
  parseJson(OWNER_RECORD, text);
