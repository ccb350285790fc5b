/**
 * Configuration over HTTP, so that operators need no access to the platform.
 */
import type { ServerResponse } from 'node:http';
import { Failure } from '../failure.js';
import type { HttpExchange, HttpHandler } from '../http/httpHandler.js';
import { writeProblem } from '../http/problem.js';
import { requestIdOf } from '../http/requestId.js';
import type { ConfigurationCommands } from './configurationCommands.js';
import type { ConfigurationQueries } from './configurationQueries.js';
import { readJsonBody, writeJson } from './jsonBody.js';
import type { PublishRefusal } from './publication.js';
import { Err, type Result } from '../results.js';

/** An answer of a command or query. */
export type Answer = Result<unknown, PublishRefusal>;

const PROBLEM_TYPE = 'application/problem+json';

const notFound = (what: string): PublishRefusal => ({
  kind: 'failed',
  failure: new Failure({
    code: 'not-found',
    step: 'configuration.http',
    peer: 'self',
    effect: 'not-run',
    message: `there is no ${what}`,
  }),
});

const writeRefusal = (response: ServerResponse, refusal: PublishRefusal): void => {
  if (refusal.kind === 'failed') {
    writeProblem(response, refusal.failure, requestIdOf(response));
    return;
  }
  const isConflict = refusal.kind === 'conflict';
  const status = isConflict ? 409 : 422;
  const details = isConflict
    ? { detail: refusal.message, current: refusal.current, changed: refusal.changed }
    : { detail: 'the configuration has problems', problems: refusal.problems };
  const title = isConflict ? 'conflict' : 'invalid-configuration';
  const type = `urn:samphirenotch:problem:${title}`;
  writeJson(
    response,
    status,
    { type, title, status, outcome: 'not-run', ...details },
    PROBLEM_TYPE,
  );
};

/** Serves `/configuration`. */
export class ConfigurationHandler implements HttpHandler {
  readonly prefix = '/configuration';

  /**
   * @param queries - what can be read
   * @param commands - what can be changed
   */
  constructor(
    private readonly queries: ConfigurationQueries,
    private readonly commands: ConfigurationCommands,
  ) {}

  async handle(exchange: HttpExchange): Promise<void> {
    const path = exchange.url.pathname.slice(this.prefix.length).replace(/\/+$/u, '');
    const answer =
      exchange.request.method === 'POST'
        ? await this.command(path, exchange)
        : await this.query(path, exchange);
    if (answer.ok) writeJson(exchange.response, 200, answer.val);
    else writeRefusal(exchange.response, answer.val);
  }

  private async query(path: string, { call, request, url }: HttpExchange): Promise<Answer> {
    if (request.method !== 'GET') return Err(notFound(`${request.method} of ${path}`));
    if (path === '') return this.queries.current(call);
    if (path === '/versions') return this.queries.versions(url.searchParams, call);
    const [, version] = /^\/versions\/(\d{1,15})$/u.exec(path) ?? [];
    if (version === undefined) return Err(notFound(path));
    return this.queries.version(Number(version), call);
  }

  private async command(path: string, { call, request }: HttpExchange): Promise<Answer> {
    const body = await readJsonBody(request);
    if (!body.ok) return Err({ kind: 'failed', failure: body.val });
    if (path === '/check') return this.commands.check(body.val, call);
    if (path === '/diff') return this.queries.diff(body.val, call);
    if (path === '/publish') return this.commands.publish(body.val, call);
    if (path === '/restore') return this.commands.restore(body.val, call);
    if (path === '/outages') return this.commands.changeOutage(body.val, call);
    return Err(notFound(path));
  }
}
