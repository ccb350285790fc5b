/**
 * The newest known process of each machine on which an owner has run.
 *
 * An owner writes its name when it takes over, the next process of its machine replaces it. So owners learn that the
 * process of a former owner has ended, and until when it can have extended leases.
 */
import { partLog } from '../../observability/log.js';
import { machineOf } from '../model/processName.js';
import { PROCESSES_PREFIX } from './jobKeys.js';

/** Longest time since the start that is stored, in milliseconds: clocks of machines differ a little in speed. */
const MAXIMUM_AGE_MS = 5_000;

/** A process of a machine. */
export interface ProcessRecord {
  readonly process: string;
  /** Least time since its start when the record was sent to the store, in milliseconds. */
  readonly ageMs: number;
}

/** A stored record. */
export interface StoredProcess extends ProcessRecord {
  /** Store revision of the record. */
  readonly revision: number;
}

/**
 * Returns the key under which the processes of a machine are stored.
 *
 * @param process - name of a process of the machine
 * @returns the key
 */
export const processKeyOf = (process: string): string => PROCESSES_PREFIX + machineOf(process);

/**
 * Encodes a record.
 *
 * @param record - the record
 * @returns text for the store
 */
export const encodeProcess = ({ process, ageMs }: ProcessRecord): string =>
  `${process} ${Math.floor(Math.min(ageMs, MAXIMUM_AGE_MS))}`;

/** Holds the record of each machine. */
export class ProcessDirectory {
  private readonly log = partLog('processes');

  private readonly records = new Map<string, StoredProcess>();

  /**
   * Finds the newest known process of a machine.
   *
   * @param process - name of any process of the machine
   * @returns its record; undefined if no owner has run there
   */
  newestBeside(process: string): StoredProcess | undefined {
    return this.records.get(processKeyOf(process));
  }

  /** Forgets all records, before those of a new listing are applied. */
  clear(): void {
    this.records.clear();
  }

  /**
   * Applies a change of a record.
   *
   * @param key - the key
   * @param value - its text; undefined if it was removed
   * @param revision - store revision of the change
   */
  apply(key: string, value: string | undefined, revision: number): void {
    if (value === undefined) {
      this.records.delete(key);
      return;
    }
    const [process = '', age = ''] = value.split(' ');
    const ageMs = Number(age);
    if (processKeyOf(process) !== key || age === '' || !(ageMs >= 0)) {
      this.log.error('The record of a process cannot be read', { key, revision });
      this.records.delete(key);
      return;
    }
    this.records.set(key, { process, ageMs, revision });
  }
}
