/**
 * What a soak saw, as a page for a browser: a table, and a plot of calls over time with the faults.
 */
import type { Violation } from './promiseChecker.js';
import type { CallerCounts } from './soakCallers.js';
import type { Fault } from './soakFaults.js';

/** What a soak saw. */
export interface SoakResult {
  readonly seed: number;
  readonly seconds: number;
  readonly faults: readonly Fault[];
  readonly counts: readonly (CallerCounts | undefined)[];
  readonly violations: readonly Violation[];
  readonly accepted: number;
  readonly ended: number;
  readonly cancelled: number;
  readonly shares: number;
  readonly takeovers: number;
  readonly delegations: number;
  /** Most delegations that one takeover has restored. */
  readonly mostRestored: number;
  /** How often a process ended that nobody had stopped. */
  readonly ownEnds: number;
}

const WIDTH = 1_000;
const HEIGHT = 220;
const COLOURS = { served: '#2a7f3f', refused: '#c58b00', unanswered: '#b3261e' } as const;

const escape = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

const lineOf = (result: SoakResult, kind: keyof typeof COLOURS, most: number): string => {
  const points = result.counts.map((counts, second) => {
    const x = (WIDTH * second) / Math.max(1, result.counts.length);
    const y = HEIGHT - (HEIGHT * (counts?.[kind] ?? 0)) / most;
    return `${x.toFixed(1)},${y.toFixed(1)}`;
  });
  return `<polyline fill="none" stroke="${COLOURS[kind]}" stroke-width="2" points="${points.join(' ')}"/>`;
};

const bandOf = (result: SoakResult, { kind, atMs, forMs }: Fault): string => {
  const wholeMs = 1_000 * Math.max(1, result.counts.length);
  const x = (WIDTH * atMs) / wholeMs;
  const width = Math.max(2, (WIDTH * forMs) / wholeMs);
  return `<rect x="${x.toFixed(1)}" y="0" width="${width.toFixed(1)}" height="${HEIGHT}" fill="#8884"><title>${kind}</title></rect>`;
};

/**
 * Tells a result in a few lines.
 *
 * @param result - what was seen
 * @returns lines of text
 */
export const summarize = (result: SoakResult): string =>
  [
    `seed ${result.seed}: ${result.faults.length} faults in ${result.seconds} s, ` +
      `${result.accepted} jobs accepted, ${result.ended} ended, ${result.cancelled} cancelled, ` +
      `${result.shares} shares, ${result.takeovers} takeovers, ${result.delegations} delegations, ` +
      `up to ${result.mostRestored} restored, ` +
      `${result.ownEnds} ends of processes, ${result.violations.length} broken promises`,
    ...result.violations.map(
      ({ promise, text, atMs }) => `  ${(atMs / 1_000).toFixed(1)} s ${promise}: ${text}`,
    ),
  ].join('\n');

/**
 * Writes results as a page.
 *
 * @param results - what was seen, one for each seed
 * @returns the page
 */
export const reportPage = (results: readonly SoakResult[]): string => {
  const parts = results.map((result) => {
    const most = Math.max(
      1,
      ...result.counts.flatMap((counts) =>
        counts ? [counts.served, counts.refused, counts.unanswered] : [],
      ),
    );
    const kinds = Object.keys(COLOURS) as (keyof typeof COLOURS)[];
    const rows = result.faults.map(
      ({ kind, atMs, forMs, target }) =>
        `<tr><td>${(atMs / 1_000).toFixed(1)}</td><td>${(forMs / 1_000).toFixed(1)}</td><td>${kind}</td><td>${target}</td></tr>`,
    );
    return `<h2>Seed ${result.seed}</h2><pre>${escape(summarize(result))}</pre>
<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="100%" height="${HEIGHT}">
${result.faults.map((fault) => bandOf(result, fault)).join('\n')}
${kinds.map((kind) => lineOf(result, kind, most)).join('\n')}</svg>
<p>Calls a second, up to ${most}: ${kinds.map((kind) => `<b style="color:${COLOURS[kind]}">${kind}</b>`).join(', ')}; grey: faults.</p>
<details><summary>Faults</summary><table><tr><th>at s</th><th>for s</th><th>fault</th><th>target</th></tr>${rows.join('\n')}</table></details>`;
  });
  return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Fault soak</title></head>
<body style="font-family:sans-serif;max-width:1100px;margin:auto"><h1>Fault soak</h1>${parts.join('\n')}</body></html>\n`;
};
