/**
 * Keeps what files held when they were last read, so that a changed set costs by its changed files.
 */
import { readDraftFile, type DraftFile } from './draft.js';

interface KeptDraft {
  readonly text: string;
  readonly draft: DraftFile;
}

/** Reads files, those of the last set only if they changed. */
export class DraftCache {
  private kept: ReadonlyMap<string, KeptDraft> = new Map();

  /**
   * Reads a set of files.
   *
   * @param files - text of each file by its name
   * @returns what each file holds
   */
  read(files: ReadonlyMap<string, string>): readonly DraftFile[] {
    const read = new Map([...files].map(([file, text]) => [file, this.readFile(file, text)]));
    this.kept = read;
    return [...read.values()].map(({ draft }) => draft);
  }

  private readFile(file: string, text: string): KeptDraft {
    const known = this.kept.get(file);
    return known?.text === text ? known : { text, draft: readDraftFile(file, text) };
  }
}
