/**
 * Reads the values of a section by their formats and gathers what is wrong with them.
 */
import type { ConfigurationProblem } from './configurationProblem.js';
import type { IniSection } from './iniText.js';
import { nearestName } from './nearestName.js';
import type { ValueFormat } from './valueFormat.js';

/** Reads one section. */
export class SectionReader {
  private readonly asked = new Set<string>();

  /**
   * @param section - what to read
   * @param problems - where problems are added
   */
  constructor(
    readonly section: IniSection,
    private readonly problems: ConfigurationProblem[],
  ) {}

  /**
   * Reads a value that must be there. What is wrong with it is added to the problems.
   *
   * @param key - its key
   * @param format - its format
   * @param substitute - what to go on with after a problem
   * @returns the value
   */
  required<T>(key: string, format: ValueFormat<T>, substitute: T): T {
    this.asked.add(key);
    if (!this.section.values.has(key)) {
      this.report(key, 'missing key', format.accepted);
      return substitute;
    }
    return this.read(key, format) ?? substitute;
  }

  /**
   * Reads a value that may be left out.
   *
   * @param key - its key
   * @param format - its format
   * @returns the value, or nothing if it is absent or wrong
   */
  optional<T>(key: string, format: ValueFormat<T>): T | undefined {
    this.asked.add(key);
    return this.section.values.has(key) ? this.read(key, format) : undefined;
  }

  /** Reports every key that was not asked for. */
  reportUnknownKeys(): void {
    for (const key of this.section.values.keys()) {
      if (this.asked.has(key)) continue;
      const nearest = nearestName(key, this.asked);
      const hint = nearest === undefined ? '' : `, did you mean ${nearest}?`;
      this.report(key, `unknown key${hint}`, [...this.asked].join(', '));
    }
  }

  /**
   * Adds a problem with this section.
   *
   * @param key - the key it is about, if any
   * @param message - what is wrong
   * @param accepted - what would be accepted
   */
  report(key: string | undefined, message: string, accepted: string): void {
    const { file, heading, line: headingLine, values } = this.section;
    const line = (key === undefined ? undefined : values.get(key)?.line) ?? headingLine;
    this.problems.push({ file, line, section: heading, key, message, accepted });
  }

  private read<T>(key: string, format: ValueFormat<T>): T | undefined {
    const text = this.section.values.get(key)?.text ?? '';
    const value = format.read(text);
    if (value === undefined) this.report(key, `cannot read "${text}"`, format.accepted);
    return value;
  }
}
