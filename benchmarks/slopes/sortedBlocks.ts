/**
 * A sorted index in two levels: blocks of entries in order, of which a change copies only those that
 * it touches. After "MongoDB Routing Info Refresh Optimization (Two-Dimensional Sorting & Search)".
 *
 * @packageDocumentation
 */

/** A named value. */
export interface NamedValue<T> {
  readonly name: string;
  readonly value: T;
}

const LARGEST_BLOCK = 500;

const lowerBound = (count: number, isBefore: (index: number) => boolean): number => {
  let low = 0;
  let high = count;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isBefore(middle)) low = middle + 1;
    else high = middle;
  }
  return low;
};

/** An immutable sorted index. */
export class SortedBlocks<T> {
  private constructor(private readonly blocks: readonly (readonly NamedValue<T>[])[]) {}

  /**
   * Builds an index.
   *
   * @param items - named values, in any order
   * @returns the index
   */
  static of<T>(items: readonly NamedValue<T>[]): SortedBlocks<T> {
    const sorted = [...items].sort((left, right) => (left.name < right.name ? -1 : 1));
    const blocks: NamedValue<T>[][] = [];
    for (let start = 0; start < sorted.length; start += LARGEST_BLOCK / 2) {
      blocks.push(sorted.slice(start, start + LARGEST_BLOCK / 2));
    }
    return new SortedBlocks(blocks);
  }

  /**
   * Finds a value.
   *
   * @param name - its name
   * @returns the value, or nothing
   */
  get(name: string): T | undefined {
    const block = this.blocks[this.blockOf(name)];
    const found = block?.[this.placeIn(block, name)];
    return found?.name === name ? found.value : undefined;
  }

  /**
   * Sets a value.
   *
   * @param name - its name
   * @param value - the value
   * @returns an index with the value; this one stays as it is
   */
  with(name: string, value: T): SortedBlocks<T> {
    const index = Math.min(this.blockOf(name), Math.max(0, this.blocks.length - 1));
    const block = this.blocks[index] ?? [];
    const place = this.placeIn(block, name);
    const replaced = block[place]?.name === name ? 1 : 0;
    const changed = block.slice();
    changed.splice(place, replaced, { name, value });
    const blocks = this.blocks.slice();
    blocks.splice(index, 1, ...this.split(changed));
    return new SortedBlocks(blocks);
  }

  private split(block: readonly NamedValue<T>[]): (readonly NamedValue<T>[])[] {
    if (block.length <= LARGEST_BLOCK) return [block];
    const middle = Math.floor(block.length / 2);
    return [block.slice(0, middle), block.slice(middle)];
  }

  /** Finds the first block that ends at or after a name. */
  private blockOf(name: string): number {
    return lowerBound(
      this.blocks.length,
      (index) => (this.blocks[index]?.at(-1)?.name ?? '') < name,
    );
  }

  private placeIn(block: readonly NamedValue<T>[], name: string): number {
    return lowerBound(block.length, (index) => (block[index]?.name ?? '') < name);
  }
}
