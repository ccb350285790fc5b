/**
 * A set of indexes, kept as ranges: what is done in order takes no more memory than its first item.
 */

/** Consecutive indexes. */
interface IndexRange {
  readonly start: number;
  /** First index after the range. */
  readonly end: number;
}

/** A set of non-negative integers whose size in memory grows with the number of gaps. */
export class IndexRanges implements Iterable<number> {
  /** In ascending order, with a gap between any two. */
  private ranges: IndexRange[] = [];

  private count = 0;

  /**
   * Reads ranges as `toPairs` returns them.
   *
   * @param pairs - start, length, start, length...
   * @returns the set
   */
  static fromPairs(pairs: readonly number[]): IndexRanges {
    const set = new IndexRanges();
    for (let at = 0; at + 1 < pairs.length; at += 2) {
      const start = pairs[at] ?? 0;
      set.addRange({ start, end: start + (pairs[at + 1] ?? 0) });
    }
    return set;
  }

  /**
   * Makes a set of indexes.
   *
   * @param indexes - its members, in any order
   * @returns the set
   */
  static of(indexes: Iterable<number>): IndexRanges {
    const set = new IndexRanges();
    for (const index of indexes) set.add(index);
    return set;
  }

  /** @returns the number of members */
  get size(): number {
    return this.count;
  }

  /**
   * Checks for a member.
   *
   * @param index - the index
   * @returns true if it is in the set
   */
  has(index: number): boolean {
    const range = this.ranges[this.firstEndingAfter(index)];
    return range !== undefined && range.start <= index;
  }

  /**
   * Adds a member.
   *
   * @param index - the index
   */
  add(index: number): void {
    this.addRange({ start: index, end: index + 1 });
  }

  /** @returns the ranges: start, length, start, length... */
  toPairs(): readonly number[] {
    return this.ranges.flatMap(({ start, end }) => [start, end - start]);
  }

  /** @returns the members in ascending order */
  *[Symbol.iterator](): Iterator<number> {
    for (const { start, end } of this.ranges) {
      for (let index = start; index < end; index += 1) yield index;
    }
  }

  private addRange({ start, end }: IndexRange): void {
    if (end <= start) return;
    const last = this.ranges.at(-1);
    // Most members come in order.
    if (!last || start >= last.end) {
      if (last?.end === start) this.ranges[this.ranges.length - 1] = { start: last.start, end };
      else this.ranges.push({ start, end });
      this.count += end - start;
      return;
    }
    // The ranges that overlap or touch the new one.
    const from = this.firstEndingAfter(start - 1);
    let to = from;
    while ((this.ranges[to]?.start ?? Number.POSITIVE_INFINITY) <= end) to += 1;
    const merged = this.ranges.slice(from, to);
    const range = {
      start: Math.min(start, merged[0]?.start ?? start),
      end: Math.max(end, merged.at(-1)?.end ?? end),
    };
    this.count += range.end - range.start;
    merged.forEach((each) => {
      this.count -= each.end - each.start;
    });
    this.ranges.splice(from, to - from, range);
  }

  /** Binary search; returns the number of ranges if there is none. */
  private firstEndingAfter(index: number): number {
    let low = 0;
    let high = this.ranges.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const { end } = this.ranges[middle] as IndexRange;
      if (end > index) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}
