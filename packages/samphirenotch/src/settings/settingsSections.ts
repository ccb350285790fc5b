/**
 * Opens the sections of a settings file and reports those that are not known or stand there twice.
 */
import type { ConfigurationProblem } from '../config/configurationProblem.js';
import { readIni, type IniSection } from '../config/iniText.js';
import { nearestName } from '../config/nearestName.js';
import { SectionReader } from '../config/sectionReader.js';

const emptySection = (file: string, heading: string): IniSection => ({
  file,
  heading,
  line: 1,
  lastLine: 1,
  values: new Map(),
});

const repeatedSection = ({ file, heading, line }: IniSection): ConfigurationProblem => ({
  file,
  line,
  section: heading,
  message: 'section written twice',
  accepted: 'each section once',
});

/** The sections of one file, by name. */
export class SettingsSections<Name extends string> {
  private readonly sections: readonly IniSection[];

  private readonly gathered: ConfigurationProblem[] = [];

  private readonly readers = new Map<Name, SectionReader>();

  /**
   * @param file - name of the file, for problems
   * @param text - its text
   * @param names - sections that it may have
   */
  constructor(
    private readonly file: string,
    text: string,
    private readonly names: readonly Name[],
  ) {
    const { sections, problems } = readIni(file, text);
    this.sections = sections;
    this.gathered.push(...problems, ...this.checkSections());
  }

  /**
   * Tells whether a section is written in the file.
   *
   * @param name - its name
   * @returns true if it is
   */
  has(name: Name): boolean {
    return this.sections.some(({ heading }) => heading === name);
  }

  /**
   * Opens a section; one that is missing has no keys.
   *
   * @param name - its name
   * @returns its reader
   */
  open(name: Name): SectionReader {
    const known = this.readers.get(name);
    if (known) return known;
    const section = this.sections.find(({ heading }) => heading === name);
    const reader = new SectionReader(section ?? emptySection(this.file, name), this.gathered);
    this.readers.set(name, reader);
    return reader;
  }

  /**
   * Ends reading.
   *
   * @returns all problems, those of keys that nobody asked for among them
   */
  finish(): readonly ConfigurationProblem[] {
    this.readers.forEach((reader) => reader.reportUnknownKeys());
    return this.gathered;
  }

  private checkSections(): readonly ConfigurationProblem[] {
    return this.sections.flatMap((section, index) => {
      if (!this.names.some((name) => name === section.heading)) return [this.unknown(section)];
      const first = this.sections.findIndex(({ heading }) => heading === section.heading);
      return first === index ? [] : [repeatedSection(section)];
    });
  }

  private unknown({ file, heading, line }: IniSection): ConfigurationProblem {
    const nearest = nearestName(heading, this.names);
    const hint = nearest === undefined ? '' : `, did you mean [${nearest}]?`;
    const accepted = this.names.map((name) => `[${name}]`).join(', ');
    return { file, line, section: heading, message: `unknown section${hint}`, accepted };
  }
}
