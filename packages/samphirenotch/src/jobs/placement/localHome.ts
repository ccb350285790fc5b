/**
 * Chooses the share of the entry's own data centre as the home. Baseline for the choice by
 * capacity.
 */
import type { JobSpec } from '../model/jobSpec.js';
import type { HomeCandidate, HomeChoice } from './homeChoice.js';

/** Takes the local share, or the first one if none is local. */
export class LocalHome implements HomeChoice {
  choose(_job: JobSpec, candidates: readonly HomeCandidate[]): string {
    const [first] = candidates;
    if (!first) throw new Error('a site has at least one share');
    return (candidates.find(({ isLocal }) => isLocal) ?? first).share;
  }
}
