/**
 * Runs a command and keeps what it prints.
 *
 * @packageDocumentation
 */

import { spawn } from 'node:child_process';

/** How a command ended. */
export interface CommandResult {
  /** True if the command ended with exit code 0. */
  readonly ok: boolean;
  /** All that the command printed. */
  readonly output: string;
}

/**
 * Runs a command to its end.
 *
 * @param command - The program.
 * @param args - The arguments of the program.
 * @returns How the command ended; a program that cannot start counts as failed.
 */
export const runCommand = (command: string, args: readonly string[]): Promise<CommandResult> =>
  new Promise((resolve) => {
    const child = spawn(command, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    const chunks: Buffer[] = [];
    const end = (ok: boolean, note = ''): void => {
      resolve({ ok, output: Buffer.concat(chunks).toString('utf8') + note });
    };

    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.stderr.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.on('error', (error) => end(false, error.message));
    child.on('close', (code) => end(code === 0));
  });
