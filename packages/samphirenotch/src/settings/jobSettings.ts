/**
 * Reads what operators ask of the scheduler of jobs: a file with a section for each part, off without it.
 */
import type { ConfigurationProblem } from '../config/configurationProblem.js';
import { DURATION } from '../config/valueFormat.js';
import type { AdmissionSettings, JobSettings } from '../jobs/model/jobSettings.js';
import { Err, Ok, type Result } from '../results.js';
import { SettingsSections } from './settingsSections.js';

const SECTIONS = ['admission'] as const;

type Sections = SettingsSections<(typeof SECTIONS)[number]>;

/** Rooms are told twice a second; after that long some share is silent. */
const NEWS_AGE_MS = 2_000;

const readAdmission = (sections: Sections): AdmissionSettings => {
  const reader = sections.open('admission');
  return { maximumCapacityAgeMs: reader.optional('newsAge', DURATION) ?? NEWS_AGE_MS };
};

/**
 * Reads the settings of the scheduler of jobs.
 *
 * @param file - name of the file, for problems
 * @param text - its text
 * @returns the settings, or every problem at once
 */
export const readJobSettings = (
  file: string,
  text: string,
): Result<JobSettings, readonly ConfigurationProblem[]> => {
  const sections = new SettingsSections(file, text, SECTIONS);
  const settings: JobSettings = {
    admission: sections.has('admission') ? readAdmission(sections) : undefined,
  };
  const problems = sections.finish();
  return problems.length === 0 ? Ok(settings) : Err(problems);
};
