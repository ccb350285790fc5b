/**
 * Formats of values in INI files: what is accepted, and how it is read.
 */
import { isIP } from 'node:net';

/** A format of values. */
export interface ValueFormat<T> {
  /** What is accepted, in words for an operator. */
  readonly accepted: string;
  /** Reads a value; nothing if it is not in the format. */
  read(text: string): T | undefined;
}

const MS_PER_SECOND = 1000;
const MS_PER_MINUTE = 60_000;
const MB_PER_GB = 1024;
const BYTES_PER_MB = 1024 * 1024;
const MILLI = 1000;
const HIGHEST_PORT = 65_535;

/** Letters and digits of any script, then also hyphens and underscores. */
const NAME = /^[\p{L}\p{N}][\p{L}\p{M}\p{N}_-]{0,62}$/u;

const readScaled = (text: string, units: Readonly<Record<string, number>>): number | undefined => {
  const [, digits, unit] = /^(\d{1,12}(?:\.\d{1,6})?)\s*([A-Za-z]+)$/u.exec(text) ?? [];
  if (digits === undefined || unit === undefined || !Object.hasOwn(units, unit)) return undefined;
  const scaled = Number(digits) * (units[unit] ?? Number.NaN);
  return Number.isSafeInteger(Math.round(scaled)) ? Math.round(scaled) : undefined;
};

/** Any text but none at all. */
export const TEXT: ValueFormat<string> = {
  accepted: 'a text',
  read: (text) => (text === '' ? undefined : text),
};

/** The name of an object. */
export const OBJECT_NAME: ValueFormat<string> = {
  accepted: 'a name of letters, digits, hyphens and underscores, at most 63 characters',
  read: (text) => (NAME.test(text) ? text : undefined),
};

/** A time span, in milliseconds. */
export const DURATION: ValueFormat<number> = {
  accepted: 'a duration such as 250 ms, 8 s or 5 min',
  read: (text) => readScaled(text, { ms: 1, s: MS_PER_SECOND, min: MS_PER_MINUTE }),
};

/** An amount of memory, in mebibytes. */
export const MEMORY: ValueFormat<number> = {
  accepted: 'an amount of memory such as 512 MB or 4 GB',
  read: (text) => readScaled(text, { MB: 1, GB: MB_PER_GB }),
};

/** A size of content, in bytes. */
export const BYTE_SIZE: ValueFormat<number> = {
  accepted: 'a size such as 64 kB or 1 MB',
  read: (text) => readScaled(text, { B: 1, kB: 1024, MB: BYTES_PER_MB }),
};

/** A number of processors, in thousandths of a core. */
export const CORES: ValueFormat<number> = {
  accepted: 'a number of processors such as 0.5 cores or 2 cores',
  read: (text) => readScaled(text, { core: MILLI, cores: MILLI }),
};

/** Yes or no. */
export const YES_NO: ValueFormat<boolean> = {
  accepted: 'yes or no',
  read: (text) => (text === 'yes' || text === 'no' ? text === 'yes' : undefined),
};

/** An IP address with a port. */
export const ADDRESS: ValueFormat<string> = {
  accepted: 'an IP address and port such as 10.0.0.5:7000 or [fd00::5]:7000',
  read: (text) => {
    const [, bracketed, plain, port] = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/u.exec(text) ?? [];
    const isAddress = bracketed === undefined ? isIP(plain ?? '') === 4 : isIP(bracketed) === 6;
    return isAddress && Number(port) <= HIGHEST_PORT ? text : undefined;
  },
};

/**
 * Makes the format of a whole number.
 *
 * @param least - smallest accepted
 * @param most - largest accepted
 * @returns the format
 */
export const wholeNumber = (least: number, most: number): ValueFormat<number> => ({
  accepted: `a whole number from ${least} to ${most}`,
  read: (text) => {
    const value = /^\d{1,15}$/u.test(text) ? Number(text) : Number.NaN;
    return value >= least && value <= most ? value : undefined;
  },
});

/**
 * Makes the format of a choice.
 *
 * @param choices - what may be chosen
 * @returns the format
 */
export const oneOf = <T extends string>(choices: readonly T[]): ValueFormat<T> => ({
  accepted: `one of: ${choices.join(', ')}`,
  read: (text) => choices.find((choice) => choice === text),
});

/**
 * Makes the format of a list.
 *
 * @param item - format of each item
 * @returns the format, of items between commas, none twice
 */
export const listOf = <T>(item: ValueFormat<T>): ValueFormat<readonly T[]> => ({
  accepted: `a list with commas, each ${item.accepted}`,
  read: (text) => {
    const values = text.split(',').map((each) => item.read(each.trim()));
    const found = values.filter((value) => value !== undefined);
    return found.length === values.length && new Set(found).size === found.length
      ? found
      : undefined;
  },
});
