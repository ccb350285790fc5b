/**
 * Sums of a profile that the runtime has written.
 */

/** One function on one stack. */
interface ProfileNode {
  readonly id: number;
  readonly callFrame: { readonly functionName: string; readonly lineNumber: number };
  readonly children?: readonly number[];
}

/** A profile as the runtime writes it. */
export interface CpuProfile {
  readonly nodes: readonly ProfileNode[];
  readonly samples: readonly number[];
  /** Time before each sample, in microseconds. */
  readonly timeDeltas: readonly number[];
}

const MOST_ROWS = 70;

const IDLE: ReadonlySet<string> = new Set(['(idle)', '(program)']);

const nameOf = ({ callFrame }: ProfileNode): string =>
  `${callFrame.functionName || '(anonymous)'}:${callFrame.lineNumber}`;

interface Sums {
  readonly self: ReadonlyMap<string, number>;
  readonly total: ReadonlyMap<string, number>;
  readonly busyUs: number;
}

const sum = ({ nodes, samples, timeDeltas }: CpuProfile): Sums => {
  const parents = new Map<number, ProfileNode>();
  const byId = new Map(nodes.map((node) => [node.id, node]));
  nodes.forEach((node) => node.children?.forEach((child) => parents.set(child, node)));
  const self = new Map<string, number>();
  const total = new Map<string, number>();
  let busyUs = 0;
  samples.forEach((id, index) => {
    const node = byId.get(id);
    const us = timeDeltas[index] ?? 0;
    if (!node || node.callFrame.functionName === '(idle)') return;
    if (!IDLE.has(node.callFrame.functionName)) busyUs += us;
    self.set(nameOf(node), (self.get(nameOf(node)) ?? 0) + us);
    const seen = new Set<string>();
    for (let at: ProfileNode | undefined = node; at; at = parents.get(at.id)) {
      const name = nameOf(at);
      if (!seen.has(name)) total.set(name, (total.get(name) ?? 0) + us);
      seen.add(name);
    }
  });
  return { self, total, busyUs };
};

const rows = (title: string, times: ReadonlyMap<string, number>, starts: number): string => {
  const lines = [...times]
    .sort(([, one], [, other]) => other - one)
    .slice(0, MOST_ROWS)
    .map(
      ([name, us]) =>
        `${(us / 1_000).toFixed(0).padStart(8)} ms ${(us / starts).toFixed(0).padStart(6)} us/run  ${name}`,
    );
  return [title, ...lines].join('\n');
};

/**
 * Tells which functions took how long.
 *
 * @param profile - the profile
 * @param starts - runs that were started meanwhile
 * @returns a page of text
 */
export const summarizeProfile = (profile: CpuProfile, starts: number): string => {
  const { self, total, busyUs } = sum(profile);
  return [
    `busy ${(busyUs / 1_000).toFixed(0)} ms, ${(busyUs / starts).toFixed(0)} us a run`,
    rows('with what they call', total, starts),
    rows('alone', self, starts),
  ].join('\n\n');
};
