/**
 * The library of samphirenotch.
 *
 * @packageDocumentation
 */

export * from './results.js';
