/**
 * An operator of a site: publishes configurations and takes data centres out.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import { request } from 'undici';

import type { OutWindow } from '../invariants.js';

import { pause, until, type Site, type SiteEntry } from './site.js';

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
  readonly resources: readonly { readonly owner: string | null }[];
  readonly configuration: { readonly version: number; readonly outages: readonly string[] };
}

const HTTP_ERROR = 400;
const COMMAND_TIMEOUT_MS = 10_000;

const OUTAGE_TRIES = 40;
const OUTAGE_PAUSE_MS = 500;

/** Publishes through entries. */
export class SiteOperator {
  /** Times in which data centres were out, as accepted. */
  readonly outWindows: OutWindow[] = [];

  private turn = 0;

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
  async outage(change: 'start' | 'end', dataCentre: string): Promise<AcceptedChange> {
    if (change === 'end') this.endWindow(dataCentre, Date.now());
    const accepted = await this.command('/configuration/outages', { change, dataCentre });
    if (change === 'start') this.beginWindow(dataCentre, accepted.acceptedAtMs);
    return accepted;
  }

  /**
   * Takes a data centre out or brings it back, trying again until it is so at an entry.
   *
   * @param change - which of both
   * @param dataCentre - the data centre
   */
  async insistOnOutage(change: 'start' | 'end', dataCentre: string): Promise<void> {
    for (let tries = 0; tries < OUTAGE_TRIES; tries += 1) {
      try {
        await this.outage(change, dataCentre);
        return;
      } catch {
        await pause(OUTAGE_PAUSE_MS);
      }
      if ((await this.isOut(dataCentre)) === (change === 'start')) {
        if (change === 'start') this.beginWindow(dataCentre, Date.now());
        return;
      }
    }
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
    return (await this.statusOf(entry))?.configuration.version ?? 0;
  }

  /**
   * Reads who owns resources by the news of an entry.
   *
   * @param entry - the entry
   * @returns the owner of each resource, empty if the entry does not answer
   */
  async ownersSeenBy(entry: SiteEntry): Promise<readonly (string | null)[]> {
    return (await this.statusOf(entry))?.resources.map(({ owner }) => owner) ?? [];
  }

  private async isOut(dataCentre: string): Promise<boolean | undefined> {
    const [entry] = this.site.entries;
    const status = entry && (await this.statusOf(entry));
    return status?.configuration.outages.includes(dataCentre);
  }

  private async statusOf({ origin }: SiteEntry): Promise<StatusAnswer | undefined> {
    try {
      const signal = AbortSignal.timeout(COMMAND_TIMEOUT_MS);
      const response = await request(`${origin}/status`, { signal });
      return (await response.body.json()) as StatusAnswer;
    } catch {
      return undefined;
    }
  }

  private beginWindow(dataCentre: string, acceptedAtMs: number): void {
    this.outWindows.push({ dataCentre, acceptedAtMs, endedAtMs: Infinity });
  }

  /** A bringing back may take effect before its answer, so a window ends when it was first asked. */
  private endWindow(dataCentre: string, askedAtMs: number): void {
    const index = this.outWindows.findLastIndex((window) => window.dataCentre === dataCentre);
    const window = this.outWindows[index];
    if (!window) return;
    const endedAtMs = Math.min(window.endedAtMs, askedAtMs);
    this.outWindows[index] = { ...window, endedAtMs };
  }

  private async command(path: string, body: object): Promise<AcceptedChange> {
    this.turn += 1;
    const entry = this.site.entries[this.turn % this.site.entries.length];
    if (!entry) throw new Error('No entry runs.');
    const response = await request(`${entry.origin}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      signal: AbortSignal.timeout(COMMAND_TIMEOUT_MS),
      body: JSON.stringify({ ...body, publishedBy: 'operator', why: 'part of a run' }),
    });
    const text = await response.body.text();
    if (response.statusCode >= HTTP_ERROR) throw new Error(`${path} was refused: ${text}`);
    const answer = JSON.parse(text) as PublishAnswer;
    return { version: answer.version ?? answer.record?.version ?? 0, acceptedAtMs: Date.now() };
  }
}
