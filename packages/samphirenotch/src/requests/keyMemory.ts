/**
 * What an owner remembers of the keys of one partition.
 */
import type { KeptAnswer, KeyClaim, KeyDecision, KeyOutcome } from './keyAuthority.js';
import type { KeyRecord } from './keySegment.js';

/** Time for which a key is remembered, in milliseconds. */
export const KEY_RETENTION_MS = 24 * 60 * 60 * 1_000;

/** Bytes of answers kept for one partition. */
const KEPT_BYTES = 1_048_576;

interface RememberedRun {
  readonly token: string;
  readonly fingerprint: string;
  readonly atMs: number;
  /** Until when the run may be in progress; 0 if an earlier owner granted it. */
  readonly runsUntilMs: number;
  readonly outcome?: KeyOutcome;
  readonly answer?: KeptAnswer;
}

/** Keys, in the order of their claims. */
export class KeyMemory {
  private readonly runs = new Map<string, RememberedRun>();

  private keptBytes = 0;

  /** Keys remembered. */
  get size(): number {
    return this.runs.size;
  }

  /**
   * Learns what an earlier owner stored.
   *
   * @param records - records in the order in which they were stored
   */
  load(records: readonly KeyRecord[]): void {
    this.runs.clear();
    this.keptBytes = 0;
    for (const record of records) {
      if (record.kind === 'claim') this.add(record, record.atMs, 0);
      else this.end(record.key, record.token, record.outcome);
    }
  }

  /**
   * Remembers a granted run.
   *
   * @param claim - the claim
   * @param atMs - wall-clock time of the claim, in milliseconds
   * @param runsUntilMs - monotonic time until which the run may be in progress, in milliseconds
   */
  add(claim: Omit<KeyClaim, 'partition'>, atMs: number, runsUntilMs: number): void {
    const { key, token, fingerprint } = claim;
    this.runs.set(key, { token, fingerprint, atMs, runsUntilMs });
  }

  /**
   * Forgets a run that was never granted.
   *
   * @param key - digest of the key
   * @param token - the run
   */
  remove(key: string, token: string): void {
    const run = this.runs.get(key);
    if (run?.token !== token) return;
    this.keptBytes -= run.answer?.body.length ?? 0;
    this.runs.delete(key);
  }

  /**
   * Remembers the end of a run.
   *
   * @param key - digest of the key
   * @param token - the run
   * @param outcome - what became of it
   * @param answer - its answer, to be kept while there is room
   * @returns false if the run is not known, or ended before
   */
  end(key: string, token: string, outcome: KeyOutcome, answer?: KeptAnswer): boolean {
    const run = this.runs.get(key);
    if (run?.token !== token) return false;
    if (run.outcome === 'answered') return false;
    if (outcome === 'not-run') {
      this.remove(key, token);
      return true;
    }
    this.runs.set(key, { ...run, outcome, ...(answer ? { answer } : {}) });
    this.keptBytes += answer?.body.length ?? 0;
    this.dropAnswers();
    return true;
  }

  /**
   * Decides on a claim from what is remembered.
   *
   * @param claim - the claim
   * @param nowMs - monotonic time, in milliseconds
   * @returns the decision, or nothing if the key is free
   */
  decide(claim: KeyClaim, nowMs: number): KeyDecision | undefined {
    const run = this.runs.get(claim.key);
    if (!run) return undefined;
    if (run.token === claim.token && !run.outcome) return { kind: 'granted' };
    if (run.fingerprint !== claim.fingerprint) return { kind: 'other-request' };
    if (run.outcome === 'answered') {
      return { kind: 'answered', ...(run.answer ? { answer: run.answer } : {}) };
    }
    if (!run.outcome && nowMs < run.runsUntilMs) return { kind: 'running' };
    return { kind: 'outcome-unknown' };
  }

  /**
   * Forgets keys whose time is over.
   *
   * @param beforeMs - wall-clock time of the oldest claim to remember, in milliseconds
   */
  removeOlder(beforeMs: number): void {
    for (const [key, { atMs, token }] of this.runs) {
      if (atMs >= beforeMs) return;
      this.remove(key, token);
    }
  }

  /** Wall-clock time of the oldest claim, in milliseconds; nothing if there is none. */
  oldestMs(): number | undefined {
    const [first] = this.runs.values();
    return first?.atMs;
  }

  private dropAnswers(): void {
    if (this.keptBytes <= KEPT_BYTES) return;
    for (const [key, run] of this.runs) {
      if (!run.answer) continue;
      const { answer, ...rest } = run;
      this.runs.set(key, rest);
      this.keptBytes -= answer.body.length;
      if (this.keptBytes <= KEPT_BYTES) return;
    }
  }
}
