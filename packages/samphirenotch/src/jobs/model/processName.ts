/**
 * Names of processes. A name consists of that of the machine, a dash and an id that differs after each start.
 *
 * A machine runs one process of the scheduler at a time, and two machines never have one name at the same time: the
 * name contains the network address. So a process has ended once another one of its machine has started.
 */

/**
 * Makes the name of a process.
 *
 * @param machine - name of its machine
 * @param id - differs after each start; without a dash
 * @returns the name
 */
export const processNameOf = (machine: string, id: string): string => `${machine}-${id}`;

/**
 * Returns the machine of a process.
 *
 * @param process - name of the process
 * @returns name of the machine
 */
export const machineOf = (process: string): string => process.slice(0, process.lastIndexOf('-'));
