/**
 * Benchmarks of samphirenotch; `--ci` runs the seeded ones only.
 *
 * @packageDocumentation
 */

export {};
