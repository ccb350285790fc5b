#!/usr/bin/env node
/**
 * Starts the command line.
 *
 * @packageDocumentation
 */
import { Cli } from 'clipanion';
import { runCommandLine } from './commandLine.js';

process.exitCode = await runCommandLine(process.argv.slice(2), Cli.defaultContext);
