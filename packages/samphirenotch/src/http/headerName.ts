/**
 * Names of objects in headers. Headers carry ASCII only, so other letters are percent-encoded.
 */

/**
 * Decodes a name.
 *
 * @param value - value of a header
 * @returns the name; the value as it is if it is not properly encoded
 */
export const decodeName = (value: string): string => {
  try {
    return decodeURIComponent(value);
  } catch {
    return value;
  }
};
