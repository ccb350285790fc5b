/**
 * Settings of an entry process: who it is and where the platform is.
 */
import { randomUUID } from 'node:crypto';
import type { ConfigurationProblem } from '../config/configurationProblem.js';
import type { SectionReader } from '../config/sectionReader.js';
import { ADDRESS, listOf, OBJECT_NAME, oneOf } from '../config/valueFormat.js';
import type { LogSettings } from '../observability/log.js';
import { Err, Ok, type Result } from '../results.js';
import { SettingsSections } from './settingsSections.js';

/** Which protocol the platform speaks. */
export type PlatformKind = 'http';

/** Where the platform's services are. */
export interface PlatformSettings {
  readonly kind: PlatformKind;
  /** IP address and port. */
  readonly address: string;
}

/** What an entry process is told when it starts. */
export interface EntrySettings {
  readonly id: string;
  readonly dataCentre: string;
  /** Where peers reach it: IP address and port. */
  readonly grpcAddress: string;
  /** Where it listens for peers, if that is another address than the one they use. */
  readonly grpcListen: string;
  /** Where callers and operators reach it: IP address and port. */
  readonly httpAddress: string;
  /** gRPC addresses of entries to ask first. */
  readonly seedPeers: readonly string[];
  readonly platform: PlatformSettings;
  readonly log: LogSettings;
}

const PLATFORM_KINDS: readonly PlatformKind[] = ['http'];
const LOG_FORMATS: readonly LogSettings['format'][] = ['json', 'pretty', 'hidden'];
const LOG_LEVELS: readonly LogSettings['level'][] = ['debug', 'info', 'warn', 'error'];
const SECTIONS = ['entry', 'platform', 'log'] as const;

const readEntry = (reader: SectionReader): Omit<EntrySettings, 'platform' | 'log'> => {
  const grpcAddress = reader.required('grpcAddress', ADDRESS, '');
  return {
    id: reader.optional('id', OBJECT_NAME) ?? randomUUID(),
    dataCentre: reader.required('dataCentre', OBJECT_NAME, ''),
    grpcAddress,
    grpcListen: reader.optional('grpcListen', ADDRESS) ?? grpcAddress,
    httpAddress: reader.required('httpAddress', ADDRESS, ''),
    seedPeers: reader.optional('seedPeers', listOf(ADDRESS)) ?? [],
  };
};

const readPlatform = (reader: SectionReader): PlatformSettings => ({
  kind: reader.optional('kind', oneOf(PLATFORM_KINDS)) ?? 'http',
  address: reader.required('address', ADDRESS, ''),
});

const readLog = (reader: SectionReader): LogSettings => ({
  format: reader.optional('format', oneOf(LOG_FORMATS)) ?? 'json',
  level: reader.optional('level', oneOf(LOG_LEVELS)) ?? 'info',
});

/**
 * Reads the settings of an entry. Problems name the place and what is accepted; values are repeated
 * in them, so settings hold no secrets.
 *
 * @param file - name of the file, for problems
 * @param text - its text
 * @returns the settings, or every problem at once
 */
export const readEntrySettings = (
  file: string,
  text: string,
): Result<EntrySettings, readonly ConfigurationProblem[]> => {
  const sections = new SettingsSections(file, text, SECTIONS);
  const settings: EntrySettings = {
    ...readEntry(sections.open('entry')),
    platform: readPlatform(sections.open('platform')),
    log: readLog(sections.open('log')),
  };
  const problems = sections.finish();
  return problems.length === 0 ? Ok(settings) : Err(problems);
};
