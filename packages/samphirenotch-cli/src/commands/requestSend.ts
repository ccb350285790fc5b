/**
 * `request`.
 */
import { pipeline } from 'node:stream/promises';
import { Command, Option } from 'clipanion';
import type { EntryClient } from '../entryClient.js';
import { EntryCommand } from '../entryCommand.js';
import { EXIT_CODES, type ExitCode } from '../exitCode.js';

const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

/** Sends a request to a service. */
export class RequestSend extends EntryCommand {
  static override paths = [['request']];

  static override usage = Command.Usage({
    category: 'Requests',
    description: 'Send a request to a service and print the answer',
    examples: [
      [
        'Check a price',
        '$0 request spot-desk /price/laureate --class price-check --tenant growers',
      ],
      [
        'Book a bid, at most once',
        '$0 request spot-desk /bids --method POST --data \'{"lot":7}\' --class book-bid --tenant maltsters --key bid-7',
      ],
    ],
  });

  service = Option.String({ name: 'SERVICE' });

  address = Option.String({ name: 'PATH' });

  method = Option.String('--method', 'GET', { description: METHODS.join(', ') });

  data = Option.String('--data', { description: 'Body to send' });

  tenant = Option.String('--tenant', { required: true, description: 'Who asks' });

  taskClass = Option.String('--class', { description: 'Class of the request' });

  key = Option.String('--key', { description: 'Idempotency key' });

  wait = Option.String('--wait', { description: 'Seconds to wait for the answer' });

  override async run(client: EntryClient): Promise<ExitCode> {
    const method = METHODS.find((each) => each === this.method.toUpperCase());
    if (!method) {
      const lines = [`--method takes one of: ${METHODS.join(', ')}.`];
      return this.fail({ exitCode: EXIT_CODES.usage, lines });
    }
    const separator = this.address.startsWith('/') ? '' : '/';
    const path = `/services/${encodeURIComponent(this.service)}${separator}${this.address}`;
    const answer = await client.open({ method, path, headers: this.headers(), body: this.data });
    if (!answer.ok) return this.fail(answer.val);
    return this.pass(answer.val.body);
  }

  private headers(): Readonly<Record<string, string>> {
    return {
      Tenant: encodeURIComponent(this.tenant),
      ...(this.taskClass === undefined ? {} : { 'Task-Class': encodeURIComponent(this.taskClass) }),
      ...(this.key === undefined ? {} : { 'Idempotency-Key': this.key }),
      ...(this.wait === undefined ? {} : { Prefer: `wait=${this.wait}` }),
    };
  }

  private async pass(body: NodeJS.ReadableStream): Promise<ExitCode> {
    try {
      await pipeline(body, this.context.stdout, { end: false });
      return EXIT_CODES.ok;
    } catch {
      const lines = ['The answer was cut off.'];
      return this.fail({ exitCode: EXIT_CODES.unknown, lines });
    }
  }
}
