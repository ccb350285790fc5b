/**
 * Which entry owns which share, as the entries' logs tell it.
 */

/** Hears of a takeover. */
export type TakeoverListener = (share: string, entry: string) => void;

const WORTH_READING =
  /"message":"(?:Elected|Took over|Tasks are handed to another share|Delegations are restored)"/u;

/** What the logs tell of owners and delegations. */
export class ShareOwners {
  takeovers = 0;

  /** Delegations that owners have sent. */
  delegations = 0;

  /** Most delegations that one takeover has restored, of its own jobs and of others'. */
  mostRestored = 0;

  private readonly owners = new Map<string, string>();

  private readonly entries = new Map<number, string>();

  private readonly listeners = new Set<TakeoverListener>();

  /** @returns the shares that have had an owner, by name */
  shares(): readonly string[] {
    return [...this.owners.keys()].sort();
  }

  /** @returns the entry that was last elected for the share */
  ownerOf(share: string): string | undefined {
    return this.owners.get(share);
  }

  /** @returns the entry that was elected with the fencing token */
  entryOf(token: number): string {
    return this.entries.get(token) ?? 'an unknown entry';
  }

  /**
   * Calls a listener after each takeover.
   *
   * @param listener - the listener
   * @returns stops the calls
   */
  listen(listener: TakeoverListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Reads a line of a log.
   *
   * @param entry - name of the entry that wrote it
   * @param line - the line
   */
  read(entry: string, line: string): void {
    if (!WORTH_READING.test(line)) return;
    const { message, share, fencingToken, away, guests } = JSON.parse(line) as Readonly<
      Record<string, unknown>
    >;
    if (message === 'Tasks are handed to another share') this.delegations += 1;
    if (message === 'Delegations are restored') {
      this.mostRestored = Math.max(this.mostRestored, Number(away), Number(guests));
    }
    if (typeof share !== 'string') return;
    if (message === 'Elected') {
      this.owners.set(share, entry);
      this.entries.set(Number(fencingToken), entry);
    }
    if (message !== 'Took over') return;
    this.takeovers += 1;
    this.listeners.forEach((listener) => listener(share, entry));
  }
}
