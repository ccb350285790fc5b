/**
 * Which entries the command line speaks to.
 */
import { Err, Ok, type Result } from 'samphirenotch/results.js';
import { problem, type CliProblem } from './cliProblem.js';
import { EXIT_CODES } from './exitCode.js';

const PROTOCOLS = ['http:', 'https:'];

const isAddress = (text: string): boolean =>
  URL.canParse(text) && PROTOCOLS.includes(new URL(text).protocol);

/**
 * Reads a list of addresses.
 *
 * @param text - addresses with commas between them
 * @returns the addresses, or what is wrong with one
 */
export const readAddresses = (text: string): Result<readonly string[], CliProblem> => {
  const addresses = text
    .split(',')
    .map((each) => each.trim())
    .filter((each) => each !== '');
  const wrong = addresses.find((each) => !isAddress(each));
  if (wrong === undefined) return Ok(addresses);
  const accepted = 'accepted: an address such as http://127.0.0.1:8001';
  return Err(problem(EXIT_CODES.usage, `"${wrong}" is no address of an entry; ${accepted}`));
};
