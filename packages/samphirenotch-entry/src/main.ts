#!/usr/bin/env node
/**
 * Starts the entry process.
 *
 * @packageDocumentation
 */

export {};
