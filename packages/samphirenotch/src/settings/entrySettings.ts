/**
 * Settings of an entry process: who it is and where the platform is.
 */
import { randomUUID } from 'node:crypto';
import type { ConfigurationProblem } from '../config/configurationProblem.js';
import { readIni, type IniSection } from '../config/iniText.js';
import { nearestName } from '../config/nearestName.js';
import { SectionReader } from '../config/sectionReader.js';
import { ADDRESS, listOf, OBJECT_NAME, oneOf } from '../config/valueFormat.js';
import type { LogSettings } from '../observability/log.js';
import { Err, Ok, type Result } from '../results.js';

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

type SectionName = (typeof SECTIONS)[number];

const emptySection = (file: string, heading: string): IniSection => ({
  file,
  heading,
  line: 1,
  lastLine: 1,
  values: new Map(),
});

const unknownSection = (section: IniSection): ConfigurationProblem => {
  const nearest = nearestName(section.heading, SECTIONS);
  const hint = nearest === undefined ? '' : `, did you mean [${nearest}]?`;
  const { file, heading, line } = section;
  const accepted = SECTIONS.map((name) => `[${name}]`).join(', ');
  return { file, line, section: heading, message: `unknown section${hint}`, accepted };
};

const repeatedSection = ({ file, heading, line }: IniSection): ConfigurationProblem => ({
  file,
  line,
  section: heading,
  message: 'section written twice',
  accepted: 'each section once',
});

const checkSections = (sections: readonly IniSection[]): readonly ConfigurationProblem[] =>
  sections.flatMap((section, index) => {
    if (!SECTIONS.some((name) => name === section.heading)) return [unknownSection(section)];
    const first = sections.findIndex(({ heading }) => heading === section.heading);
    return first === index ? [] : [repeatedSection(section)];
  });

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
  const { sections, problems: malformed } = readIni(file, text);
  const problems = [...malformed, ...checkSections(sections)];
  const readerOf = (name: SectionName): SectionReader =>
    new SectionReader(
      sections.find(({ heading }) => heading === name) ?? emptySection(file, name),
      problems,
    );
  const readers = {
    entry: readerOf('entry'),
    platform: readerOf('platform'),
    log: readerOf('log'),
  };
  const settings: EntrySettings = {
    ...readEntry(readers.entry),
    platform: readPlatform(readers.platform),
    log: readLog(readers.log),
  };
  Object.values(readers).forEach((reader) => reader.reportUnknownKeys());
  return problems.length === 0 ? Ok(settings) : Err(problems);
};
