#!/usr/bin/env node
/**
 * Starts the command line.
 *
 * @packageDocumentation
 */

export {};
