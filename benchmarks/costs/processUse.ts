/**
 * What a process has used, by the kernel's account.
 *
 * @packageDocumentation
 */

import { readFileSync } from 'node:fs';

/** Use of a process since its start. */
export interface ProcessUse {
  /** Processor time in user and kernel mode, in milliseconds. */
  readonly cpuMs: number;
  /** Resident memory now, in bytes. */
  readonly residentBytes: number;
  /** Bytes read and written by system calls: connections, files and pipes. */
  readonly transferredBytes: number;
}

/** Length of a tick of the kernel's account, in milliseconds. */
const TICK_MS = 10;
const USER_FIELD = 11;
const BYTES_PER_KILOBYTE = 1024;

const numberAfter = (text: string, label: string): number => {
  const found = new RegExp(`^${label}:\\s+(\\d+)`, 'm').exec(text);
  return Number(found?.[1] ?? 0);
};

/**
 * Reads the use of a process.
 *
 * @param pid - id of a running process
 * @returns its use so far
 */
export const processUse = (pid: number): ProcessUse => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[USER_FIELD + 1]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const transfers = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    cpuMs: ticks * TICK_MS,
    residentBytes: numberAfter(status, 'VmRSS') * BYTES_PER_KILOBYTE,
    transferredBytes: numberAfter(transfers, 'rchar') + numberAfter(transfers, 'wchar'),
  };
};
