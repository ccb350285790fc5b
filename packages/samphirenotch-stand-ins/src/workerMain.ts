#!/usr/bin/env node
/**
 * Starts the stand-in for a worker.
 *
 * @packageDocumentation
 */

export {};
