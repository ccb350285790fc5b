/**
 * Speaks to an entry over HTTP.
 */
import type { Readable } from 'node:stream';
import { Err, Ok, type Result } from 'samphirenotch/results.js';
import { request, type Dispatcher } from 'undici';
import { problem, problemOfAnswer, type CliProblem } from './cliProblem.js';
import { EXIT_CODES } from './exitCode.js';

/** What is asked of an entry. */
export interface EntryRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** How long the answer may take to begin; milliseconds. 0 for any time. */
  readonly timeoutMs?: number;
}

/** A good answer of an entry. */
export interface EntryAnswer {
  readonly status: number;
  readonly body: Readable;
}

const DEFAULT_TIMEOUT_MS = 30_000;
const FIRST_ERROR = 400;

/** Errors of a connection that was never made. */
const NOT_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const codeOf = (error: unknown): string => {
  if (!(error instanceof Error) || !('code' in error)) return 'error';
  return String(error.code);
};

/** Speaks to one entry, the first of those given that takes the connection. */
export class EntryClient {
  /**
   * @param addresses - addresses of entries, such as `http://127.0.0.1:8001`
   */
  constructor(readonly addresses: readonly string[]) {}

  /**
   * Asks an entry and passes the answer's body on as a stream.
   *
   * @param asked - the request
   * @returns the answer, or what went wrong
   */
  async open(asked: EntryRequest): Promise<Result<EntryAnswer, CliProblem>> {
    let last = problem(EXIT_CODES.usage, 'No entry is given: use --entry or SAMPHIRENOTCH_ENTRY.');
    for (const address of this.addresses) {
      const answer = await this.openAt(address, asked);
      if (answer.ok || answer.val.exitCode !== EXIT_CODES.unavailable) return answer;
      last = answer.val;
    }
    return Err(last);
  }

  /**
   * Asks an entry for JSON.
   *
   * @param asked - the request
   * @returns the parsed answer, or what went wrong
   */
  async json(asked: EntryRequest): Promise<Result<unknown, CliProblem>> {
    const answer = await this.open(asked);
    if (!answer.ok) return answer;
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of answer.val.body) chunks.push(Buffer.from(chunk));
      return Ok(JSON.parse(Buffer.concat(chunks).toString('utf8')));
    } catch {
      return Err(problem(EXIT_CODES.unknown, 'The answer of the entry was cut off.'));
    }
  }

  /**
   * Sends JSON to an entry.
   *
   * @param path - where to
   * @param value - what to send
   * @returns the parsed answer, or what went wrong
   */
  async post(path: string, value: unknown): Promise<Result<unknown, CliProblem>> {
    const headers = { 'Content-Type': 'application/json' };
    return this.json({ method: 'POST', path, headers, body: JSON.stringify(value) });
  }

  private async openAt(
    address: string,
    { method, path, headers, body, timeoutMs = DEFAULT_TIMEOUT_MS }: EntryRequest,
  ): Promise<Result<EntryAnswer, CliProblem>> {
    try {
      const options = { method, headers, body, headersTimeout: timeoutMs, bodyTimeout: 0 };
      const answer = await request(new URL(path, address), options);
      if (answer.statusCode < FIRST_ERROR) {
        return Ok({ status: answer.statusCode, body: answer.body });
      }
      return Err(problemOfAnswer(method, answer.statusCode, await answer.body.text()));
    } catch (error) {
      return Err(this.problemOfError(address, method, error));
    }
  }

  private problemOfError(address: string, method: string, error: unknown): CliProblem {
    const code = codeOf(error);
    const lines = [`The entry at ${address} does not answer (${code}).`];
    const isHarmless = NOT_SENT.has(code) || method === 'GET';
    if (isHarmless) return problem(EXIT_CODES.unavailable, ...lines);
    return problem(EXIT_CODES.unknown, ...lines, 'Whether it was done is not known.');
  }
}
