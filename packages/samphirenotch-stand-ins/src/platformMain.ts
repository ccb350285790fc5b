#!/usr/bin/env node
/**
 * Starts the stand-in for the platform.
 *
 * @packageDocumentation
 */

export {};
