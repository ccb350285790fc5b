/**
 * Reads INI text into sections, keeping line numbers and reporting every malformed line.
 *
 * Values are unquoted by the `ini` package. It is not given whole files, because it merges sections
 * of the same name, nests names with dots and drops some keys without a word.
 */
import { unsafe } from 'ini';
import type { ConfigurationProblem } from './configurationProblem.js';

/** A value with the line it stands on. */
export interface IniValue {
  readonly text: string;
  /** Counted from 1. */
  readonly line: number;
}

/** A section with its keys in the order of the file. */
export interface IniSection {
  readonly file: string;
  /** Heading without brackets, spaces between words made single. */
  readonly heading: string;
  /** Line of the heading, counted from 1. */
  readonly line: number;
  /** Last line before the next section or the end of the file. */
  readonly lastLine: number;
  readonly values: ReadonlyMap<string, IniValue>;
}

/** What a text holds. */
export interface IniText {
  readonly sections: readonly IniSection[];
  readonly problems: readonly ConfigurationProblem[];
}

interface OpenSection {
  readonly heading: string;
  readonly line: number;
  readonly values: Map<string, IniValue>;
}

const HEADING = /^\[([^[\]]*)\]\s*(?:[;#].*)?$/u;
const ASSIGNMENT = /^([^=;#]+?)\s*=(.*)$/u;
const COMMENT = /^[;#]/u;
const BYTE_ORDER_MARK = '\uFEFF';
/** A comment sign that the `ini` package would cut a value at. */
const TRAILING_COMMENT = /(?:^|[^\\])[;#]/u;
const QUOTED = /^(?:".*"|'.*')$/su;
const REPLACEMENT = '\uFFFD';

/** Characters of a malformed line that a problem repeats. */
const MOST_SHOWN = 60;

const TAB = 9;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const FIRST_PRINTABLE = 32;
const DELETE = 127;

const isControl = (code: number): boolean => {
  if (code === TAB || code === LINE_FEED || code === CARRIAGE_RETURN) return false;
  return code < FIRST_PRINTABLE || code === DELETE;
};

const isBinary = (text: string): boolean => {
  if (text.includes(REPLACEMENT)) return true;
  for (let index = 0; index < text.length; index += 1) {
    if (isControl(text.charCodeAt(index))) return true;
  }
  return false;
};

const shorten = (text: string): string =>
  text.length <= MOST_SHOWN ? text : `${text.slice(0, MOST_SHOWN)}...`;

const readValue = (raw: string): string => {
  const value: unknown = unsafe(raw);
  return typeof value === 'string' ? value : raw.trim().slice(1, -1);
};

const normalizeHeading = (raw: string): string => raw.normalize('NFC').trim().replace(/\s+/gu, ' ');

/** Collects sections line by line. */
class SectionCollector {
  readonly sections: IniSection[] = [];

  readonly problems: ConfigurationProblem[] = [];

  private open: OpenSection | undefined;

  constructor(private readonly file: string) {}

  readLine(raw: string, line: number): void {
    const text = raw.trim();
    if (text === '' || COMMENT.test(text)) return;
    if (text.startsWith('[')) {
      this.openSection(text, line);
      return;
    }
    this.readAssignment(text, line);
  }

  closeSection(lastLine: number): void {
    if (!this.open) return;
    this.sections.push({ file: this.file, lastLine, ...this.open });
    this.open = undefined;
  }

  private openSection(text: string, line: number): void {
    this.closeSection(line - 1);
    const heading = normalizeHeading(HEADING.exec(text)?.[1] ?? '');
    this.open = { heading, line, values: new Map() };
    if (heading !== '') return;
    this.report(
      line,
      undefined,
      `malformed heading ${shorten(text)}`,
      '[KIND NAME] on a line of its own',
    );
  }

  private readAssignment(text: string, line: number): void {
    const [, key, raw] = ASSIGNMENT.exec(text) ?? [];
    if (key === undefined || raw === undefined) {
      this.report(line, undefined, `neither a heading nor a key: ${shorten(text)}`, 'key = value');
      return;
    }
    if (!this.open) {
      this.report(line, key, 'key before the first heading', 'a [KIND NAME] heading above it');
      return;
    }
    if (this.open.values.has(key)) {
      this.report(line, key, 'key written twice', 'each key once in a section');
      return;
    }
    if (TRAILING_COMMENT.test(raw) && !QUOTED.test(raw.trim())) {
      this.report(line, key, '; or # within a value', 'quotes around the value, or a \\ before it');
    }
    this.open.values.set(key, { text: readValue(raw).normalize('NFC'), line });
  }

  private report(line: number, key: string | undefined, message: string, accepted: string): void {
    const section = this.open?.heading || undefined;
    this.problems.push({ file: this.file, line, section, key, message, accepted });
  }
}

/**
 * Reads INI text.
 *
 * @param file - name of the file, for problems
 * @param text - its text
 * @returns sections and problems
 */
export const readIni = (file: string, text: string): IniText => {
  if (isBinary(text)) {
    const problem = { file, message: 'not a text file', accepted: 'INI text in UTF-8' };
    return { sections: [], problems: [problem] };
  }
  const lines = (text.startsWith(BYTE_ORDER_MARK) ? text.slice(1) : text).split(/\r\n|\n|\r/u);
  const collector = new SectionCollector(file);
  lines.forEach((line, index) => collector.readLine(line, index + 1));
  collector.closeSection(lines.length);
  return { sections: collector.sections, problems: collector.problems };
};
