/**
 * An operator of a site: publishes configurations and takes data centres out.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import { request } from 'undici';

import { until, type Site, type SiteEntry } from './site.js';

/** An accepted change. */
export interface AcceptedChange {
  readonly version: number;
  /** When the answer arrived, wall clock in milliseconds. */
  readonly acceptedAtMs: number;
}

interface PublishAnswer {
  readonly record?: { readonly version: number };
  readonly version?: number;
}

interface StatusAnswer {
  readonly configuration: { readonly version: number };
}

const HTTP_ERROR = 400;

/** Publishes through entries. */
export class SiteOperator {
  /**
   * @param site - the site
   */
  constructor(private readonly site: Site) {}

  /**
   * Publishes a directory of configuration files.
   *
   * @param directory - the directory
   * @returns the accepted change
   */
  publish(directory: string): Promise<AcceptedChange> {
    const files = readdirSync(directory)
      .filter((name) => name.endsWith('.ini'))
      .map((name) => ({ name, text: readFileSync(join(directory, name), 'utf8') }));
    return this.command('/configuration/publish', { files });
  }

  /**
   * Takes a data centre out or brings it back.
   *
   * @param change - which of both
   * @param dataCentre - the data centre
   * @returns the accepted change
   */
  outage(change: 'start' | 'end', dataCentre: string): Promise<AcceptedChange> {
    return this.command('/configuration/outages', { change, dataCentre });
  }

  /**
   * Waits until a version is in force at all entries.
   *
   * @param version - the version
   */
  async inForce(version: number): Promise<void> {
    await until(`version ${version} to be in force`, async () => {
      const versions = await Promise.all(this.site.entries.map((entry) => this.versionAt(entry)));
      return versions.every((each) => each >= version);
    });
  }

  /**
   * Reads which version is in force at an entry.
   *
   * @param entry - the entry
   * @returns the version, 0 if none or if the entry does not answer
   */
  async versionAt(entry: SiteEntry): Promise<number> {
    try {
      const response = await request(`${entry.origin}/status`);
      const status = (await response.body.json()) as StatusAnswer;
      return status.configuration.version;
    } catch {
      return 0;
    }
  }

  private async command(path: string, body: object): Promise<AcceptedChange> {
    const [entry] = this.site.entries;
    if (!entry) throw new Error('No entry runs.');
    const response = await request(`${entry.origin}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...body, publishedBy: 'operator', why: 'part of a run' }),
    });
    const text = await response.body.text();
    if (response.statusCode >= HTTP_ERROR) throw new Error(`${path} was refused: ${text}`);
    const answer = JSON.parse(text) as PublishAnswer;
    return { version: answer.version ?? answer.record?.version ?? 0, acceptedAtMs: Date.now() };
  }
}
