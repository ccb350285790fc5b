/**
 * Edits files so that a data centre is out or back.
 */
import { safe } from 'ini';
import { readDraft } from './checker.js';
import { objectsOf, type ConfigurationFiles, type DraftObject } from './draft.js';
import type { Publication } from './publication.js';

/** File that new outages are written to. */
const OUTAGES_FILE = 'outages.ini';

/**
 * Finds the outage of a data centre.
 *
 * @param files - the files
 * @param dataCentre - name of the data centre
 * @returns the outage, or nothing if the data centre is not out
 */
export const findOutage = (
  files: ConfigurationFiles,
  dataCentre: string,
): DraftObject<'outage'> | undefined =>
  objectsOf(readDraft(files), 'outage').find(({ value }) => value.dataCentre === dataCentre);

const outageText = (dataCentre: string, { publishedBy, why }: Publication): string =>
  [
    `[outage ${dataCentre}]`,
    `dataCentre = ${safe(dataCentre)}`,
    `owner = ${safe(publishedBy)}`,
    `why = ${safe(why)}`,
    `runbook = samphirenotch outage end ${safe(dataCentre)}`,
    '',
  ].join('\n');

/**
 * Takes a data centre out.
 *
 * @param files - the files
 * @param dataCentre - name of the data centre
 * @param publication - who takes it out and why
 * @returns the edited files
 */
export const withOutage = (
  files: ConfigurationFiles,
  dataCentre: string,
  publication: Publication,
): ConfigurationFiles => {
  const before = files.get(OUTAGES_FILE) ?? '';
  const gap = before === '' || before.endsWith('\n\n') ? '' : '\n';
  const text = `${before}${gap}${outageText(dataCentre, publication)}`;
  return new Map([...files, [OUTAGES_FILE, text]]);
};

/**
 * Brings a data centre back.
 *
 * @param files - the files
 * @param outage - the outage to remove
 * @returns the edited files; a file that holds nothing else goes with it
 */
export const withoutOutage = (
  files: ConfigurationFiles,
  { section }: DraftObject<'outage'>,
): ConfigurationFiles => {
  const lines = (files.get(section.file) ?? '').split(/\r\n|\n|\r/u);
  const kept = lines.filter((_, index) => index + 1 < section.line || index >= section.lastLine);
  const text = kept.join('\n');
  if (text.trim() !== '') return new Map([...files, [section.file, text]]);
  return new Map([...files].filter(([name]) => name !== section.file));
};
